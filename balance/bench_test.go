package balance

import (
	"fmt"
	"testing"
)

// serveRequest advances the clock by 10 ms, then reports a request and the success of its attempt to an instance.
// At every tenth request id it also fires the housekeeping timer.
func serveRequest(b *Balancer, id RequestID, now *Millis) {
	*now += 10
	b.OnRequest(*now, &RequestArrived{Request: id, Class: uint8(id % 2), ExpiresIn: 2000})
	discard(b)
	b.OnAttemptEnded(*now, &AttemptEnded{Request: id, Outcome: OK, Elapsed: 10, RequestDone: true})
	if id%10 == 0 {
		b.OnTimer(*now, timerTick)
	}
	discard(b)
}

func BenchmarkRequest(bm *testing.B) {
	for _, upstreams := range []int{10, 150} {
		bm.Run(fmt.Sprintf("%d upstreams", upstreams), func(bm *testing.B) {
			b, now := New(testConfig(), 1, 0), 0.0
			b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(upstreams), Snapshot: true})
			bm.ReportAllocs()
			id := RequestID(0)
			for bm.Loop() {
				id++
				serveRequest(b, id, &now)
			}
		})
	}
}

// TestOrdinaryPathCost checks that a request that is served by its first attempt causes no allocation,
// and that the selection of its upstream reads only the subset of the instance.
func TestOrdinaryPathCost(t *testing.T) {
	b, now, id := New(testConfig(), 1, 0), 0.0, RequestID(0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(150), Snapshot: true})
	for range 2000 {
		id++
		serveRequest(b, id, &now)
	}
	if n := testing.AllocsPerRun(2000, func() { id++; serveRequest(b, id, &now) }); n > 0 {
		t.Errorf("%.2f allocations per request, want 0", n)
	}
	b.candidates = make([]candidate, 0, 150)
	b.selectUpstream(&request{settings: b.settings})
	if n := len(b.candidates[:cap(b.candidates)]) - countNil(b.candidates[:cap(b.candidates)]); n > int(minSubset) {
		t.Errorf("the selection has read %d of 150 upstreams, want at most the subset", n)
	}
}

// countNil returns the number of candidates without an upstream.
func countNil(list []candidate) (n int) {
	for _, c := range list {
		if c.upstream == nil {
			n++
		}
	}
	return n
}
