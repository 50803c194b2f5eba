package fake

// Recorder receives records of what the fakes send and receive. All times are in milliseconds.
// Times at which a balancer sent a byte are those of Host.LastReadSentAt.
type Recorder interface {
	// RequestSent records that a client has written the last byte of a request.
	RequestSent(Request)
	// ResponseReceived records that a client has received a complete response.
	ResponseReceived(Response)
	// ExtraBytesReceived records that a client has received bytes that belong to no valid response.
	ExtraBytesReceived(balancer string, data []byte)
	// ConnectionLost records that a connection closed before the client had received the complete response to a request.
	// It is called once for each such request.
	ConnectionLost(ConnectionLoss)
	// RequestCancelled records that a client closed the connection of a request before the response.
	RequestCancelled(requestID string, at float64)
	// ResponseTimedOut records that a client received no complete response within a grace period after the deadline.
	ResponseTimedOut(requestID string, at float64)
	// MalformedInputHandled records how a balancer handled malformed input.
	MalformedInputHandled(MalformedInputResult)

	// AttemptReceived records that an upstream has received a complete or malformed attempt.
	AttemptReceived(Attempt)
	// RequestExecuted records that an upstream has begun to execute a request.
	RequestExecuted(Execution)
	// DuplicateDropped records that an upstream did not execute a request, as a request with the same idempotency key was
	// executed before.
	DuplicateDropped(requestID string)
	// ResponseProduced records the body of an upstream's response to a request.
	ResponseProduced(requestID string, body []byte)
	// WarmingUpstreamCrashed records that an upstream crashed from overload while it was warming up.
	WarmingUpstreamCrashed(upstream string, startedAt, at float64)

	// EndpointUpdateSent records that discovery has sent an endpoint update to a balancer's machine.
	EndpointUpdateSent(EndpointUpdate)
}

// Request is the record of a request that a client has sent.
type Request struct {
	ID             string // each retry has an ID of its own
	RootID         string // ID of the original request, which its retries share
	Class          int
	IdempotencyKey string
	Balancer       string
	Client         string
	SentAt         float64 // time when the last byte was written
	Deadline       float64
	Pipelined      bool // sent before the response to an earlier request on the same connection
	Resent         bool // sent again after its connection closed before any response byte
	ReadSlowly     bool // the client reads the response slowly
}

// Response is the record of a complete response that a client has received.
type Response struct {
	RequestID string
	Status    int
	Body      []byte
	At        float64 // time when the balancer sent the last byte
}

// ConnectionLoss is the record of a request whose connection closed before the complete response.
type ConnectionLoss struct {
	RequestID string
	At        float64
	// Reused reports whether an earlier request was sent on the connection, and no byte of this response was received.
	// The balancer may then have closed the connection as idle before the request arrived. It is false for a pipelined request.
	Reused bool
}

// Values of MalformedInputResult.Status without a response.
const (
	StatusClosed  = 0  // the balancer closed the connection
	StatusNoReply = -1 // the balancer neither responded nor closed the connection
)

// MalformedInputResult is the record of how a balancer handled malformed input.
type MalformedInputResult struct {
	Input     string // description of the input
	Balancer  string
	Status    int     // status of the response, StatusClosed or StatusNoReply
	StartedAt float64 // time when the connection was established
	At        float64 // time of the response, of the close, or when the client stopped waiting
}

// Attempt is the record of an attempt that an upstream has received.
type Attempt struct {
	RequestID   string
	Upstream    string
	Balancer    string
	FirstByteAt float64 // time when the balancer sent the first byte
	LastByteAt  float64 // time when the balancer sent the last byte, 0 if Malformed
	Remaining   float64 // ms to the deadline, as sent by the balancer
	Malformed   bool    // the attempt could not be parsed; RequestID is empty
}

// Execution is the record of the start of a request's execution at an upstream.
type Execution struct {
	RequestID      string
	Upstream       string
	Zone           string
	IdempotencyKey string
	At             float64
}

// EndpointUpdate is the record of an update of one endpoint that discovery has sent.
type EndpointUpdate struct {
	Balancer  string
	Upstream  string
	Phase     Phase
	StartedAt float64
	At        float64
}
