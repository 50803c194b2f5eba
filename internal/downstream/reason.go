package downstream

import "salttrack/internal/trace"

// Reasons why client connections are closed or requests are rejected without an exchange. They are written to trace events.
const (
	reasonConnectionBroken   trace.Reason = "connection broken"
	reasonClosedByClient     trace.Reason = "closed by client"
	reasonClientDisconnected trace.Reason = "client disconnected before the response"
	reasonIdleTimeout        trace.Reason = "no request in time"
	reasonResponseNotRead    trace.Reason = "response not read in time"
	reasonResponseTruncated  trace.Reason = "upstream response truncated"
	reasonLastResponseSent   trace.Reason = "last response sent"
	reasonShed               trace.Reason = "shed to free a descriptor"
	reasonNoDescriptor       trace.Reason = "no descriptor available"
	reasonNoMemory           trace.Reason = "no memory"
	reasonShutdownIdle       trace.Reason = "shutdown: idle"
	reasonShutdownNoRequest  trace.Reason = "shutdown: no request received"
	reasonShutdownTooLate    trace.Reason = "shutdown: response could be too late"
	reasonShutdownCompleted  trace.Reason = "shutdown: completed"
	reasonRepeatedID         trace.Reason = "a request with this id may have run"
	reasonInvalidRequest     trace.Reason = "malformed or not allowed"
)
