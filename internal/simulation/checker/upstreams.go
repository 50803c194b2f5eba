package checker

import (
	"strings"

	"salttrack/balance"
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

const (
	maxRecentAttempts  = 200    // greatest number of attempts that are stored for each upstream
	recentAttemptsSpan = 5000.0 // how long an attempt is stored, in ms

	// exactTimesTolerance is the tolerance in ms for an attempt after the final response, if the recorded times are exact.
	exactTimesTolerance = 0.05

	// announcedStartTolerance is the greatest difference in ms between the announced and the real start of an upstream.
	announcedStartTolerance = 1
)

// AttemptReceived records an attempt that an upstream received.
// It checks that the attempt is well-formed, that a client sent its request, and that the balancer was allowed to make
// the attempt.
func (c *Checker) AttemptReceived(attempt fake.Attempt) {
	if attempt.Malformed {
		c.Report(names.MalformedRequest, attempt.FirstByteAt, "%s sent %s a request that can't be parsed", attempt.Balancer,
			attempt.Upstream)
		return
	}
	c.Counts.Attempts++
	c.countsOf(attempt.Balancer).attempts++
	c.addRecentAttempt(attempt)
	c.checkUpstreamAvailable(attempt)
	r := c.requests[attempt.RequestID]
	if r == nil {
		c.Report(names.UnknownRequest, attempt.LastByteAt, "%s sent request %q to %s, but no client sent this request",
			attempt.Balancer, attempt.RequestID, attempt.Upstream)
		return
	}
	r.attempts++
	if r.attempts > c.limits.MaxAttempts {
		c.Report(names.TooManyAttempts, attempt.LastByteAt, "%s: attempt %d, but at most %d are allowed", r.ID, r.attempts,
			c.limits.MaxAttempts)
	}
	c.checkNoResponseBefore(r, attempt)
	c.checkNotCancelledBefore(r, attempt)
}

// addRecentAttempt stores an attempt, and removes the oldest attempts of the same upstream.
// It keeps at most maxRecentAttempts, and none that are older than recentAttemptsSpan.
func (c *Checker) addRecentAttempt(attempt fake.Attempt) {
	list := append(c.recentAttempts[attempt.Upstream], attempt)
	for len(list) > maxRecentAttempts || list[0].LastByteAt < attempt.LastByteAt-recentAttemptsSpan {
		list = list[1:]
	}
	c.recentAttempts[attempt.Upstream] = list
}

// checkUpstreamAvailable checks that the upstream of an attempt was not draining or disabled, as far as the balancer
// had been informed.
func (c *Checker) checkUpstreamAvailable(attempt fake.Attempt) {
	key := endpointKey{attempt.Balancer, attempt.Upstream}
	sentAt := attempt.FirstByteAt
	if since, draining := c.drainingSince[key]; draining {
		limit := max(since+c.limits.DrainGraceMS, c.environment.LastResume(attempt.Balancer, since, sentAt)) + c.limits.ToleranceMS
		if sentAt > limit {
			c.Report(names.DrainingUpstreamUsed, sentAt,
				"%s sent %s to %s %.0f ms after an endpoint update that reported the upstream as terminating or terminated",
				attempt.Balancer, attempt.RequestID, attempt.Upstream, sentAt-since)
		}
	}
	if since, disabled := c.disabledSince[key]; disabled && sentAt > since+c.limits.ToleranceMS {
		c.Report(names.DisabledUpstreamUsed, sentAt, "%s sent %s to %s %.0f ms after it confirmed that it disabled the upstream",
			attempt.Balancer, attempt.RequestID, attempt.Upstream, sentAt-since)
	}
}

// checkNoResponseBefore checks that an attempt did not begin after the final response to its request.
func (c *Checker) checkNoResponseBefore(r *request, attempt fake.Attempt) {
	tolerance := exactTimesTolerance
	if !c.limits.ExactTimes {
		tolerance = c.limits.ToleranceMS
	}
	if r.responded && attempt.FirstByteAt > r.respondedAt+tolerance {
		c.Report(names.AttemptAfterResponse, attempt.FirstByteAt, "%s sent %s to %s %.1f ms after its final response %d",
			attempt.Balancer, r.ID, attempt.Upstream, attempt.FirstByteAt-r.respondedAt, r.status)
	}
}

// checkNotCancelledBefore checks that an attempt did not begin after the balancer learned that the client had
// cancelled the request. It checks nothing if the recorded times are not exact.
// The balancer learns of the cancellation after the longest transit time, or at the end of a stall if that is later.
func (c *Checker) checkNotCancelledBefore(r *request, attempt fake.Attempt) {
	if r.cancelledAt == 0 || !c.limits.ExactTimes {
		return
	}
	sentAt := attempt.FirstByteAt
	learnedAt := max(r.cancelledAt+c.environment.MaxTransitMS(r.Balancer, r.Client),
		c.environment.LastResume(attempt.Balancer, r.cancelledAt, sentAt))
	if sentAt > learnedAt+c.limits.ToleranceMS && !c.environment.Exempt(r.Balancer, r.Client, r.cancelledAt, sentAt) {
		c.Report(names.AttemptAfterResponse, sentAt, "%s sent %s to %s %.1f ms after its client cancelled the request",
			attempt.Balancer, r.ID, attempt.Upstream, sentAt-r.cancelledAt)
	}
}

// RequestExecuted records an execution at an upstream.
// It checks that the request had not been rejected, unless its class allows the execution of rejected requests.
// It also checks that a non-idempotent request, or an idempotency key, had not been executed before.
func (c *Checker) RequestExecuted(execution fake.Execution) {
	c.Counts.Executed++
	r := c.requests[execution.RequestID]
	if r == nil {
		return // AttemptReceived has reported the unknown request
	}
	r.executions++
	if r.responded && isRejection(r.status) && !c.mayRejectExecuted(r.Class) {
		c.Report(names.FalseRejection, execution.At, "%s of class %d was executed at %s after its rejection", r.ID, r.Class,
			execution.Upstream)
	}
	var identity string // root ID or idempotency key; only one execution is allowed for each value
	switch c.limits.Classes[r.Class].Idempotency {
	case balance.NonIdempotent:
		identity = r.RootID
	case balance.WithIdempotencyKey:
		identity = execution.IdempotencyKey
	default:
		return
	}
	if before := c.executionSites[identity]; len(before) > 0 {
		c.Report(names.DuplicateExecution, execution.At, "%s of class %d was executed at %s and before at %s", identity, r.Class,
			execution.Upstream, strings.Join(before, ", "))
	}
	c.executionSites[identity] = append(c.executionSites[identity], execution.Upstream+" in "+execution.Zone)
}

// DuplicateDropped counts a request that an upstream dropped because it had executed the idempotency key.
func (c *Checker) DuplicateDropped(string) { c.Counts.Duplicates++ }

// ResponseProduced records a response body that an upstream produced for a request.
func (c *Checker) ResponseProduced(requestID string, body []byte) {
	c.producedBodies[requestID] = append(c.producedBodies[requestID], string(body))
}

// WarmingUpstreamCrashed handles the crash of an overloaded upstream that was warming up.
// The crash is a violation if at least three quarters of the recent attempts since the upstream's start came from
// balancers that were informed of the start.
// Otherwise the crash is only counted, because the other balancers could not know that the upstream was warming up.
func (c *Checker) WarmingUpstreamCrashed(upstream string, startedAt, at float64) {
	informed, uninformed := 0, 0
	for _, attempt := range c.recentAttempts[upstream] {
		if attempt.LastByteAt < startedAt {
			continue
		}
		if c.announcedStart[endpointKey{attempt.Balancer, upstream}] >= startedAt-announcedStartTolerance {
			informed++
		} else {
			uninformed++
		}
	}
	if uninformed*3 > informed {
		c.Counts.UnannouncedCrashes++
		return
	}
	c.Report(names.WarmingUpstreamCrashed, at,
		"%s crashed from overload %.0f ms after its start; %d attempts came from balancers that were informed of the start, %d from others",
		upstream, at-startedAt, informed, uninformed)
}
