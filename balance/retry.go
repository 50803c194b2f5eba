package balance

// Attempts and retries: requests are forwarded, and retried within the retry budget and the idempotency rule.

const (
	retryBudgetRatio = 0.1 // maximum ratio of retries to recent requests
	maxAttempts      = 3   // maximum number of attempts of a request, even if the settings allow more
	ownErrorFraction = 0.2 // fraction of the mean service time: an earlier error is the upstream's own
)

// retryBudget counts the recent retries, in the same buckets as the accept window.
type retryBudget struct {
	byBucket [bucketCount]float64
	recent   float64 // sum of byBucket
}

func (t *retryBudget) count(bucket int) {
	t.byBucket[bucket]++
	t.recent++
}

func (t *retryBudget) clearBucket(bucket int) {
	t.recent -= t.byBucket[bucket]
	t.byBucket[bucket] = 0
}

// exhausted reports whether one more retry exceeds the budget for the given number of recent requests.
func (t *retryBudget) exhausted(requests float64) bool { return t.recent+1 > retryBudgetRatio*requests }

// retryOrGiveUp retries a request or gives it up.
// The last attempt in flight of the request has ended without a response.
func (b *Balancer) retryOrGiveUp(r *request, a *attempt, outcome Outcome, elapsed Millis) {
	if b.mayRetry(r, a) && !b.fromLaterTier(r, outcome, elapsed) {
		b.forwardOrGiveUp(r)
	} else {
		b.giveUp(r, ReasonRetriesExhausted)
	}
}

// fromLaterTier reports whether an error probably comes from a tier behind the upstream:
// there is such a tier, and the upstream had enough time to call it. The instance directly in front
// of that tier has already retried, and retries at each tier would multiply the load.
func (b *Balancer) fromLaterTier(r *request, outcome Outcome, elapsed Millis) bool {
	if outcome != UpstreamError || b.settings.Tier+1 >= b.settings.TierCount {
		return false
	}
	return elapsed > ownErrorFraction*b.serviceTimes.byClass[r.class].value
}

// mayRetry reports whether another attempt of a request is allowed and useful after the given last one.
// An attempt that replaces one that was not sent adds no load, so it is not charged to the retry budget.
func (b *Balancer) mayRetry(r *request, last *attempt) bool {
	if len(r.attempts) >= min(maxAttempts, r.settings.MaxAttempts) {
		return false
	}
	if !last.notSent && b.retryBudget.exhausted(b.window.total.requests) {
		return false
	}
	mayHaveRun := r.firstMayHaveRun >= 0
	if r.bodySent || mayHaveRun && r.classRules().Idempotency == NonIdempotent {
		return false
	}
	remaining := r.usefulUntil - b.now
	return remaining > b.serviceTimes.byClass[r.class].value/2 && remaining > 2*b.settings.Granularity
}

// mayRetryAt reports whether the rule on idempotency allows an attempt at an upstream.
// A request that was never executed, or that is idempotent, may go to any upstream.
func (b *Balancer) mayRetryAt(r *request, u *upstream) bool {
	c := r.classRules()
	if r.firstMayHaveRun < 0 || c.Idempotency == Idempotent {
		return true
	}
	return b.deduplicates(r, u)
}

// deduplicates reports whether an upstream drops a duplicate of a request that may have been executed:
// the request has an idempotency key, its deduplication window has not ended,
// and the upstream is in the deduplication scope of the first attempt.
func (b *Balancer) deduplicates(r *request, u *upstream) bool {
	c := r.classRules()
	if c.Idempotency == NonIdempotent || b.deduplicationTimeLeft(r) <= 0 {
		return false
	}
	return sameScope(c.DeduplicationScope, &r.attempts[r.firstMayHaveRun].sentTo, &u.Endpoint)
}

// deduplicationTimeLeft returns the time until the deduplication window of a request that may have run ends.
func (b *Balancer) deduplicationTimeLeft(r *request) Millis {
	return r.attempts[r.firstMayHaveRun].sentAt + r.classRules().DeduplicationWindow - b.now
}

// sendWithin returns the time in which the next attempt of a request has to be sent, 0 if there is no limit.
// Waiting for a connection must not delay a duplicate until upstreams no longer drop it.
func (b *Balancer) sendWithin(r *request) Millis {
	if r.firstMayHaveRun < 0 || r.classRules().Idempotency != WithIdempotencyKey {
		return 0
	}
	return b.deduplicationTimeLeft(r)
}

// sameScope reports whether two upstreams are in the same deduplication scope,
// so that each drops duplicates of what the other has executed.
func sameScope(scope DeduplicationScope, x, y *Endpoint) bool {
	if scope == ScopeAll {
		return true
	}
	return x.Zone == y.Zone && (scope == ScopeZone || x.Cell == y.Cell)
}

// forwardOrGiveUp sends the next attempt of a request.
// It gives up the request if no upstream can take it, or if a response would come too late.
func (b *Balancer) forwardOrGiveUp(r *request) {
	u := b.selectUpstream(r)
	switch {
	case b.now >= r.usefulUntil:
		b.giveUpUnsent(r, ReasonDeadline)
	case u == nil:
		b.giveUpUnsent(r, ReasonNoUpstream)
	default:
		b.forward(r, u)
	}
}

// giveUpUnsent gives up a request whose next attempt cannot be sent.
// A request without any attempt is rejected.
func (b *Balancer) giveUpUnsent(r *request, reason GiveUpReason) {
	if len(r.attempts) == 0 {
		b.reject(r, reason)
	} else {
		b.giveUp(r, reason)
	}
}

// forward sends the next attempt of a request.
func (b *Balancer) forward(r *request, u *upstream) {
	number := len(r.attempts)
	sendWithin := b.sendWithin(r)
	if number > 0 && !r.attempts[number-1].notSent {
		b.retryBudget.count(b.window.current)
	}
	r.attempts = append(r.attempts, attempt{upstream: u, sentTo: u.Endpoint, sentAt: b.now})
	r.openAttempts++
	if r.firstMayHaveRun < 0 {
		r.firstMayHaveRun = number
	}
	if !r.bodyIncomplete {
		b.startLoad(r, &r.attempts[number])
	}
	if float64(b.inFlight()) > b.subset.peakInFlight {
		b.selectSubsets()
	}
	u.attemptsSinceTick++
	u.slowStartTokens--
	b.outbox.forward(ForwardRequest{
		Request:    r.id,
		Upstream:   u.ID,
		Timeout:    b.attemptTimeout(r),
		SendWithin: sendWithin,
	})
}

// attemptTimeout returns the timeout of an attempt that starts now.
// It is 0 if the attempt may take until the client gives up.
func (b *Balancer) attemptTimeout(r *request) Millis {
	if r.usefulUntil >= r.expiresAt {
		return 0
	}
	return max(b.settings.Granularity, r.usefulUntil-b.now)
}
