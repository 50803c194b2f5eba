package driver

import (
	"salttrack/balance"
	"salttrack/internal/exchange"
)

// setTimeout sets or replaces the time at which an attempt times out. clearTimeout stops the timer.
func (d *Driver) setTimeout(a *exchange.Attempt, at balance.Millis) {
	a.TimeoutAt = at
	d.timers.Stop(d.attemptTimeouts[a])
	d.attemptTimeouts[a] = d.timers.Set(at, func() { d.stopAttempt(a, balance.TimedOut) })
}

// clearTimeout removes the timeout of an attempt, if it has one.
func (d *Driver) clearTimeout(a *exchange.Attempt) {
	d.timers.Stop(d.attemptTimeouts[a])
	delete(d.attemptTimeouts, a)
}

// stopAttempt aborts an attempt in flight and ends it with an outcome. If the attempt timed out before the request was
// written completely, the request was never executed, and the outcome is ConnectFailed in place of TimedOut. The outcome
// Cancelled is kept in either case, because a cancellation is not a failure of the upstream.
func (d *Driver) stopAttempt(a *exchange.Attempt, outcome balance.Outcome) {
	if outcome == balance.TimedOut && !a.RequestComplete {
		outcome = balance.ConnectFailed
	}
	d.upstreams.Cancel(a)
	d.AttemptEnded(a, exchange.Result{Outcome: outcome})
}
