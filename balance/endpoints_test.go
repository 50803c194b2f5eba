package balance

import "testing"

// TestRemovedWithoutZone checks that attempts in flight stay counted in the zone class of their upstream
// if the endpoint is removed by an update without its zone.
func TestRemovedWithoutZone(t *testing.T) {
	cfg := testConfig()
	f := newWarmHost(t, cfg, 8)
	req := f.submit(0, 1000)
	if len(req.attempts) != 1 {
		t.Fatal("the request was not forwarded")
	}
	f.sendDelta(Endpoint{ID: req.attempts[0].upstream, State: Removed, Zone: cfg.Zone + 1})
	f.endAttempt(req, 0, OK)
	for zone := range f.b.zones {
		if n := f.b.zones[zone].inFlight; n != 0 {
			t.Errorf("zone class %d has %d attempts in flight, want 0", zone, n)
		}
	}
}

func TestRestartedUpstreamIsNew(t *testing.T) {
	f := newWarmHost(t, testConfig(), 4)
	u := f.b.endpoints.ordered[0]
	f.b.eject(u)
	e := u.Endpoint
	e.StartedAt = f.now
	f.sendDelta(e)
	if u.onProbation || f.b.warmFraction(u) > 0.3 {
		t.Errorf("on probation %v, warm fraction %.2f after a restart; want no probation and a small warm fraction", u.onProbation, f.b.warmFraction(u))
	}
}

func TestPollEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints = true
	b := New(cfg, 1, 0)
	watches := func() int { return len(drain[WatchEndpoints](b)) }
	if watches() != 1 {
		t.Fatal("the instance does not watch the endpoints when it starts")
	}
	b.OnWatchFailed(10)
	if watches() != 0 {
		t.Error("the failed watch is repeated at once, want a delay")
	}
	b.OnTimer(2000, timerWatch)
	if watches() != 1 {
		t.Error("the failed watch is not repeated after the delay")
	}
}

// TestDisableAndEnable checks that no request goes to a disabled upstream,
// whatever the endpoint list reports. When it is enabled again, the upstream gets requests.
// It then warms up, even if the list still reports the old start of its process.
func TestDisableAndEnable(t *testing.T) { //revive:disable-line:function-length table of cases
	const id = 2
	endpointsWithStart := func(started Millis, n int) []Endpoint {
		list := endpointsInZone(n)
		if n >= id {
			list[id-1].StartedAt = started
		}
		return list
	}
	for _, tt := range []struct {
		name      string
		snapshots [][]Endpoint // endpoint updates while the upstream is disabled
		wantStart Millis       // start time of the upstream after it is enabled
		after     []Endpoint   // endpoint update after it is enabled
	}{
		{"no update", nil, 100000, nil},
		{"an update with the old start", [][]Endpoint{endpointsWithStart(5, 3)}, 100000, endpointsWithStart(5, 3)},
		{"a new process", [][]Endpoint{endpointsWithStart(90000, 3)}, 90000, endpointsWithStart(90000, 3)},
		{"removed and added again", [][]Endpoint{endpointsWithStart(5, 1), endpointsWithStart(5, 3)}, 100000, endpointsWithStart(5, 3)},
		{"removed, and added again after it is enabled", [][]Endpoint{endpointsWithStart(5, 1)}, 100000, endpointsWithStart(5, 3)},
	} {
		b := New(testConfig(), 1, 0)
		b.updateEndpoints(EndpointUpdate{Endpoints: endpointsWithStart(5, 3), Snapshot: true})
		if countForwarded(b, 50000, 1, 100)[id] == 0 {
			t.Fatal("the upstream gets no requests before it is disabled")
		}
		b.OnDisable(60000, id)
		for i, list := range tt.snapshots {
			b.OnEndpointUpdate(61000+Millis(i), EndpointUpdate{Endpoints: list, Snapshot: true})
		}
		b.OnDisable(70000, id) // a repeated call has no effect
		if n := countForwarded(b, 70000, 1000, 100)[id]; n != 0 {
			t.Errorf("%s: %d attempts at a disabled upstream, want 0", tt.name, n)
		}
		b.OnEnable(100000, id)
		if tt.after != nil {
			b.OnEndpointUpdate(100001, EndpointUpdate{Endpoints: tt.after, Snapshot: true})
		}
		u := b.endpoints.byID[id]
		if u == nil || u.StartedAt != tt.wantStart || !b.available(u) {
			t.Errorf("%s: the upstream is enabled as %+v, want it available with start time %v", tt.name, u, tt.wantStart)
		}
		if n := countForwarded(b, 100100, 2000, 400)[id]; n == 0 {
			t.Errorf("%s: the upstream gets no requests after it was enabled", tt.name)
		}
		b.OnEnable(120000, id) // no effect on an upstream that is not disabled
		if b.warmFraction(b.endpoints.byID[id]) != 1 {
			t.Errorf("%s: the upstream is still warming up, want it warm", tt.name)
		}
	}
}

// TestAllDisabled checks that new and queued requests are rejected at once when all upstreams are disabled.
func TestAllDisabled(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: endpointsInZone(2), Snapshot: true})
	b.zones[0].limitPerUpstream, b.zones[0].roundingDraw = 0, 1 // no capacity, so requests are queued
	b.OnRequest(10, &RequestArrived{Request: 1, ExpiresIn: 2000})
	if len(b.queue) != 1 {
		t.Fatal("the request is not queued without capacity")
	}
	b.OnDisable(20, 1)
	b.OnDisable(20, 2)
	b.OnRequest(30, &RequestArrived{Request: 2, ExpiresIn: 2000})
	if rejected := len(drain[RejectRequest](b)); rejected != 2 || len(b.queue) != 0 {
		t.Errorf("%d requests are rejected and %d queued, want 2 and 0", rejected, len(b.queue))
	}
}
