package driver

import (
	"maps"
	"slices"

	"salttrack/balance"
	"salttrack/internal/exchange"
)

// reasonShutdownDeadline is the reason of the responses that the driver sends at the shutdown deadline.
// The reasons of all other responses are set by the Balancer.
const reasonShutdownDeadline balance.GiveUpReason = "shutdown deadline reached"

// SetShutdownDeadline sets the time by which every exchange, in progress or started later, gets its final response.
// Further calls can make this deadline earlier but not later.
func (d *Driver) SetShutdownDeadline(deadline balance.Millis) {
	if deadline >= d.shutdownDeadline {
		return
	}
	d.shutdownDeadline = deadline
	d.timers.Stop(d.shutdownTimer)
	d.shutdownTimer = d.timers.Set(deadline, d.endAllExchanges)
	for _, id := range slices.Sorted(maps.Keys(d.exchanges)) {
		if x := d.exchanges[id]; x != nil && x.Disposition() == exchange.InProgress && x.RespondBy > deadline {
			d.shortenDeadline(x, deadline)
		}
	}
}

// shortenDeadline sets an earlier deadline for the response of an exchange in progress.
// Attempts in flight that would time out later get this deadline as their timeout.
func (d *Driver) shortenDeadline(x *exchange.Exchange, deadline balance.Millis) {
	x.RespondBy = deadline
	for _, a := range x.Attempts {
		if !a.Ended && a.TimeoutAt > deadline {
			d.setTimeout(a, deadline)
		}
	}
	now := d.now()
	d.balancer.OnDeadlineShortened(now, x.ID, max(0, deadline-now))
	d.executeActions()
}

// endAllExchanges ends every exchange in progress when the shutdown deadline is reached.
// A request that was never executed is rejected; any other one fails.
func (d *Driver) endAllExchanges() {
	for _, id := range slices.Sorted(maps.Keys(d.exchanges)) {
		x := d.exchanges[id]
		if x == nil || x.Disposition() != exchange.InProgress {
			continue
		}
		disposition := exchange.Failed
		if x.NeverRan() {
			disposition = exchange.Rejected
		}
		d.finish(x, exchange.Response{Disposition: disposition, Reason: reasonShutdownDeadline})
		d.concludeRequest(id)
	}
}
