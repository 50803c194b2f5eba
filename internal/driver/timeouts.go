package driver

import (
	"salttrack/balance"
	"salttrack/internal/exchange"
)

// setTimeout sets or replaces the time at which an attempt times out. clearTimeout stops the timer.
func (d *Driver) setTimeout(a *exchange.Attempt, at balance.Millis) {
	a.TimeoutAt = at
	d.timers.Stop(d.attemptTimeouts[a])
	d.attemptTimeouts[a] = d.timers.Set(at, func() { d.attemptTimedOut(a) })
}

// attemptTimedOut ends an attempt whose time has passed. If its upstream is still sending a response that may be a long
// one, the response is streamed from now on instead: a long response is in time if its first bytes are.
func (d *Driver) attemptTimedOut(a *exchange.Attempt) {
	if d.now() < d.shutdownDeadline && d.upstreams.StreamResponse(a) {
		return
	}
	d.stopAttempt(a, balance.TimedOut)
}

// clearTimeout removes the timeout of an attempt, if it has one.
func (d *Driver) clearTimeout(a *exchange.Attempt) {
	d.timers.Stop(d.attemptTimeouts[a])
	delete(d.attemptTimeouts, a)
}

// stopAttempt aborts an attempt in flight and ends it with an outcome. An attempt that timed out before the request was
// written completely gets another outcome in place of TimedOut, as the request was never executed. The outcome Cancelled
// is kept in either case, because a cancellation is not a failure of the upstream.
func (d *Driver) stopAttempt(a *exchange.Attempt, outcome balance.Outcome) {
	if outcome == balance.TimedOut && !a.RequestComplete {
		outcome = d.incompleteOutcome(a)
	}
	d.upstreams.Cancel(a)
	d.AttemptEnded(a, exchange.Result{Outcome: outcome})
}

// incompleteOutcome returns the outcome of an attempt that timed out before the request was written completely. If the
// upstream has read a part of a streamed body, and has gone on reading in the second half of the attempt, the body was too
// long for the time, or its end was missing, which is not a failure of the upstream. Otherwise the upstream counts as
// unreachable.
func (d *Driver) incompleteOutcome(a *exchange.Attempt) balance.Outcome {
	secondHalf := (a.SentAt + d.now()) / 2
	blocked := a.BlockedSince != 0 && a.BlockedSince < secondHalf
	if a.Exchange.BodySent && !blocked {
		return balance.NotSent
	}
	return balance.ConnectFailed
}
