package balance

import (
	"math"
	"testing"
)

func TestRejectionProbability(t *testing.T) {
	tests := []struct {
		name              string
		requests, accepts float64
		tier              int
		want              float64
	}{
		{"all accepted", 300, 300, 0, 0},
		{"just enough accepted", 300, 200, 0, 0},
		{"half accepted", 300, 150, 0, (300 - 1.5*150) / 301},
		{"none accepted", 300, 0, 0, 300.0 / 301},
		{"fewer than minRequests", 19, 0, 0, 0},
		{"half accepted, at an inner tier", 300, 150, 1, 0},
		{"a fifth accepted, at an inner tier", 300, 60, 1, (300 - 3.0*60) / 301},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := twoClasses(1, 1)
			cfg.Tier = tt.tier
			b := newThrottled(cfg, []float64{tt.requests}, []float64{tt.accepts})
			if got := rejectedFraction(b, 0); math.Abs(got-tt.want) > 0.03 {
				t.Errorf("rejects %.3f of the requests, want %.3f", got, tt.want)
			}
		})
	}
}

func TestLowestWeightIsRejectedFirst(t *testing.T) {
	tests := []struct {
		name              string
		low, high         float64
		accepts           float64 // number of accepts among 200 requests of each class
		wantLow, wantHigh [2]float64
	}{
		{"distant weights, half accepted", 1, 12, 100, [2]float64{0.45, 0.55}, [2]float64{0, 0.02}},
		{"distant weights, few accepted", 1, 12, 15, [2]float64{0.99, 1}, [2]float64{0.72, 0.82}},
		{"close weights, half accepted", 5, 8, 100, [2]float64{0.3, 0.42}, [2]float64{0.1, 0.18}},
		{"equal weights", 3, 3, 100, [2]float64{0.2, 0.3}, [2]float64{0.2, 0.3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newThrottled(twoClasses(tt.low, tt.high), []float64{200, 200}, []float64{tt.accepts, tt.accepts})
			low, high := rejectedFraction(b, 0), rejectedFraction(b, 1)
			if low < tt.wantLow[0] || low > tt.wantLow[1] || high < tt.wantHigh[0] || high > tt.wantHigh[1] {
				t.Errorf("rejects %.3f of low weight, %.3f of high weight; want %v and %v",
					low, high, tt.wantLow, tt.wantHigh)
			}
		})
	}
}

// TestUnderutilizedInstanceDoesNotReject checks that an instance with few attempts in flight rejects nothing:
// with few accepts in the window, the formula alone would admit too few requests to detect a recovery.
func TestUnderutilizedInstanceDoesNotReject(t *testing.T) {
	for tier := range 2 {
		cfg := twoClasses(1, 1)
		cfg.Tier = tier
		b := newThrottled(cfg, []float64{300}, []float64{0})
		b.zones[0].inFlight = 0
		if got := rejectedFraction(b, 0); got != 0 {
			t.Errorf("tier %d: rejects %.2f of the requests with none in flight, want 0", tier, got)
		}
	}
}

func TestWindowDropsOldRequests(t *testing.T) {
	b := newThrottled(twoClasses(1, 1), []float64{300}, []float64{0})
	b.OnTimer(bucketDuration+1, 7)
	for range minRequests {
		b.window.count(0, 1)
	}
	b.OnTimer(bucketCount*bucketDuration+1, 7)
	if b.window.total.requests != minRequests || b.window.byClass[0].requests != minRequests {
		t.Errorf("%v requests are counted after a whole window, want the %d of that window", b.window.total.requests, minRequests)
	}
	b.OnTimer(bucketCount*bucketDuration+2*maxBucketDuration, 7)
	if b.window.total.requests != 0 {
		t.Errorf("%v requests are counted long after the last one, want 0", b.window.total.requests)
	}
}

func TestAttemptsWithLittleTimeDoNotCount(t *testing.T) {
	cfg := testConfig()
	cfg.Tier = 1
	f := newWarmHost(t, cfg, 6)
	f.now += bucketCount * bucketDuration
	f.step()
	before := f.b.window.total
	for range 5 {
		req := f.submit(0, 8)
		f.now += 8
		f.endAttempt(req, 0, TimedOut)
	}
	if f.b.window.total != before {
		t.Errorf("requests with little time left changed the counts from %v to %v", before, f.b.window.total)
	}
}

func TestLateResponsesAreNoAccepts(t *testing.T) {
	f := newWarmHost(t, testConfig(), 6)
	for _, tt := range []struct{ elapsed, want float64 }{{100, 1}, {280, 1}, {540, 0.5}, {800, 0}, {900, 0}} {
		req := f.submit(0, 2000)
		before := f.b.window.total
		f.now += tt.elapsed
		f.b.now = f.now
		if got := f.b.acceptFraction(f.b.requests.byID[req.id]); math.Abs(got-tt.want) > 0.01 {
			t.Errorf("a response after %.0f of 800 ms counts as %.2f, want %.2f (window %v)", tt.elapsed, got, tt.want, before)
		}
		f.endAttempt(req, 0, OK)
	}
}

func TestTenantOverQuotaLosesWeight(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuota = []float64{0, 20}
	b := New(cfg, 1, 0)
	full := 0
	for range 30 {
		if b.tenantWeightFactor(1) == 1 {
			full++
		}
		if b.tenantWeightFactor(0) != 1 {
			t.Fatal("a tenant without a quota loses weight")
		}
	}
	if full != 10 {
		t.Errorf("%d of 30 requests keep their full weight, want 10: this instance's half of 20 per second", full)
	}
	b.refillTenantTokens(500)
	if b.tenantWeightFactor(1) != 1 {
		t.Error("the token bucket is not refilled")
	}
}

// TestWindowFollowsTraffic checks that the window gets longer with little traffic,
// until it holds enough requests for the formula.
func TestWindowFollowsTraffic(t *testing.T) {
	for _, perSecond := range []float64{1, 3, 50} {
		b := New(testConfig(), 1, 0)
		for now := 0.0; now < 60000; now += 1000 / perSecond {
			b.OnTimer(now, 1)
			b.window.count(0, 0)
		}
		if n := b.window.total.requests; n < minRequests || n > max(1.5*minRequests, 4*perSecond) {
			t.Errorf("%.0f requests per second: the window holds %.0f requests, want %d to %.0f", perSecond, n, minRequests, max(1.5*minRequests, 4*perSecond))
		}
	}
}

// TestOneFailingClass checks that requests of the lowest weight are rejected first if one class fails.
// The counts of all classes are added up, so the failures of one class cause rejections in the others.
func TestOneFailingClass(t *testing.T) {
	tests := []struct {
		name      string
		accepts   []float64 // by class, of 200 requests of weight 1 and 100 of weight 12
		low, high float64   // largest fractions that may be rejected of each class
	}{
		{"the class of low weight fails", []float64{0, 100}, 0.9, 0.01},
		{"the class of high weight fails", []float64{200, 0}, 0.01, 0.01},
		{"both classes fail in part", []float64{60, 60}, 0.8, 0.02},
	}
	for _, tt := range tests {
		b := newThrottled(twoClasses(1, 12), []float64{200, 100}, tt.accepts)
		if low, high := rejectedFraction(b, 0), rejectedFraction(b, 1); low > tt.low || high > tt.high {
			t.Errorf("%s: rejects %.2f of low weight and %.2f of high weight, want at most %.2f and %.2f", tt.name, low, high, tt.low, tt.high)
		}
	}
}
