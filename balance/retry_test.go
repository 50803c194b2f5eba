package balance

import "testing"

func TestRetryBudget(t *testing.T) {
	f := newWarmHost(t, testConfig(), 8)
	for range bucketCount {
		f.now += bucketDuration
		f.step()
	}
	requests, retries := 0, 0
	for range 200 {
		req := f.submit(0, 2000)
		requests++
		for n := 0; n < len(req.attempts) && !req.responded; n++ {
			f.endAttempt(req, n, UpstreamError)
			if n > 0 {
				retries++
			}
			if len(req.attempts) > maxAttempts {
				t.Fatalf("%d attempts of one request, want at most maxAttempts", len(req.attempts))
			}
		}
		f.step()
	}
	if retries == 0 || float64(retries) > retryBudgetRatio*float64(requests+retries)+1 {
		t.Errorf("%d retries of %d requests, want some within retryBudgetRatio", retries, requests)
	}
}

// TestErrorsOfLaterTiersAreNotRetried checks that only the instance directly in front of a failure retries,
// because retries at each tier before it would multiply.
func TestErrorsOfLaterTiersAreNotRetried(t *testing.T) {
	for _, tt := range []struct {
		name    string
		tiers   int
		elapsed Millis
		retried bool
	}{
		{"last tier", 1, 100, true},
		{"tier before the last, slow error", 2, 100, false},
		{"tier before the last, immediate error", 2, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.TierCount = tt.tiers
			f := newWarmHost(t, cfg, 8)
			req := f.submit(0, 2000)
			f.now += tt.elapsed
			f.endAttempt(req, 0, UpstreamError)
			if retried := len(req.attempts) == 2; retried != tt.retried {
				t.Errorf("retried: %v, want %v", retried, tt.retried)
			}
		})
	}
}

// Guards against a request that runs twice, because a new process at the place of the one that got the first attempt is taken for
// it: the scope in which duplicates are dropped is that of the process that may have run the request.
func TestScopeIsThatOfTheProcessOfTheFirstAttempt(t *testing.T) {
	const cellScope = 3
	f := newWarmHost(t, testConfig(), 12)
	req := f.submit(cellScope, 3000)
	first := *f.endpoints[req.attempts[0].upstream]
	restarted := first.Endpoint
	restarted.StartedAt = f.now
	restarted.Zone = 1 - first.Zone
	restarted.Cell = first.Cell + 1
	f.sendDelta(restarted)
	f.now += 50
	f.endAttempt(req, 0, ConnectionReset)
	if len(req.attempts) != 2 {
		t.Fatal("the request is not retried")
	}
	if second := f.endpoints[req.attempts[1].upstream]; second.Zone != first.Zone || second.Cell != first.Cell {
		t.Errorf("retried in zone %d, cell %d, want zone %d, cell %d", second.Zone, second.Cell, first.Zone, first.Cell)
	}
	for i, attempt := range req.attempts {
		if !attempt.ended {
			f.endAttempt(req, i, OK)
		}
	}
	if n := f.b.inFlight(); n != 0 || f.b.zones[localZone].inFlight != 0 {
		t.Errorf("%d attempts count as in flight, %d of them in the local zone, want none", n, f.b.zones[localZone].inFlight)
	}
}

// Guards against memory that grows with a flood of requests that are rejected at once, between two ticks.
func TestFinishedRequestsAreReusedBeforeTheNextTick(t *testing.T) {
	b := New(testConfig(), 1, 1e6) // has no upstream, so it rejects all requests
	discard(b)
	for id := range RequestID(20 * minSweep) {
		b.OnRequest(1e6, &RequestArrived{Request: id, ExpiresIn: 1000})
		discard(b)
	}
	if n := len(b.requests.arrivals) + len(b.requests.free); n > 2*minSweep {
		t.Errorf("%d finished requests are kept, want at most %d", n, 2*minSweep)
	}
}
