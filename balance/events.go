package balance

// Outcome is the result of an attempt.
type Outcome uint8

// Values of Outcome. Their order matters: Cancelled and later values say nothing about the upstream,
// and NotSent and later values mean that the attempt was not executed.
const (
	OK              Outcome = iota // the upstream served the request
	UpstreamError                  // the upstream responded with an error, and may have executed the request
	Overloaded                     // the upstream rejected the request without processing it
	TimedOut                       // the upstream may have executed the request, or may still be executing it
	ConnectFailed                  // not executed: the request was not sent completely
	ConnectionReset                // the upstream may have executed the request
	Cancelled                      // the upstream may have executed the request
	NotSent                        // not executed: the host did not send the request
	InvalidRequest                 // not executed: the request is malformed, and the client has its final response
)

// NeverRan reports whether the outcome proves that the upstream did not execute the request.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == ConnectFailed || o >= NotSent }

// RequestArrived reports a new request.
type RequestArrived struct {
	Request        RequestID
	Class          uint8  // index in Config.Classes
	Tenant         uint16 // index in Config.TenantQuota
	ExpiresIn      Millis // time until the client gives up
	BodyIncomplete bool   // the last byte has not arrived yet; latencies are measured from OnBodyComplete on
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Request          RequestID
	Attempt          int // index of the attempt among those of the request, from 0
	Outcome          Outcome
	Elapsed          Millis  // time since the attempt was sent
	RequestDone      bool    // the request has its final response or needs none
	BodySent         bool    // part of the request body was sent and is no longer stored, so it cannot be sent again
	LoadReported     bool    // the response carries a load report: ReportedInFlight is set
	ReportedInFlight float64 // requests from all instances that the upstream recently had in flight
}

// ResponseStarted reports the start of a streamed response.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Elapsed Millis // time since the attempt was sent
}

// EndpointUpdate reports changes of the endpoint list (a delta) or the whole list (a snapshot).
type EndpointUpdate struct {
	Endpoints []Endpoint
	Snapshot  bool // endpoints that are not in Endpoints are removed
}
