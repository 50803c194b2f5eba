package balance

import "testing"

// TestLoadIsEven checks that the load of the most loaded of a few upstreams is near the mean.
func TestLoadIsEven(t *testing.T) {
	cfg := testConfig()
	cfg.Tier = 1
	f := newFakeHost(t, cfg, 4)
	var list []Endpoint
	for i := range 10 {
		list = append(list, Endpoint{ID: UpstreamID(i + 1), State: Ready})
	}
	f.sendSnapshot(list...)
	for range 200 {
		f.submit(0, 2000)
	}
	most := 0
	for _, u := range f.b.endpoints.ordered {
		most = max(most, u.inFlight)
	}
	if most > 21 {
		t.Errorf("%d attempts in flight at the most loaded of ten upstreams, want at most 21 for a mean of 20", most)
	}
}

// TestExcessGoesToRemoteZones checks that requests above the limit of the local zone go to remote zones.
func TestExcessGoesToRemoteZones(t *testing.T) {
	f := newWarmHost(t, testConfig(), 8)
	f.b.zones[0].limitPerUpstream, f.b.zones[1].limitPerUpstream = 2, 2
	for range 12 {
		f.submit(0, 2000)
	}
	if local, remote := f.b.zones[0].inFlight, f.b.zones[1].inFlight; local > 8 || local+remote < 12 {
		t.Errorf("%d attempts in flight in the local zone with capacity for 8, %d in remote zones; want 12 in total", local, remote)
	}
}

func TestSpilloverAndReturn(t *testing.T) {
	f := newWarmHost(t, testConfig(), 8)
	set := func(localSlowdown, remoteSlowdown, localSuccessRate float64) {
		f.b.zones[0].slowdown, f.b.zones[1].slowdown = mean{localSlowdown, 100}, mean{remoteSlowdown, 100}
		f.b.zones[0].successRate, f.b.zones[1].successRate = mean{localSuccessRate, 100}, mean{1, 100}
	}
	for _, tt := range []struct {
		name                          string
		localSlowdown, remoteSlowdown float64
		localSuccessRate              float64
		spills                        bool
	}{{"local zone is slow", 2, 1, 1, true}, {"zones are equal", 1, 1, 1, false}, {"local zone fails", 1, 1, 0.5, true},
		{"remote zones are slow", 1, 3, 1, false}} {
		set(tt.localSlowdown, tt.remoteSlowdown, tt.localSuccessRate)
		for range 20 {
			f.b.adjustSpillover()
		}
		if spills := f.b.spillover.fraction > 0.5; spills != tt.spills || f.b.spillover.fraction > 1-probeFraction {
			t.Errorf("%s: spillover fraction %.2f, want it above 0.5: %v", tt.name, f.b.spillover.fraction, tt.spills)
		}
	}
}

// TestFailingUpstreamsGetLittleTraffic checks that upstreams that fail fast, and thus have few attempts
// in flight, get little traffic even if they are too many to be ejected.
func TestFailingUpstreamsGetLittleTraffic(t *testing.T) {
	cfg := testConfig()
	f := newWarmHost(t, cfg, 10)
	failing := map[UpstreamID]bool{}
	for i, u := range f.b.endpoints.ordered {
		failing[u.ID] = i < 7 // more than may be ejected
	}
	failed := 0
	const requests = 400
	for range requests {
		req := f.submit(0, 2000)
		for n := 0; n < len(req.attempts) && !req.responded; n++ {
			if failing[req.attempts[n].upstream] {
				f.endAttempt(req, n, ConnectFailed)
				failed++
			} else {
				req.attempts[n].endsAt, req.attempts[n].outcome = f.now+60, OK
			}
		}
		f.step()
	}
	if failed > requests/12 {
		t.Errorf("%d attempts went to failing upstreams for %d requests, want at most a twelfth", failed, requests)
	}
}

// TestSubsetSize checks that a subset has one upstream for each attempt in flight, but at least minSubset.
func TestSubsetSize(t *testing.T) {
	for _, tt := range []struct {
		name     string
		inFlight int
		want     int
	}{
		{"few in flight", 1, 3}, {"as many as in flight", 20, 20}, {"all of them", 500, 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := New(testConfig(), 1, 0)
			b.zones[0].inFlight = tt.inFlight
			b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(200), Snapshot: true}) // half of them are in the local zone
			if got := len(b.zones[0].subset); got != tt.want {
				t.Errorf("the subset has %d upstreams, want %d", got, tt.want)
			}
		})
	}
}

// TestSubsetGrowsAndIsStable checks that a subset grows to compensate for ejected upstreams,
// and that an update of one upstream does not change the rest of the subset.
func TestSubsetGrowsAndIsStable(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.zones[0].inFlight = 5
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(100), Snapshot: true})
	before := append([]*upstream(nil), b.zones[0].subset...)
	before[0].ejectedUntil, before[1].unresponsive = 1000, true
	b.selectSubsets()
	if got := len(b.zones[0].subset); got != 7 {
		t.Errorf("two of five upstreams are ejected: the subset has %d upstreams, want 7", got)
	}
	before[0].ejectedUntil, before[1].unresponsive = 0, false
	b.updateEndpoints(EndpointUpdate{Endpoints: []Endpoint{{ID: before[2].ID, State: Draining}}})
	kept := 0
	for _, u := range b.zones[0].subset {
		for _, v := range before {
			if u == v {
				kept++
			}
		}
	}
	if kept < 4 || len(b.zones[0].subset) != 5 {
		t.Errorf("one of five upstreams is draining: the subset has %d upstreams, %d of them as before; want 5 and at least 4", len(b.zones[0].subset), kept)
	}
}

// TestSubsetsAreSpreadEvenly checks that the subsets of all instances contain all upstreams about equally
// often, even if only every second or third instance is in the zone.
func TestSubsetsAreSpreadEvenly(t *testing.T) {
	const instances, upstreams = 240, 50
	for _, step := range []int{1, 2, 3} {
		subsets := map[UpstreamID]int{}
		for instance := 0; instance < instances*step; instance += step {
			cfg := testConfig()
			cfg.Instance = instance
			b := New(cfg, uint64(instance), 0)
			b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(2 * upstreams), Snapshot: true}) // half of them are in the local zone
			for _, u := range b.zones[0].subset {
				subsets[u.ID]++
			}
		}
		least, most := instances, 0
		for _, e := range testEndpoints(2 * upstreams) {
			if e.Zone != 0 {
				continue
			}
			least, most = min(least, subsets[e.ID]), max(most, subsets[e.ID])
		}
		if mean := instances * int(minSubset) / upstreams; least < mean*8/10 || most > mean*12/10 {
			t.Errorf("one instance in %d is in the zone: upstreams are in %d to %d subsets, want about the mean of %d", step, least, most, mean)
		}
	}
}

// TestLoadReportsDecideBetweenEqualLoads checks that the upstream with the lower load report is selected
// if the loads are equal. The instance's own attempts in flight have priority over the reports,
// and old reports are ignored.
func TestLoadReportsDecideBetweenEqualLoads(t *testing.T) {
	for _, tt := range []struct {
		name        string
		inFlight    int     // attempts in flight at the upstream with the lower report
		age         Millis  // age of the load reports
		least, most float64 // bounds of the fraction of selections that return it
	}{
		{"equal loads, new reports", 0, 0, 1, 1}, {"own attempt in flight", 1, 0, 0, 0}, {"old reports", 0, loadReportLifetime, 0.4, 0.6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := New(testConfig(), 1, 0)
			b.updateEndpoints(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready}}, Snapshot: true})
			low, high := b.endpoints.byID[1], b.endpoints.byID[2]
			low.reportedInFlight, high.reportedInFlight, low.reportedAt, high.reportedAt = 2, 9, 0, 0
			low.inFlight, b.now = tt.inFlight, tt.age
			const n = 1000
			got := 0.0
			for range n {
				if b.lessLoadedOfTwo(&request{settings: b.settings}, 0, (*Balancer).usable) == low {
					got++
				}
			}
			if got/n < tt.least || got/n > tt.most {
				t.Errorf("selected %.0f times of %d, want a fraction from %.1f to %.1f", got, n, tt.least, tt.most)
			}
		})
	}
}
