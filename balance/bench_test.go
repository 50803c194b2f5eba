package balance

import (
	"fmt"
	"testing"
)

// serve takes one request through an instance, from its arrival to its answer, with a tick now and then.
func serve(b *Balancer, e *Event, id RequestID, now *Millis) {
	*now += 10
	*e = Event{Kind: EventRequest, Request: id, Class: uint8(id % 2), ExpiresIn: 2000}
	b.Handle(*now, e)
	up := UpstreamID(0)
	for _, a := range b.Actions() {
		if a.Kind == ActSend {
			up = a.Upstream
		}
	}
	*e = Event{Kind: EventOutcome, Request: id, Upstream: up, Outcome: OK, Spent: 10, Done: true}
	b.Handle(*now, e)
	if id%10 == 0 {
		*e = Event{Kind: EventTimer, Cookie: cookieTick}
		b.Handle(*now, e)
	}
	b.Actions()
}

func BenchmarkRequest(bm *testing.B) {
	for _, ups := range []int{10, 150} {
		bm.Run(fmt.Sprintf("%d upstreams", ups), func(bm *testing.B) {
			b, now, e := New(testConfig(), 1, 0), 0.0, Event{}
			b.onList(entries(ups), true)
			bm.ReportAllocs()
			id := RequestID(0)
			for bm.Loop() {
				id++
				serve(b, &e, id, &now)
			}
		})
	}
}

// The ordinary path must not allocate, and must look at this copy's part of the fleet only: a pass over a
// large fleet for each request would cost more CPU than some deployments have to spare.
func TestOrdinaryPathIsLean(t *testing.T) {
	b, now, e, id := New(testConfig(), 1, 0), 0.0, Event{}, RequestID(0)
	b.onList(entries(150), true)
	for range 2000 {
		id++
		serve(b, &e, id, &now)
	}
	if n := testing.AllocsPerRun(2000, func() { id++; serve(b, &e, id, &now) }); n > 0 {
		t.Errorf("%.2f allocations a request", n)
	}
	b.cand = make([]*upstream, 0, 150)
	b.pick(&request{cfg: b.cfg})
	if n := len(b.cand[:cap(b.cand)]) - countNil(b.cand[:cap(b.cand)]); n > int(partLeast) {
		t.Errorf("a pick has looked at %d upstreams of 150", n)
	}
}

func countNil(list []*upstream) (n int) {
	for _, u := range list {
		if u == nil {
			n++
		}
	}
	return n
}
