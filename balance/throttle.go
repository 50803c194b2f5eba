package balance

// Throttle: adaptive throttling of new requests. From this instance's own counts in the accept window,
// it rejects the following fraction of the requests, if that is above 0:
//
//	(requests - K * accepts) / (requests + 1)

const (
	firstTierMultiplier   = 1.5  // K at the first tier, where load is shed before any work is done for it
	innerTierMultiplier   = 3.0  // K at inner tiers, where a rejection wastes the work of the tiers in front
	underutilizedFraction = 0.5  // fraction of the in-flight limit: with less in flight, nothing is throttled
	minWeight             = 1e-3 // lower bound of priority weights, which keeps their ratios finite
	fullAcceptFraction    = 0.35 // fraction of the latency objective: an earlier response is a full accept
)

// throttled reports whether to reject a new request.
// The formula determines how many requests of all classes together are rejected.
// Their probabilities are proportional to 1 / (weight * weight), so that low weights are rejected first.
func (b *Balancer) throttled(r *request) bool {
	if b.window.total.requests < minRequests || b.underutilized() {
		return false
	}
	volume := b.rejectionVolume()
	if volume <= 0 {
		return false
	}
	weight := max(minWeight, r.weight)
	return b.rng.Float64()*weight*weight < b.rejectionFactor(volume)
}

// rejectionVolume returns how many of the requests in the accept window the formula rejects.
func (b *Balancer) rejectionVolume() float64 {
	multiplier := firstTierMultiplier
	if b.settings.Tier > 0 {
		multiplier = innerTierMultiplier
	}
	total := &b.window.total
	return (total.requests - multiplier*total.accepts) * total.requests / (total.requests + 1)
}

// rejectionFactor returns the factor at which the rejections of all classes add up to the given volume.
// A request is rejected with the probability factor / (weight * weight), at most 1.
// Each iteration raises the factor, since a class that is rejected completely leaves volume to the others.
func (b *Balancer) rejectionFactor(volume float64) float64 {
	factor := 0.0
	for range b.window.byClass {
		remaining := volume
		scaledRequests := 0.0
		for class := range b.window.byClass {
			weight := max(minWeight, b.settings.Classes[class].PriorityWeight)
			requests := b.window.byClass[class].requests
			if factor >= weight*weight {
				remaining -= requests
			} else {
				scaledRequests += requests / (weight * weight)
			}
		}
		if scaledRequests == 0 || remaining <= 0 {
			break
		}
		factor = remaining / scaledRequests
	}
	return factor
}

// underutilized reports whether more than half of the in-flight limit is unused. The formula is not applied
// then: with few accepts it admits too few requests to detect that the upstreams have recovered.
func (b *Balancer) underutilized() bool {
	return float64(b.inFlight()) < underutilizedFraction*b.totalCapacity()
}

// countOutcome counts the outcome of an attempt in the accept window,
// and adjusts the concurrency limit by it.
func (b *Balancer) countOutcome(r *request, a *attempt, outcome Outcome, elapsed Millis) {
	if outcome >= Cancelled { // says nothing about the upstreams
		return
	}
	accept := 0.0
	if outcome == OK {
		accept = b.acceptFraction(r)
	}
	if accept == 0 && r.usefulUntil-a.sentAt < b.serviceTimes.byClass[r.class].value {
		return // the attempt had too little time left to say anything about the upstreams
	}
	b.window.count(r.class, accept)
	ratio := min(1, elapsed/r.classRules().LatencyObjective)
	b.updateLimitByOutcome(b.zoneOf(a.upstream), outcome, ratio)
}

// acceptFraction returns how far a response to a request counts as an accept if it arrives now, from 0 to 1.
// A late response counts as 0. A response that is almost late counts in part,
// because the queue that delayed it makes the next responses late.
// Inner tiers do not know the latency objective, so every response counts as 1 there.
func (b *Balancer) acceptFraction(r *request) float64 {
	if b.settings.Tier > 0 {
		return 1
	}
	objective := r.classRules().LatencyObjective
	return min(1, max(0, (r.arrivedAt+objective-b.now)/(objective*(1-fullAcceptFraction))))
}
