// Package shutdown computes the schedule of a graceful shutdown from the time of the signal and the longest deadline.
// The schedule has the times at which the process stops accepting connections, rejects new requests, has written all responses, and exits.
// The package does no I/O and reads no clock.
package shutdown

import "salttrack/balance"

// Constants of the earliest time at which the platform sends SIGKILL after SIGTERM, in ms.
// That time is the longest deadline, but at most maxCountedDeadline, plus killGracePeriod.
const (
	maxCountedDeadline balance.Millis = 3000
	killGracePeriod    balance.Millis = 700
)

// Safety margins before SIGKILL, in ms.
const (
	// maxStall is the longest time that the process may get no CPU between reading its clock and acting on the result.
	// Two stalls are possible: one when the signal arrives, whose recorded time is late then, and one when the last response is written.
	maxStall balance.Millis = 150
	// writeAllowance is the time for writing the last bytes and for the exit of the process.
	writeAllowance balance.Millis = 50
)

// Durations within the schedule, in ms. If SIGKILL may come early, closeIdleDelay and acceptDuration are shortened.
const (
	closeIdleDelay balance.Millis = 500 // time from the signal until idle connections are closed; clients may reuse them until then
	acceptDuration balance.Millis = 650 // time from the signal in which connections are accepted; clients open them for 400 ms, the rest is for the kernel's queue
	minServiceTime balance.Millis = 50  // a request that arrives less than this time before RespondBy is rejected
)

// Phase is a phase of the shutdown.
type Phase uint8

// Phases of the shutdown, in sequence.
const (
	Accepting Phase = iota // connections are accepted and requests are served
	Serving                // no connections are accepted; requests on open connections are served
	Rejecting              // new requests are rejected at once; requests in flight are served
	Closing                // every request has its response; the process waits for clients to close their connections
	Ended                  // the process exits, even if connections are open
)

var phaseNames = [...]string{
	Accepting: "accepting",
	Serving:   "serving",
	Rejecting: "rejecting",
	Closing:   "closing",
	Ended:     "ended",
}

// String returns the name of the phase in the log.
func (p Phase) String() string { return phaseNames[p] }

// Schedule has the times of one shutdown, in ms of the clock that recorded the signal. The zero Schedule means that there is no shutdown.
type Schedule struct {
	SignalledAt  balance.Millis // recorded time of the signal
	CloseIdle    balance.Millis // from this time on, connections without a request are closed
	StopAccept   balance.Millis // from this time on, no connections are accepted
	RejectFrom   balance.Millis // requests whose last byte arrives at this time or later are rejected
	RespondBy    balance.Millis // latest time at which the writing of a response may start
	ExitBy       balance.Millis // latest time at which the process starts to exit
	EarliestKill balance.Millis // earliest SIGKILL of the platform if SignalledAt is exact; it is earlier if the signal was recorded late

	longestDeadline balance.Millis
	started         bool
}

// New returns the schedule of a shutdown. The parameter longestDeadline is the longest deadline of any request, in ms from its arrival.
func New(signalledAt, longestDeadline balance.Millis) Schedule {
	s := Schedule{
		SignalledAt:     signalledAt,
		longestDeadline: max(0, longestDeadline),
		started:         true,
	}
	s.EarliestKill = signalledAt + min(maxCountedDeadline, s.longestDeadline) + killGracePeriod
	s.ExitBy = s.EarliestKill - 2*maxStall - writeAllowance
	s.RespondBy = s.ExitBy - writeAllowance
	s.RejectFrom = s.RespondBy - minServiceTime
	s.StopAccept = min(signalledAt+acceptDuration, s.RejectFrom)
	s.CloseIdle = min(signalledAt+closeIdleDelay, s.StopAccept)
	return s
}

// Started reports whether a shutdown has started.
func (s Schedule) Started() bool { return s.started }

// Shortened returns the schedule after a reload that changes the longest deadline.
// The platform may compute the time of SIGKILL from the old or the new settings, so the shorter deadline applies.
func (s Schedule) Shortened(longestDeadline balance.Millis) Schedule {
	return New(s.SignalledAt, min(s.longestDeadline, longestDeadline))
}

// PhaseAt returns the phase of the shutdown at a time.
func (s Schedule) PhaseAt(now balance.Millis) Phase {
	switch {
	case now < s.StopAccept:
		return Accepting
	case now < s.RejectFrom:
		return Serving
	case now < s.RespondBy:
		return Rejecting
	case now < s.ExitBy:
		return Closing
	}
	return Ended
}

// RejectsAt reports whether a request whose last byte arrives at a time is rejected, since its response could come after SIGKILL.
func (s Schedule) RejectsAt(now balance.Millis) bool {
	return s.Started() && s.PhaseAt(now) >= Rejecting
}

// LimitDeadline returns the deadline of a request during the shutdown: the earlier one of its own deadline and RespondBy.
func (s Schedule) LimitDeadline(deadline balance.Millis) balance.Millis {
	if !s.Started() {
		return deadline
	}
	return min(deadline, s.RespondBy)
}
