package balance

// Outlier detection: upstreams that fail or do not respond are ejected for a limited time.

import "math"

const (
	loadPerFailure                = 2     // attempts in flight that each failure in a row counts as
	failuresToEject               = 3     // failures in a row that eject, as a sum of failureWeights
	connectFailuresToEject        = 2     // sum of failureWeights that ejects after a ConnectFailed
	minEjection            Millis = 2000  // duration of the first ejection; doubles with each one in a row
	maxEjection            Millis = 16000 // upper bound of the duration of an ejection, without jitter
	minEjectionJitter             = 0.75  // random factor of an ejection's duration: from this to 1.25
	maxEjectedFraction            = 0.5   // largest fraction of the available upstreams that is ejected

	unresponsiveMultiple          = 4.0 // an upstream may take this many mean service times to respond
	minUnresponsiveTimeout Millis = 300 // lower bound of unresponsiveTimeout
)

// failureWeights holds the weight of each kind of failure.
// The weight is lower for a kind of failure that is more common at healthy upstreams.
var failureWeights = [...]float64{UpstreamError: 1, TimedOut: 1, ConnectFailed: 1, ConnectionReset: 0.625}

// outlierDetection is the state of outlier detection that concerns all upstreams together.
type outlierDetection struct {
	lastSuccess Millis // time of the last successful response of any upstream
}

// usable reports whether an upstream may be selected normally: it is available, responsive and not ejected.
// An upstream on probation gets one attempt at a time.
func (b *Balancer) usable(u *upstream) bool {
	if !b.available(u) || u.unresponsive || b.now < u.ejectedUntil {
		return false
	}
	return !u.onProbation || u.inFlight == 0
}

// recordOutcome records the outcome of an attempt for its upstream, its class of requests and its zone class.
func (b *Balancer) recordOutcome(r *request, a *attempt, outcome Outcome, elapsed Millis) {
	u := a.upstream
	switch outcome {
	case OK:
		b.recordSuccess(u, r.class, elapsed)
	case Overloaded:
		u.lastResponse = b.now
		u.unresponsive = false
		b.zoneOf(u).recordNotServed()
	case UpstreamError, ConnectFailed, ConnectionReset, TimedOut:
		b.zoneOf(u).recordNotServed()
		b.recordFailure(r, u, outcome, elapsed)
	}
}

func (b *Balancer) recordSuccess(u *upstream, class uint8, elapsed Millis) {
	u.consecutiveFailures = 0
	u.unresponsive = false
	u.onProbation = false
	u.ejectionBackoff = 0
	u.lastResponse = b.now
	b.outliers.lastSuccess = b.now
	b.serviceTimes.add(class, elapsed)
	b.zoneOf(u).recordServed(elapsed / max(1, b.serviceTimes.byClass[class].value))
}

// recordFailure counts a failure of an upstream.
// It ejects the upstream after too many consecutive failures, or after one failure on probation.
func (b *Balancer) recordFailure(r *request, u *upstream, outcome Outcome, elapsed Millis) {
	if b.countsAgainstUpstream(r, outcome, elapsed) {
		u.consecutiveFailures += failureWeights[outcome]
	}
	cannotConnect := outcome == ConnectFailed && u.consecutiveFailures >= connectFailuresToEject
	if u.onProbation || u.consecutiveFailures >= failuresToEject || cannotConnect {
		b.eject(u)
	}
}

// countsAgainstUpstream reports whether a failure counts against its upstream.
// An error from a later tier does not, nor does a timeout that was too short for the upstream to respond.
func (b *Balancer) countsAgainstUpstream(r *request, outcome Outcome, elapsed Millis) bool {
	if b.fromLaterTier(r, outcome, elapsed) {
		return false
	}
	return outcome != TimedOut || elapsed > unresponsiveMultiple*b.serviceTimes.all.value
}

// eject stops attempts to an upstream for a limited time, unless too many upstreams are ejected already.
func (b *Balancer) eject(u *upstream) {
	if !b.mayEject() {
		return
	}
	u.ejectionBackoff = min(maxEjection, max(minEjection, 2*u.ejectionBackoff))
	jitter := minEjectionJitter + b.rng.Float64()/2
	u.ejectedUntil = b.now + u.ejectionBackoff*jitter
	u.onProbation = true
	u.consecutiveFailures = 0
	b.updateZoneCapacity()
}

// mayEject reports whether one more upstream may be ejected.
// If more than maxEjectedFraction of the available upstreams fail, they are probably not the cause.
func (b *Balancer) mayEject() bool {
	available := 0
	ejected := 0
	for _, u := range b.endpoints.ordered {
		if !b.available(u) {
			continue
		}
		available++
		if u.unresponsive || b.now < u.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedFraction*float64(available)
}

// detectUnresponsive finds upstreams that do not respond at all, and stops new attempts to them.
// It does not wait for the outcomes of their attempts. Attempts in flight continue until their timeouts:
// retried at other upstreams, they would use capacity for requests that can still be served.
// An upstream is ejected when its last attempt in flight has ended.
func (b *Balancer) detectUnresponsive() {
	timeout := b.unresponsiveTimeout()
	for _, r := range b.requests.arrivals {
		for i := range r.attempts {
			b.checkResponsive(&r.attempts[i], timeout)
		}
	}
	for _, u := range b.endpoints.ordered {
		if u.unresponsive && u.inFlight == 0 {
			u.unresponsive = false
			b.eject(u)
		}
	}
}

// unresponsiveTimeout returns how long an upstream may take to respond before it counts as unresponsive.
// The timeout is infinite if the last successful response of any upstream is older than half of it,
// because then the cause is not a single upstream.
func (b *Balancer) unresponsiveTimeout() Millis {
	timeout := max(minUnresponsiveTimeout, unresponsiveMultiple*b.serviceTimes.all.value)
	if b.now-b.outliers.lastSuccess > timeout/2 {
		return math.Inf(1)
	}
	return timeout
}

// checkResponsive marks the upstream of an attempt as unresponsive if the attempt has been in flight
// for at least the timeout and the upstream has not responded to any attempt since it was sent.
// If the attempt is the only one in flight at its upstream, twice the timeout applies.
func (b *Balancer) checkResponsive(a *attempt, timeout Millis) {
	u := a.upstream
	waited := b.now - a.sentAt
	if !a.countsAsLoad || waited < timeout || u.lastResponse >= a.sentAt || u.unresponsive {
		return
	}
	if (u.inFlight > 1 || waited > 2*timeout) && b.mayEject() {
		u.unresponsive = true
	}
}
