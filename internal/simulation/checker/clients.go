package checker

import (
	"net/http"
	"slices"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

// malformedInputTimeout is the time in ms after which a balancer must have rejected malformed input or closed its
// connection. The check applies only if the balancer had done neither when the client stopped waiting.
const malformedInputTimeout = 3000.0

// RequestSent adds a request. If the client sent the same request again on another connection, its existing record is updated.
func (c *Checker) RequestSent(sent fake.Request) {
	c.countsOf(sent.Balancer).requests++
	existing := c.requests[sent.ID]
	if existing != nil && sent.Resent {
		existing.Request = sent
		existing.cancelledAt = 0
		return
	}
	if existing != nil {
		c.Report(names.UnknownRequest, sent.SentAt, "simulator error: request ID %s was used twice", sent.ID)
	}
	c.requests[sent.ID] = &request{Request: sent}
	c.Counts.Requests++
}

// ResponseReceived records a complete response, and checks its status, body and time.
func (c *Checker) ResponseReceived(response fake.Response) {
	r := c.requests[response.RequestID]
	if r.responded {
		c.Report(names.ExtraResponse, response.At, "%s got status %d after status %d", r.ID, response.Status, r.status)
		return
	}
	r.responded = true
	r.status = response.Status
	r.respondedAt = response.At
	c.checkOutcome(r, response)
	c.checkDeadline(r)
}

// checkOutcome counts a response.
// It checks that a response with status 200 has a body that an upstream produced for the request.
// It also checks that a rejected request was not executed, unless its class allows that.
func (c *Checker) checkOutcome(r *request, response fake.Response) {
	counts := c.countsOf(r.Balancer)
	switch {
	case r.status == http.StatusOK:
		c.Counts.Served++
		counts.served++
		if produced := c.producedBodies[r.ID]; !slices.Contains(produced, string(response.Body)) {
			c.Report(names.CrossedResponse, response.At, "%s got %.60q, which no upstream produced for it (produced: %.60q)",
				r.ID, response.Body, produced)
		}
	case isRejection(r.status):
		c.Counts.Rejected++
		counts.rejected++
		if r.executions > 0 && !c.mayRejectExecuted(r.Class) {
			c.Report(names.FalseRejection, response.At, "%s of class %d was rejected after its execution", r.ID, r.Class)
		}
	default:
		c.Counts.Failed++
		counts.failed++
	}
}

// checkDeadline checks that a response arrived by the deadline.
// Pipelined requests and slow readers are exempt: the response may wait behind an earlier response or for the reader.
func (c *Checker) checkDeadline(r *request) {
	if r.Pipelined || r.ReadSlowly || r.respondedAt <= c.responseDueAt(r, r.respondedAt) || c.exempt(r, r.respondedAt) {
		return
	}
	c.Report(names.LateResponse, r.respondedAt, "%s (%s) got status %d from %s %.1f ms after its deadline", r.ID, r.RootID,
		r.status, r.Balancer, r.respondedAt-r.Deadline)
}

// ExtraBytesReceived reports bytes that a client received and that belong to no valid response.
func (c *Checker) ExtraBytesReceived(balancer string, data []byte) {
	c.Report(names.ExtraResponse, c.limits.StartedAt, "%s sent %.60q, which belongs to no valid response", balancer, data)
}

// ConnectionLost checks a request whose connection was closed before its complete response.
// The loss is allowed if the balancer made no attempt for the request, and may have closed the connection while the
// request was in transit.
// That is possible if the connection had served a request before, or if the request was pipelined.
// The loss is also allowed if the balancer was killed or unreachable.
func (c *Checker) ConnectionLost(loss fake.ConnectionLoss) {
	r := c.requests[loss.RequestID]
	c.countNoResponse(r)
	switch {
	case c.exempt(r, loss.At):
		c.Counts.Exempt++
	case r.attempts > 0:
		c.Report(names.LostRequest, loss.At, "%s: %s closed the connection without a response, after %d attempts", r.ID,
			r.Balancer, r.attempts)
	case !loss.Reused && !r.Pipelined:
		c.Report(names.LostRequest, loss.At, "%s: %s closed a connection without a response to its first request", r.ID, r.Balancer)
	}
}

// RequestCancelled records that a client cancelled a request.
func (c *Checker) RequestCancelled(requestID string, at float64) {
	r := c.requests[requestID]
	r.cancelledAt = at
	c.countNoResponse(r)
}

// ResponseTimedOut checks a request whose client stopped waiting for the response.
// The timeout is a violation unless the balancer was killed or unreachable, the response was not due yet, or the client
// pipelined the request or reads slowly.
func (c *Checker) ResponseTimedOut(requestID string, at float64) {
	r := c.requests[requestID]
	c.countNoResponse(r)
	if r.Pipelined || r.ReadSlowly || c.exempt(r, at) || at < c.responseDueAt(r, at) {
		c.Counts.Exempt++
		return
	}
	c.Report(names.LostRequest, at, "%s: no response from %s %.1f ms after the deadline, %d attempts", r.ID, r.Balancer,
		at-r.Deadline, r.attempts)
}

// countNoResponse counts a request that ended without a complete response.
func (c *Checker) countNoResponse(r *request) {
	c.Counts.NoResponse++
	c.countsOf(r.Balancer).noResponse++
}

// MalformedInputHandled checks that a balancer did not serve malformed input.
// It also checks that the balancer rejected the input or closed the connection before the client stopped waiting.
// It is no violation if the client stopped waiting within malformedInputTimeout, or before the end of a stall.
// A balancer that was killed or unreachable is exempt from the second check.
func (c *Checker) MalformedInputHandled(result fake.MalformedInputResult) {
	c.Counts.MalformedInputs++
	if result.Status >= http.StatusOK && result.Status < http.StatusBadRequest {
		c.Report(names.MalformedInputAccepted, result.At, "%s responded with status %d to %s", result.Balancer, result.Status,
			result.Input)
		return
	}
	if result.Status != fake.StatusNoReply || c.environment.Exempt(result.Balancer, "", result.StartedAt, result.At) {
		return
	}
	limit := result.StartedAt + malformedInputTimeout
	limit = max(limit, c.environment.LastResume(result.Balancer, limit-earlyResponseMarginMS, result.At)) + c.limits.ToleranceMS
	if result.At > limit {
		c.Report(names.MalformedInputAccepted, result.At, "%s neither rejected %s nor closed the connection within %.0f ms",
			result.Balancer, result.Input, result.At-result.StartedAt)
	}
}
