package discovery

// Violation is the kind of a ProtocolError. It implements error, so that errors.Is finds it in a ProtocolError.
type Violation string

// The kinds of protocol errors.
const (
	StreamEnded       Violation = "stream ended"
	StreamTimedOut    Violation = "stream timed out without an update or a keepalive"
	UnexpectedStatus  Violation = "unexpected HTTP status"
	MalformedResponse Violation = "malformed HTTP response"
	MalformedStream   Violation = "malformed stream of updates"
	MalformedUpdate   Violation = "malformed update"
	StaleUpdate       Violation = "stale update: its revision is older than the last one"
	EmptySnapshot     Violation = "snapshot without endpoints"
	UpdateTooLarge    Violation = "update too large"
)

// Error returns the description of the violation.
func (v Violation) Error() string { return string(v) }

// ProtocolError reports that the discovery service violated the protocol, closed a stream or stopped sending.
type ProtocolError struct {
	Violation Violation
	Detail    string // which part of the response is wrong, and its value; may be empty
	Cause     error  // error of the HTTP or JSON decoder; may be nil
}

// Error returns the violation, its detail and its cause. For a malformed update it leaves out the violation, as the
// detail and the cause describe it.
func (e *ProtocolError) Error() string {
	text := "discovery"
	if e.Violation != MalformedUpdate {
		text += ": " + string(e.Violation)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the violation and the cause, for errors.Is and errors.As.
func (e *ProtocolError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Violation}
	}
	return []error{e.Violation, e.Cause}
}

// implausible reports whether the error is a stale update or a snapshot without endpoints. Such an update is well-formed
// but probably wrong. The snapshot of the next stream is then applied even if it is stale or has no endpoints.
func (e *ProtocolError) implausible() bool {
	return e.Violation == StaleUpdate || e.Violation == EmptySnapshot
}
