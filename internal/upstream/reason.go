package upstream

import "salttrack/internal/trace"

// Reasons for closing a connection to an upstream, as they are written to the trace.
const (
	reasonEndpointChanged  trace.Reason = "upstream draining, removed or restarted"
	reasonShed             trace.Reason = "shed to free a descriptor"
	reasonClosedByUpstream trace.Reason = "closed by upstream"
	reasonExtraResponse    trace.Reason = "bytes that no request asked for"
	reasonAttemptCancelled trace.Reason = "attempt cancelled"
	reasonAttemptEnded     trace.Reason = "attempt ended without a response"
	reasonNotReusable      trace.Reason = "not reusable after the response"
	reasonIdleTimeout      trace.Reason = "idle timeout"
	reasonShutdown         trace.Reason = "shutdown"
)
