package balance

import (
	"math"
	"testing"
)

func TestLimitFollowsOutcomes(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
	z := &b.zones[0]
	z.successRate.n, z.inFlight = 100, 1000
	for range 200 {
		b.updateLimit(z, 0.1)
	}
	high := z.limitPerUpstream
	if high <= initialLimit/2 {
		t.Fatalf("limit %.2f has not risen on fast responses", high)
	}
	for range 80 {
		b.updateLimit(z, 1)
	}
	low := z.limitPerUpstream
	if low > high/2 {
		t.Errorf("limit went from %.2f to %.2f on late responses, want less than half", high, low)
	}
	for range 4000 {
		b.updateLimit(z, 1)
	}
	if z.limitPerUpstream > minLimit || z.limitPerUpstream <= 0 {
		t.Errorf("limit %.3f after many late responses, want at most minLimit and above 0", z.limitPerUpstream)
	}
	z.inFlight, z.limitPerUpstream = 0, 5
	before := z.limitPerUpstream
	b.updateLimit(z, 0)
	if z.limitPerUpstream != before {
		t.Error("a limit that is not in use has risen")
	}
}

// TestErrorsWithFastResponses checks that errors lower the limit to nearly 0 only if responses are slow.
func TestErrorsWithFastResponses(t *testing.T) {
	for _, tt := range []struct {
		name         string
		latencyRatio float64 // latency of a successful response as a fraction of the objective
		wantLow      bool    // whether the limit has to fall below one attempt per upstream
	}{{"fast responses", 0.15, false}, {"slow responses", 0.8, true}} {
		cfg := testConfig()
		cfg.Replicas = 2
		b := New(cfg, 1, 0)
		b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
		z, up := &b.zones[0], b.endpoints.ordered[0]
		up.Zone, z.inFlight = cfg.Zone, 1000
		lowest := z.limitPerUpstream
		for i := range 1000 {
			r := &request{settings: b.settings, class: 0, usefulUntil: 1e9}
			outcome, elapsed := OK, tt.latencyRatio*cfg.Classes[0].LatencyObjective
			if i < 200 { // without queueing at first
				elapsed = 0.15 * cfg.Classes[0].LatencyObjective
			} else if i%5 < 2 {
				outcome, elapsed = UpstreamError, 100
			}
			b.countOutcome(r, &attempt{upstream: up}, outcome, elapsed)
			lowest = min(lowest, z.limitPerUpstream)
		}
		if low := lowest < 1; low != tt.wantLow || lowest <= 0 {
			t.Errorf("%s: the limit fell to %.2f attempts per upstream, want it below 1: %v", tt.name, lowest, tt.wantLow)
		}
	}
}

// TestFractionalCapacity checks that a fractional limit is the average number of attempts allowed.
func TestFractionalCapacity(t *testing.T) {
	for _, tt := range []struct{ limit, want float64 }{{0, minCapacity}, {0.3, 0.3}, {1.6, 1.6}, {7, 7}} {
		const n = 4000
		allowed := 0
		b, r := New(testConfig(), 1, 0), &request{weight: 12}
		b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
		z := &b.zones[0]
		z.limitPerUpstream = tt.limit / z.warmEquivalents
		for range n {
			b.tick()
			for z.inFlightByClass[0] = 0; b.zoneHasCapacity(0, r); z.inFlightByClass[0]++ {
				allowed++
			}
		}
		if got := float64(allowed) / n; math.Abs(got-tt.want) > 0.05 {
			t.Errorf("capacity of %.2f: %.2f attempts allowed on average", tt.want, got)
		}
	}
}

// TestLimitWithFewRequests checks that the first responses without queueing do not lower the limit:
// the baseline is not yet known then.
func TestLimitWithFewRequests(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
	z := &b.zones[0]
	start := z.limitPerUpstream
	for i := range minRequests {
		z.inFlight = int(z.limitPerUpstream * z.warmEquivalents)
		b.updateLimit(z, 0.3+0.01*float64(i%3))
		if z.limitPerUpstream < start {
			t.Fatalf("after %d outcomes without queueing the limit is %.2f, want at least the initial %.2f", i+1, z.limitPerUpstream, start)
		}
	}
}

// TestHighWeightPrecedesLow checks that a request of high weight does not wait for one of low weight
// in flight, even if there is capacity for only one attempt.
func TestHighWeightPrecedesLow(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
	z := &b.zones[0]
	z.limitPerUpstream, z.inFlightByClass[1] = 1/z.warmEquivalents, 1 // capacity for one attempt, and one of weight 1 in flight
	if !b.zoneHasCapacity(0, &request{weight: 12}) {
		t.Error("a request of weight 12 waits for one of weight 1")
	}
	if b.zoneHasCapacity(0, &request{weight: 1}) {
		t.Error("a request of weight 1 exceeds the limit")
	}
	z.inFlightByClass[0], z.inFlightByClass[1] = 1, 0
	if b.zoneHasCapacity(0, &request{weight: 12}) {
		t.Error("a request of weight 12 exceeds a limit that is used up by another of weight 12")
	}
}

// TestMinCapacityIsForOneZoneClass checks that only one zone class of an instance has minCapacity,
// because the minimum capacities of many instances add up.
func TestMinCapacityIsForOneZoneClass(t *testing.T) {
	allowedFraction := func(b *Balancer, zone int) float64 {
		const n = 4000
		allowed := 0.0
		for range n {
			b.tick()
			b.zones[0].limitPerUpstream, b.zones[1].limitPerUpstream = 0, 0
			if b.zoneHasCapacity(zone, &request{weight: 1}) {
				allowed++
			}
		}
		return allowed / n
	}
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
	if local, remote := allowedFraction(b, 0), allowedFraction(b, 1); math.Abs(local-minCapacity) > 0.03 || remote > 0 {
		t.Errorf("capacity in the local zone %.3f of the time, in remote zones %.3f; want minCapacity and 0", local, remote)
	}
	b.updateEndpoints(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Zone: 1, State: Ready}}, Snapshot: true})
	if remote := allowedFraction(b, 1); math.Abs(remote-minCapacity) > 0.03 {
		t.Errorf("without upstreams in the local zone: capacity in remote zones %.3f of the time, want minCapacity", remote)
	}
}

// TestBaselineOfOverloadedUpstreams checks that the limit falls if the upstreams are already overloaded
// when the instance starts: their latency must not become the baseline.
func TestBaselineOfOverloadedUpstreams(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(8), Snapshot: true})
	z := &b.zones[0]
	z.inFlight = 1000
	start := z.limitPerUpstream
	for range 2 * minRequests {
		b.updateLimit(z, 0.46) // above the target ratio of maxBaselineRatio, and below lateRatio
	}
	if z.limitPerUpstream >= start {
		t.Errorf("limit %.2f, want less than the initial %.2f, if all responses take nearly half of the latency objective", z.limitPerUpstream, start)
	}
}
