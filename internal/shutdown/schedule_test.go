package shutdown

import (
	"testing"

	"pgregory.net/rapid"

	"salttrack/balance"
)

// scenario is a random shutdown. All values are in ms.
type scenario struct {
	longestDeadline balance.Millis
	sentAt          balance.Millis // time at which the platform sent the signal
	recordDelay     balance.Millis // time between the sending and the recording of the signal
}

func drawScenario(t *rapid.T) scenario {
	return scenario{
		longestDeadline: rapid.Float64Range(1, 6000).Draw(t, "longest deadline"),
		sentAt:          rapid.Float64Range(0, 2e12).Draw(t, "signal sent at"),
		recordDelay:     rapid.Float64Range(0, 150).Draw(t, "signal recorded late by"),
	}
}

// schedule returns the schedule of the scenario.
func (s scenario) schedule() Schedule { return New(s.sentAt+s.recordDelay, s.longestDeadline) }

// killAt returns the earliest time of SIGKILL: the longest deadline, but at most 3 s, plus 0.7 s after the signal was sent.
func (s scenario) killAt(longestDeadline balance.Millis) balance.Millis {
	return s.sentAt + min(3000, longestDeadline) + 700
}

// The times of the schedule are in sequence, and the process exits before SIGKILL even if it stalls twice for 150 ms:
// when the signal arrives, and between the last reading of the clock and the exit.
func TestExitsBeforeKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := drawScenario(t)
		s := scenario.schedule()
		times := []balance.Millis{s.SignalledAt, s.CloseIdle, s.StopAccept, s.RejectFrom, s.RespondBy, s.ExitBy, s.EarliestKill}
		for i := 1; i < len(times); i++ {
			if times[i] < times[i-1] {
				t.Fatalf("time %d is before time %d: %v", i, i-1, times)
			}
		}
		if exit, kill := s.ExitBy+150, scenario.killAt(scenario.longestDeadline); exit >= kill {
			t.Fatalf("the process exits at %v, but SIGKILL may come at %v", exit, kill)
		}
	})
}

// A request at any time of a shutdown is rejected, or its response is written before SIGKILL. This also holds after reloads.
func TestRespondsBeforeKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := drawScenario(t)
		s, longest := scenario.schedule(), scenario.longestDeadline
		for range rapid.IntRange(0, 3).Draw(t, "reloads") {
			next := rapid.Float64Range(1, 6000).Draw(t, "longest deadline of a reload")
			s, longest = s.Shortened(next), min(longest, next)
		}
		completeAt := rapid.Float64Range(scenario.sentAt, scenario.killAt(longest)+1000).Draw(t, "last byte at")
		remaining := rapid.Float64Range(0, 10000).Draw(t, "time that the client waits")
		if s.RejectsAt(completeAt) {
			if s.PhaseAt(completeAt) < Rejecting {
				t.Fatalf("a request is rejected in phase %v", s.PhaseAt(completeAt))
			}
			return
		}
		stall := rapid.Float64Range(0, 150).Draw(t, "stall before the response is written")
		deadline := s.LimitDeadline(completeAt + remaining)
		if deadline < completeAt && remaining > 0 {
			t.Fatalf("a request that is complete at %v gets the earlier deadline %v", completeAt, deadline)
		}
		if writtenAt := deadline + stall; writtenAt >= scenario.killAt(longest) {
			t.Fatalf("a response is written at %v, but SIGKILL may come at %v", writtenAt, scenario.killAt(longest))
		}
	})
}

// Without a shutdown no request is rejected and no deadline is shortened.
func TestNoShutdown(t *testing.T) {
	var s Schedule
	if s.Started() || s.RejectsAt(1e15) || s.LimitDeadline(1e15) != 1e15 {
		t.Errorf("%+v counts as a shutdown", s)
	}
}

// Checks the times of the schedule for common values of the longest deadline, in ms after the signal.
func TestTimes(t *testing.T) {
	for _, tt := range []struct{ longestDeadline, stopAccept, rejectFrom, respondBy, exitBy, earliestKill balance.Millis }{
		{1, 251, 251, 301, 351, 701},
		{200, 450, 450, 500, 550, 900},
		{755, 650, 1005, 1055, 1105, 1455},
		{1250, 650, 1500, 1550, 1600, 1950},
		{3000, 650, 3250, 3300, 3350, 3700},
		{6000, 650, 3250, 3300, 3350, 3700},
	} {
		s := New(0, tt.longestDeadline)
		got := [...]balance.Millis{s.StopAccept, s.RejectFrom, s.RespondBy, s.ExitBy, s.EarliestKill}
		if want := [...]balance.Millis{tt.stopAccept, tt.rejectFrom, tt.respondBy, tt.exitBy, tt.earliestKill}; got != want {
			t.Errorf("longest deadline %v: times %v, want %v", tt.longestDeadline, got, want)
		}
	}
}
