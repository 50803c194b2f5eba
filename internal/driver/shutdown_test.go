package driver

import (
	"testing"

	"salttrack/internal/exchange"
)

// receiveIncomplete reports a new request whose body is still being received.
func (f *fixture) receiveIncomplete(class uint8) *exchange.Exchange {
	x := exchange.New(f, nil)
	x.Class = class
	x.BodyIncomplete = true
	x.RespondBy = f.now + 1e6
	x.ClientDeadline = x.RespondBy
	f.driver.HandleRequest(x)
	return x
}

// At the shutdown deadline every request gets its final response, whether it arrived before or after the shutdown began
// and whether or not its body has been received completely. Requests that were never executed are rejected, the others
// fail, and all attempts are cancelled.
func TestShutdownDeadline(t *testing.T) {
	for _, class := range []uint8{idempotentClass, nonIdempotentClass, zoneKeyClass} {
		f := newFixture(t, testConfig())
		before := f.receive(class, 3000)
		deadline := f.now + 400
		f.driver.SetShutdownDeadline(deadline)
		f.driver.SetShutdownDeadline(deadline + 500) // no effect
		exchanges := map[string]*exchange.Exchange{
			"arrived before":  before,
			"arrived after":   f.receive(class, 3000),
			"incomplete body": f.receiveIncomplete(class),
		}
		f.now = deadline - 1
		f.timers.Run(f.now)
		if n := f.driver.InProgress(); n != 3 {
			t.Fatalf("class %d: %d requests in progress before the deadline, want 3", class, n)
		}
		f.now = deadline
		f.timers.Run(f.now)
		f.timers.Run(f.now)
		for name, x := range exchanges {
			if len(f.responses[x]) != 1 || f.responses[x][0].Disposition == exchange.Served {
				t.Errorf("class %d, %s: responses %v, want one that is not served", class, name, f.responses[x])
			}
			for _, a := range x.Attempts {
				if !a.Ended {
					t.Errorf("class %d, %s: an attempt is still in flight", class, name)
				}
			}
		}
		if f.driver.InProgress() != 0 || f.driver.AttemptsInFlight() != 0 {
			t.Errorf("class %d: %d requests in progress, %d attempts in flight", class, f.driver.InProgress(), f.driver.AttemptsInFlight())
		}
		f.driver.Close()
	}
}

// A request that is still in the admission queue at the shutdown deadline is rejected, since it was never executed.
func TestShutdownDeadlineWhileQueued(t *testing.T) {
	f := newFixture(t, testConfig())
	var queued *exchange.Exchange
	for range 40 {
		if x := f.receive(idempotentClass, 2000); len(x.Attempts) == 0 && len(f.responses[x]) == 0 {
			queued = x
			break
		}
	}
	if queued == nil {
		t.Fatal("no request is queued")
	}
	deadline := f.now + 20
	f.driver.SetShutdownDeadline(deadline)
	for ; f.now < deadline; f.now++ {
		f.timers.Run(f.now)
	}
	f.timers.Run(deadline)
	if f.disposition(queued) != exchange.Rejected {
		t.Errorf("responses to the queued request: %v, want one rejection", f.responses[queued])
	}
}
