package balance

import "testing"

// TestSettingsReplaced checks that a request in progress keeps the settings of its arrival: its class,
// idempotency and number of attempts.
// The counts of a removed class are dropped, and what was learned about upstreams is kept.
func TestSettingsReplaced(t *testing.T) {
	cfg := testConfig()
	b := New(cfg, 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: endpointsInZone(4), Snapshot: true})
	countForwarded(b, 1000, 100, 100)
	submit := func(id RequestID, class uint8) {
		b.OnRequest(4000, &RequestArrived{Request: id, Class: class, ExpiresIn: 2000})
	}
	countRetries := func(id RequestID) int {
		discard(b)
		n := len(b.requests.byID[id].attempts) - 1
		b.OnAttemptEnded(4100, &AttemptEnded{Request: id, Attempt: n, Outcome: ConnectionReset, Elapsed: 10})
		return len(forwarded(b))
	}
	submit(1, 0)
	submit(2, 1)
	submit(3, 0)
	next := cfg
	next.Classes = append([]Class(nil), cfg.Classes...)
	next.Classes[0].Idempotency = NonIdempotent
	next.Classes[1].Removed = true
	next.Classes = append(next.Classes, Class{LatencyObjective: 800, Deadline: 2000, PriorityWeight: 5, Idempotency: Idempotent})
	serviceTimes, lastSuccess := b.serviceTimes.byClass[0], b.outliers.lastSuccess
	b.OnSettings(4000, &next)
	if b.window.byClass[1] != (windowCount{}) || b.window.total.requests != b.window.byClass[0].requests || b.window.byClass[0].requests == 0 || b.serviceTimes.byClass[0] != serviceTimes || b.outliers.lastSuccess != lastSuccess {
		t.Errorf("counts by class %v, in total %v, after a class was removed; want only the counts of class 0", b.window.byClass, b.window.total)
	}
	submit(4, 0)
	submit(5, 5)
	submit(6, 1)
	if b.requests.byID[6] != nil {
		t.Error("a request of a removed class is accepted")
	}
	noRetries := next
	noRetries.MaxAttempts = 1
	b.OnSettings(4050, &noRetries)
	submit(7, 5)
	for id, want := range map[RequestID]int{1: 1, 2: 0, 4: 0, 5: 1, 7: 0} {
		if got := countRetries(id); got != want {
			t.Errorf("request %d: retried %d times, want %d", id, got, want)
		}
	}
}
