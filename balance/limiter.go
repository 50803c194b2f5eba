package balance

// Concurrency limit: the maximum number of attempts in flight, learned from the latencies
// of this instance's own attempts. Only instances that send to the first tier have a limit.

import "math"

const (
	lateRatio        = 0.5   // mean latency ratio at which many responses are late
	minBaselineRatio = 0.05  // lower bound of the baseline: smaller latency ratios are no measure of queueing
	maxBaselineRatio = 0.4   // upper bound of the baseline: larger latency ratios are caused by queueing
	baselineRiseGain = 0.004 // fraction of the way to a higher mean that the baseline moves at each outcome
	ratioGain        = 0.05  // weight of the newest outcome in the mean latency ratios
	limitGain        = 1.4   // relative change of a limit per round trip if the ratio is 1.0 off targetRatio
	minUtilization   = 0.8   // a limit rises only while at least this fraction of it is in use
	initialLimit     = 6.0   // limit at the start: attempts in flight per upstream, over all replicas
	minLimit         = 0.5   // lower bound of a limit: attempts in flight per upstream, over all replicas
	minLimitOnErrors = 4.0   // lower bound of a limit if only errors lower it: per upstream, all replicas
	minCapacity      = 0.1   // lower bound of an instance's limit, in attempts, so that it keeps measuring
)

// concurrencyLimiter holds the mean latency ratios by which the limits are adjusted.
// The latency ratio of an attempt is its latency divided by the latency objective.
// It is 1 if there was no response in time.
type concurrencyLimiter struct {
	latencyRatio   mean    // mean latency ratio of all attempts
	okLatencyRatio mean    // mean latency ratio of the successful attempts
	baselineRatio  float64 // estimate of the latency ratio without queueing
}

// record adds the latency ratio of an attempt.
// During the first minRequests outcomes the baseline equals the mean.
// Later it falls to a lower mean at once and rises slowly to a higher one.
func (l *concurrencyLimiter) record(ratio float64) {
	l.latencyRatio.add(ratio, ratioGain)
	if l.latencyRatio.n <= minRequests || l.latencyRatio.value < l.baselineRatio {
		l.baselineRatio = l.latencyRatio.value
	}
	l.baselineRatio += (l.latencyRatio.value - l.baselineRatio) * baselineRiseGain
}

// targetRatio returns the latency ratio at which a limit settles.
// It is the geometric mean of the baseline and lateRatio.
func (l *concurrencyLimiter) targetRatio() float64 {
	baseline := min(maxBaselineRatio, max(l.baselineRatio, minBaselineRatio))
	return math.Sqrt(baseline * lateRatio)
}

// updateLimitByOutcome adjusts the limit of a zone class by the outcome of one of its attempts.
func (b *Balancer) updateLimitByOutcome(z *zoneClass, outcome Outcome, ratio float64) {
	switch outcome {
	case OK:
		b.limiter.okLatencyRatio.add(ratio, ratioGain)
		b.updateLimit(z, ratio)
	case TimedOut, Overloaded:
		b.updateLimit(z, 1)
	case UpstreamError:
		b.updateLimitByError(z)
	}
}

// updateLimitByError lowers the limit of a zone class after an error. While successful responses are fast,
// it does not lower the limit below minLimitOnErrors, because such errors are not caused by queueing.
func (b *Balancer) updateLimitByError(z *zoneClass) {
	before := z.limitPerUpstream
	b.updateLimit(z, 1)
	if b.limiter.okLatencyRatio.value < maxBaselineRatio {
		z.limitPerUpstream = max(z.limitPerUpstream, min(before, minLimitOnErrors/b.replicas()))
	}
}

// updateLimit adjusts the limit of a zone class by the latency ratio of one of its attempts.
// The step is divided by the number of warm upstreams.
// All attempts of one round trip together thus change the limit by a bounded fraction.
func (b *Balancer) updateLimit(z *zoneClass, ratio float64) {
	b.limiter.record(ratio)
	step := limitGain * (b.limiter.targetRatio() - ratio) / max(1, z.warmEquivalents)
	if step < 0 || float64(z.inFlight+1) >= minUtilization*z.limitPerUpstream*z.warmEquivalents {
		z.limitPerUpstream = max(minLimit/b.replicas(), z.limitPerUpstream+step)
	}
}

// hasCapacity reports whether a request may be forwarded now.
// It is also true without any upstream, because there is no capacity that the request could wait for.
func (b *Balancer) hasCapacity(r *request) bool {
	return b.zoneHasCapacity(localZone, r) || b.zoneHasCapacity(remoteZones, r) || b.warmEquivalents() == 0
}

// zoneHasCapacity reports whether the load of a zone class is below its limit.
// Inner tiers have no limit, because a request that waits there stays in flight in the tier in front.
// A fractional limit is rounded up at random, with the probability of its fraction, by roundingDraw.
// minCapacity applies to one zone class only: the local one if it has upstreams, else the remote one.
func (b *Balancer) zoneHasCapacity(zone int, r *request) bool {
	if b.settings.Tier > 0 {
		return true
	}
	z := &b.zones[zone]
	minimum := minCapacity
	if zone != localZone && b.zones[localZone].warmEquivalents > 0 {
		minimum = 0
	}
	return z.warmEquivalents > 0 && b.weightedInFlight(z, r)+z.roundingDraw < max(minimum, z.limit())
}

// weightedInFlight returns the number of attempts in flight in a zone class as they count against
// the capacity for the request r. Attempts of a lower priority weight count by the ratio of the weights,
// all others count as 1. Requests of a higher weight are thus forwarded first when capacity is small.
func (b *Balancer) weightedInFlight(z *zoneClass, r *request) float64 {
	sum := 0.0
	for class, n := range z.inFlightByClass {
		sum += float64(n) * min(1, b.settings.Classes[class].PriorityWeight/max(minWeight, r.weight))
	}
	return sum
}
