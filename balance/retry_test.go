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
