package driver

import (
	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/invariant"
	"salttrack/internal/trace"
)

// executeActions executes the Balancer's pending actions in order. An action can cause events, which can add further
// actions to the Balancer's queue. A nested call returns at once and leaves these actions to the outermost call, so that
// no action is executed in the middle of another one.
func (d *Driver) executeActions() {
	if d.executing {
		return
	}
	d.executing = true
	for action, more := d.balancer.NextAction(); more; action, more = d.balancer.NextAction() {
		d.execute(action)
	}
	d.executing = false
}

// execute executes one action. It ignores an action for an exchange that has been removed in the meantime.
func (d *Driver) execute(action balance.Action) {
	switch a := action.(type) {
	case *balance.ForwardRequest:
		if x := d.exchanges[a.Request]; x != nil {
			d.forward(x, a)
		}
	case *balance.RejectRequest:
		if x := d.exchanges[a.Request]; x != nil {
			d.reject(x, a)
		}
	case *balance.FailRequest:
		if x := d.exchanges[a.Request]; x != nil {
			d.finish(x, exchange.Response{Disposition: exchange.Failed, Reason: a.Reason})
		}
	case *balance.CancelAttempt:
		if x := d.exchanges[a.Request]; x != nil {
			d.cancelAttempt(x, a.Attempt)
		}
	case *balance.SetAttemptTimeout:
		if x := d.exchanges[a.Request]; x != nil {
			d.setAttemptTimeout(x, a)
		}
	case *balance.SetTimer:
		d.setBalancerTimer(a)
	case *balance.WatchEndpoints: // nothing to do: the discovery client always watches the endpoint list
	}
}

// forward starts an attempt at the upstream that the Balancer has selected. If the exchange has ended since that
// decision, the attempt is reported as not sent. The attempt times out no later than the deadline of the response.
func (d *Driver) forward(x *exchange.Exchange, action *balance.ForwardRequest) {
	if !x.Sendable() {
		d.skipAttempt(x, action.Upstream)
		return
	}
	invariant.Check(d.upstreamUsable(action.Upstream), "an attempt is sent only to an upstream that is ready and not disabled")
	invariant.Check(x.ClassRules.Idempotency != balance.NonIdempotent || x.NeverRan(),
		"a non-idempotent request is retried only if it was never executed")
	now := d.now()
	timeoutAt := x.RespondBy
	if action.Timeout != 0 && !x.BodyIncomplete {
		timeoutAt = min(timeoutAt, now+max(0, action.Timeout))
	}
	a := x.BeginAttempt(action.Upstream, now, timeoutAt)
	if action.SendWithin != 0 {
		a.SendBy = now + action.SendWithin
	}
	d.counters.attempts.Inc()
	if a.Number > 0 {
		d.counters.retries.Inc()
	}
	d.setTimeout(a, timeoutAt)
	d.traceAttemptSent(a)
	d.upstreams.Start(a)
}

// skipAttempt adds an attempt that is not sent, and reports its end to the Balancer with the outcome balance.NotSent.
func (d *Driver) skipAttempt(x *exchange.Exchange, upstream balance.UpstreamID) {
	d.counters.attemptsEnded[balance.NotSent].Inc()
	d.balancer.OnAttemptEnded(d.now(), &balance.AttemptEnded{
		Request:     x.ID,
		Attempt:     x.AddUnsentAttempt(upstream).Number,
		Outcome:     balance.NotSent,
		RequestDone: true,
	})
	d.executeActions()
}

// reject ends an exchange with the final response exchange.Rejected.
func (d *Driver) reject(x *exchange.Exchange, action *balance.RejectRequest) {
	invariant.Check(x.Disposition() != exchange.InProgress || safeToRetryAfterExecution(x.ClassRules) || x.NeverRan(),
		"a rejected request is safe to retry")
	d.finish(x, exchange.Response{
		Disposition: exchange.Rejected,
		RetryAfter:  action.RetryAfter,
		Reason:      action.Reason,
	})
}

// safeToRetryAfterExecution reports whether a client may safely retry a request of a class
// even if an upstream has already executed the request.
func safeToRetryAfterExecution(class *balance.Class) bool {
	switch class.Idempotency {
	case balance.Idempotent:
		return true
	case balance.WithIdempotencyKey:
		return class.DeduplicationScope == balance.ScopeAll
	default:
		return false
	}
}

// cancelAttempt cancels an attempt. It has no effect on an attempt that has ended or does not exist.
func (d *Driver) cancelAttempt(x *exchange.Exchange, number int) {
	if number >= len(x.Attempts) || x.Attempts[number].Ended {
		return
	}
	d.counters.attemptsCancelled.Inc()
	d.stopAttempt(x.Attempts[number], balance.Cancelled)
}

// setAttemptTimeout replaces the timeout of an attempt in flight. A timeout of 0 changes nothing: the Balancer requests
// this action only after RequestComplete, which has already set the timeout to the deadline of the response.
func (d *Driver) setAttemptTimeout(x *exchange.Exchange, action *balance.SetAttemptTimeout) {
	a := x.Attempts[action.Attempt]
	if a.Ended || action.Timeout == 0 {
		return
	}
	d.setTimeout(a, min(x.RespondBy, d.now()+action.Timeout))
}

// setBalancerTimer starts a timer for the Balancer. The callback uses a copy of the timer's id, since the Balancer
// reuses the memory of the action before the timer fires.
func (d *Driver) setBalancerTimer(action *balance.SetTimer) {
	id := action.Timer
	d.balancerTimers++
	d.timers.Set(d.now()+max(0, action.After), func() {
		d.balancerTimers--
		d.balancer.OnTimer(d.now(), id)
		d.executeActions()
	})
}

// traceAttemptSent writes a trace event for an attempt that is being sent. Attempts are counted from 1 in the trace.
func (d *Driver) traceAttemptSent(a *exchange.Attempt) {
	if !d.tracer.Enabled() {
		return
	}
	d.tracer.Write(trace.AttemptSent, trace.Event{
		Request:     a.Exchange.ClientRequestID,
		Upstream:    a.Upstream,
		Attempt:     a.Number + 1,
		RemainingMS: a.TimeoutAt - a.SentAt,
	})
}
