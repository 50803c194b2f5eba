package balance

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Their order counts: from Cancelled on, an outcome says nothing of the upstream; from
// NotSent on, the attempt never ran.
const (
	OK              Outcome = iota
	UpstreamError           // may have run
	Overloaded              // the upstream rejected it unread
	TimedOut                // may have run, or still run
	ConnectFailed           // never ran: the request was not delivered as a whole
	ConnectionReset         // may have run
	Cancelled               // may have run
	NotSent                 // the host did not send it
	InvalidRequest          // never ran: the request itself is malformed, and its client has its response
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == ConnectFailed || o >= NotSent }

// RequestArrived reports a new request.
type RequestArrived struct {
	Request        RequestID
	Class          uint8
	Tenant         uint16
	ExpiresIn      Millis // time until the client gives up
	BodyIncomplete bool   // its last byte has not arrived yet; its time begins with OnBodyComplete
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Request          RequestID
	Attempt          int // its number among the attempts of the request, from 0
	Outcome          Outcome
	Elapsed          Millis  // time since the attempt was sent
	RequestDone      bool    // the request has its final response, or needs none
	BodySent         bool    // a part of the request's body is used up, so that it can't be sent again
	LoadReported     bool    // the upstream sent a load report
	ReportedInFlight float64 // requests that the upstream had in flight recently, from all instances
}

// ResponseStarted reports the start of a streaming response.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Elapsed Millis // time since the attempt was sent
}

// EndpointUpdate reports the endpoints that have changed or, as a snapshot, all of them.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Snapshot  bool // endpoints that are not named are removed
}
