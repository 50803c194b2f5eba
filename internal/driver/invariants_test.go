package driver

import (
	"math/rand/v2"
	"testing"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/invariant"
)

// randomRun drives a fixture with random events.
type randomRun struct {
	*fixture
	random    *rand.Rand
	received  []*exchange.Exchange
	abandoned map[*exchange.Exchange]bool // exchanges whose client disconnected while they were in progress
}

// step applies one random event and advances the clock by less than 20 ms.
func (r *randomRun) step() {
	switch k := r.random.IntN(10); {
	case k < 4:
		class := uint8(r.random.IntN(3))
		r.received = append(r.received, r.receive(class, balance.Millis(r.random.IntN(3000))))
	case k < 8 && len(r.inFlight) > 0:
		a := r.inFlight[r.random.IntN(len(r.inFlight))]
		a.RequestComplete = r.random.IntN(4) > 0
		r.end(a, balance.Outcome(r.random.IntN(int(balance.Cancelled))), "")
	case k == 8 && len(r.received) > 0:
		x := r.received[r.random.IntN(len(r.received))]
		r.abandoned[x] = r.abandoned[x] || x.Disposition() == exchange.InProgress
		r.driver.ClientDisconnected(x)
	default:
		state := balance.EndpointState(r.random.IntN(3))
		id := balance.UpstreamID(1 + r.random.IntN(5))
		r.driver.UpdateEndpoints(balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: id, State: state}}})
	}
	r.advance(balance.Millis(r.random.IntN(20)))
}

// checkCounters checks that the number of requests received is the number that ended plus the number in progress.
func (r *randomRun) checkCounters() {
	r.t.Helper()
	sum := r.value("requests_served") + r.value("requests_rejected") + r.value("requests_failed") +
		r.value("requests_abandoned") + r.value("requests_in_progress")
	if r.value("requests_accepted") != sum {
		r.t.Fatalf("%d requests received, but %d ended or in progress", r.value("requests_accepted"), sum)
	}
}

// checkEnd checks that every request has one response, or none if it was abandoned,
// and that the driver holds no exchange and no timeout.
func (r *randomRun) checkEnd() {
	r.t.Helper()
	for _, x := range r.received {
		if n := len(r.responses[x]); n != 1 && !r.abandoned[x] || n > 0 && r.abandoned[x] {
			r.t.Fatalf("%d responses to a request, abandoned: %v; want 1 response, or none if abandoned", n, r.abandoned[x])
		}
	}
	ended := uint64(0)
	for _, name := range outcomeNames {
		ended += r.value(attemptsEndedPrefix + name)
	}
	if inProgress := r.value("requests_in_progress"); inProgress != 0 || len(r.driver.exchanges) != 0 || len(r.driver.attemptTimeouts) != 0 {
		r.t.Errorf("%d requests in progress, %d exchanges and %d timeouts left in the driver", inProgress, len(r.driver.exchanges), len(r.driver.attemptTimeouts))
	}
	if ended != r.value("attempts")+r.value("attempts_ended_not_sent") {
		r.t.Errorf("%d attempts, %d not sent, %d ended", r.value("attempts"), r.value("attempts_ended_not_sent"), ended)
	}
}

// After random events in random order, each request has one response or was abandoned, the driver holds no exchange and
// no timeout, and the counters have been consistent after every event.
func TestCountersAddUp(t *testing.T) {
	for seed := range uint64(20) {
		config := testConfig()
		config.Tier = int(seed % 2)
		r := &randomRun{
			fixture:   newFixture(t, config),
			random:    rand.New(rand.NewPCG(seed, 1)),
			abandoned: map[*exchange.Exchange]bool{},
		}
		before := invariant.Violations()
		for range 2000 {
			r.step()
			r.checkCounters()
		}
		r.advance(10000)
		r.checkEnd()
		if invariant.Violations() != before {
			t.Error("an invariant was violated")
		}
	}
}

// executeForward returns a function that executes a ForwardRequest to an upstream, whatever the Balancer decided.
func executeForward(upstream balance.UpstreamID) func(*fixture, *exchange.Exchange) {
	return func(f *fixture, x *exchange.Exchange) {
		f.driver.execute(&balance.ForwardRequest{Request: x.ID, Upstream: upstream})
	}
}

// executeReject executes a RejectRequest, whatever the Balancer decided.
func executeReject(f *fixture, x *exchange.Exchange) {
	f.driver.execute(&balance.RejectRequest{Request: x.ID})
}

// The driver reports a violated invariant if an action would retry or reject a request unsafely, or would send it to an
// unusable upstream. The Balancer does not decide on such actions, so the test executes them directly.
func TestViolationsAreReported(t *testing.T) {
	for _, tt := range []struct {
		name    string
		class   uint8
		execute func(*fixture, *exchange.Exchange)
		want    uint64
	}{
		{"idempotent, retried", idempotentClass, executeForward(2), 0},
		{"idempotent, rejected in flight", idempotentClass, executeReject, 0},
		{"non-idempotent, retried", nonIdempotentClass, executeForward(2), 1},
		{"non-idempotent, rejected in flight", nonIdempotentClass, executeReject, 1},
		{"idempotency key within a zone, rejected in flight", zoneKeyClass, executeReject, 1},
		{"sent to a draining upstream", idempotentClass, executeForward(4), 1},
		{"sent to an unknown upstream", idempotentClass, executeForward(9), 1},
	} {
		f := newFixture(t, testConfig())
		f.driver.UpdateEndpoints(balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: 4, State: balance.Draining}}})
		x := f.receive(tt.class, 1000)
		before := invariant.Violations()
		func() {
			defer func() {
				if p := recover(); p != nil && !invariant.Debug {
					panic(p)
				}
			}()
			tt.execute(f, x)
		}()
		if n := invariant.Violations() - before; n != tt.want {
			t.Errorf("%s: %d violations, want %d", tt.name, n, tt.want)
		}
	}
}
