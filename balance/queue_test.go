package balance

import (
	"math"
	"testing"
)

func TestAdmissionQueue(t *testing.T) {
	f := newWarmHost(t, testConfig(), 4)
	for zone := range f.b.zones {
		f.b.zones[zone].limitPerUpstream, f.b.zones[zone].roundingDraw = 1, 0
	}
	var low, high []*hostRequest
	for range 4 {
		f.submit(0, 2000)
	}
	for range 3 {
		low = append(low, f.submit(1, 3000))
	}
	high = append(high, f.submit(0, 2000))
	if len(high[0].attempts)+len(low[0].attempts) > 0 {
		t.Fatal("requests are forwarded beyond the limit")
	}
	first := f.arrivals[len(f.arrivals)-8]
	f.b.OnTimer(f.now, 1<<40) // any event: it must not forward a request without capacity
	if len(high[0].attempts) != 0 {
		t.Fatal("a queued request is forwarded without capacity")
	}
	first.attempts[0].ended = true
	f.endAttempt(first, 0, OK)
	if len(high[0].attempts) != 1 || len(low[1].attempts) != 0 {
		t.Errorf("forwarded %d of high weight and %d of low weight, want only the one of high weight", len(high[0].attempts), len(low[1].attempts))
	}
	for _, req := range f.arrivals {
		for _, attempt := range req.attempts {
			attempt.endsAt = math.Inf(1)
		}
	}
	start := f.now
	for !low[2].responded && f.now < start+1000 {
		f.step()
	}
	if f.now-start > maxQueueFraction*1200+50 {
		t.Errorf("a queued request was rejected after %.0f ms, want at most maxQueueFraction of the latency objective", f.now-start)
	}
}

// TestQueueTimeoutLeavesTimeToServe checks that a queued request waits only while it can still be served
// in time, and for at most half of the time until its deadline.
func TestQueueTimeoutLeavesTimeToServe(t *testing.T) {
	for _, tt := range []struct {
		name        string
		remaining   Millis // time until the client gives up
		serviceTime Millis // mean service time
		least, most Millis // bounds of the queue timeout
	}{
		{"enough time", 900, 100, 300, 350},
		{"half of the time until the deadline", 400, 100, 200, 200},
		{"until a response would be too late", 250, 300, 100, 100},
		{"already too late", 100, 300, 0, 0},
	} {
		cfg := twoClasses(1, 12)
		b := New(cfg, 1, 0)
		b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(4), Snapshot: true})
		b.serviceTimes.byClass[0].value = tt.serviceTime
		discard(b)
		b.enqueue(&request{settings: b.settings, id: 7, usefulUntil: tt.remaining, expiresAt: tt.remaining, firstMayHaveRun: -1, weight: 1})
		for _, a := range drain[SetTimer](b) {
			if a.After < tt.least || a.After > tt.most {
				t.Errorf("%s: queue timeout %.0f ms, want %.0f to %.0f", tt.name, a.After, tt.least, tt.most)
			}
		}
		if len(b.queue) != 1 {
			t.Errorf("%s: %d requests in the queue, want 1", tt.name, len(b.queue))
		}
	}
}

// Guards against a late response to a long request: when the last byte of a queued request has arrived, its deadline is known,
// and its queue timeout has to follow it.
func TestQueueTimeoutFollowsDeadline(t *testing.T) {
	const remaining Millis = 150
	for name, report := range map[string]func(*Balancer, RequestID){
		"body complete":      func(b *Balancer, id RequestID) { b.OnBodyComplete(0, id, remaining) },
		"deadline shortened": func(b *Balancer, id RequestID) { b.OnDeadlineShortened(0, id, remaining) },
	} {
		b := New(twoClasses(1, 12), 1, 0)
		b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(4), Snapshot: true})
		for i := range b.zones {
			b.zones[i].limitPerUpstream, b.zones[i].roundingDraw = 0, 1 // no capacity
		}
		b.OnRequest(0, &RequestArrived{Request: 7, ExpiresIn: 3600e3, BodyIncomplete: true})
		discard(b)
		report(b, 7)
		timers := drain[SetTimer](b)
		if len(b.queue) != 1 || len(timers) != 1 || timers[0].Timer != 7 || timers[0].After > remaining/2 {
			t.Errorf("%s: %d requests in the queue, timers %+v, want one request with a timer of at most %.0f ms", name, len(b.queue), timers, remaining/2)
		}
	}
}
