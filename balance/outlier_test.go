package balance

import (
	"math"
	"testing"
)

// TestUnresponsiveBeforeTimeout checks that an upstream that does not respond is detected early:
// by its oldest attempt in flight, before any attempt there has ended.
func TestUnresponsiveBeforeTimeout(t *testing.T) {
	f := newWarmHost(t, testConfig(), 8)
	hung := f.b.endpoints.ordered[0]
	var pending []*hostRequest
	for f.now < 2e6 && !hung.unresponsive {
		req := f.submit(0, 2000)
		if len(req.attempts) > 0 && req.attempts[0].upstream == hung.ID {
			req.attempts[0].endsAt = math.Inf(1)
			pending = append(pending, req)
		} else if len(req.attempts) > 0 {
			f.now += 15
			f.endAttempt(req, 0, OK)
		}
		f.step()
	}
	if !hung.unresponsive || f.now-pending[0].attempts[0].sentAt > 800 {
		t.Fatalf("marked as unresponsive: %v, after %.0f ms; want it within 800 ms", hung.unresponsive, f.now-pending[0].attempts[0].sentAt)
	}
	if f.b.usable(hung) {
		t.Error("an unresponsive upstream is still usable")
	}
}

// TestFailuresThatEject checks how many failures in a row eject an upstream.
// It takes more connection resets than errors, and fewer failed connects.
func TestFailuresThatEject(t *testing.T) {
	for _, tt := range []struct {
		outcome Outcome
		want    int
	}{{ConnectionReset, 5}, {UpstreamError, failuresToEject}, {ConnectFailed, 2}} {
		f := newWarmHost(t, testConfig(), 8)
		u := f.b.endpoints.ordered[0]
		for n := 1; n <= tt.want; n++ {
			r := &request{settings: f.b.settings, class: 0, arrivedAt: f.b.now, usefulUntil: f.b.now + 1000}
			f.b.recordOutcome(r, &attempt{upstream: u, sentAt: f.b.now}, tt.outcome, 50)
			if got := !f.b.usable(u); got != (n == tt.want) {
				t.Errorf("%[2]d consecutive failures of outcome %[1]d: ejected %[3]v, want %[4]v", tt.outcome, n, got, n == tt.want)
			}
		}
	}
}

func TestEjectionIsBoundedAndEnds(t *testing.T) {
	f := newWarmHost(t, testConfig(), 8)
	for _, u := range f.b.endpoints.ordered {
		f.b.eject(u)
	}
	ejected := 0
	for _, u := range f.b.endpoints.ordered {
		if !f.b.usable(u) {
			ejected++
		}
	}
	if ejected != 4 {
		t.Errorf("%d of 8 upstreams are ejected, want half of them", ejected)
	}
	f.now += 2 * minEjection
	f.step()
	u := f.b.endpoints.ordered[0]
	if !f.b.usable(u) || !u.onProbation {
		t.Fatal("the upstream is not usable on probation after its ejection")
	}
	u.inFlight++
	if f.b.usable(u) {
		t.Error("an upstream on probation is usable while an attempt is in flight there")
	}
	u.inFlight--
}

// TestErrorsOfLaterTiersDoNotEject checks that an error from a later tier does not count against the upstream.
func TestErrorsOfLaterTiersDoNotEject(t *testing.T) {
	cfg := testConfig()
	cfg.TierCount = 2
	f := newWarmHost(t, cfg, 6)
	for range 60 {
		req := f.submit(0, 2000)
		f.now += 60
		if len(req.attempts) > 0 {
			f.endAttempt(req, 0, UpstreamError)
		}
		f.step()
	}
	for _, u := range f.b.endpoints.ordered {
		if u.onProbation || u.consecutiveFailures > 0 {
			t.Fatalf("an error from a later tier counts against upstream %d", u.ID)
		}
	}
}
