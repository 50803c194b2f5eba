package balance

// Slow start: the limit on attempts to an upstream that has just started.

const (
	// warmRateTimeConstant is the time constant, in ms, with which warmRate follows a falling rate.
	// Until measurements have been made for this time, warmRate is their arithmetic mean.
	warmRateTimeConstant = 2000.0
	minWarmFraction      = 0.01 // lower bound of the warm fraction of an upstream
)

// slowStartRate measures the rate of attempts at warm upstreams.
// The slow start tokens are refilled at that rate.
type slowStartRate struct {
	warmRate    float64 // attempts per ms from this instance to one warm upstream
	measuredFor Millis  // total time of the measurements
}

// update adds the rate of attempts at a warm upstream since the last tick.
// The mean rises slowly, because warm upstreams withstand larger bursts than those that are warming up.
// It falls faster than it rises.
func (s *slowStartRate) update(rate float64, elapsed, slowStartDuration Millis) {
	s.measuredFor += elapsed
	timeConstant := warmRateTimeConstant
	switch {
	case s.measuredFor < warmRateTimeConstant: // the first measurements: arithmetic mean
		timeConstant = s.measuredFor
	case rate > s.warmRate:
		timeConstant = max(warmRateTimeConstant, slowStartDuration)
	}
	s.warmRate += (rate - s.warmRate) * min(1, elapsed/timeConstant)
}

// warmFraction returns the minimum fraction of its capacity that an upstream has.
// It is 1 for a warm upstream, and less for one that is warming up.
func (b *Balancer) warmFraction(u *upstream) float64 {
	age := b.now - u.StartedAt
	duration := b.settings.SlowStartDuration
	if u.StartedAt == 0 || age >= duration {
		return 1
	}
	initial := b.settings.SlowStartCapacity
	return max(minWarmFraction, initial+(1-initial)*max(0, age)/duration)
}

// slowStartAllows reports whether an upstream is warm or has a slow start token for one more attempt.
// An instance sends to a warming upstream at most the warm fraction of what it sends to a warm one.
// All instances together thus stay far below OverloadMultiple, at which the upstream fails.
func (b *Balancer) slowStartAllows(u *upstream) bool {
	return u.slowStartTokens >= 1 || b.warmFraction(u) == 1
}

// refillSlowStart adds to the slow start tokens of each upstream, up to one token.
// Their rate is the warm fraction of the rate of this instance's attempts at a warm upstream.
// That rate counts as at least one attempt per OverloadDuration over all replicas, even if none was measured.
func (b *Balancer) refillSlowStart(elapsed Millis) {
	b.measureWarmRate(elapsed)
	rate := max(b.slowStart.warmRate, 1/(max(1, b.settings.OverloadDuration)*b.replicas()))
	for _, u := range b.endpoints.ordered {
		u.slowStartTokens = min(1, u.slowStartTokens+elapsed*rate*b.warmFraction(u))
	}
}

func (b *Balancer) measureWarmRate(elapsed Millis) {
	attempts := 0.0
	warm := 0.0
	for _, u := range b.endpoints.ordered {
		if b.usable(u) && b.warmFraction(u) == 1 {
			attempts += u.attemptsSinceTick
			warm++
		}
		u.attemptsSinceTick = 0
	}
	if warm > 0 && elapsed > 0 {
		b.slowStart.update(attempts/warm/elapsed, elapsed, b.settings.SlowStartDuration)
	}
}
