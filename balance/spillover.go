package balance

// Spillover: the fraction of the requests that go to remote zones because these serve better.

const (
	spilloverInterval    = 1000.0 // ms between two adjustments of the fraction
	spilloverStep        = 0.1    // change per adjustment: small, as all instances of a zone may move at once
	probeFraction        = 0.02   // minimum fraction of requests for each zone class, to measure it
	minLocalOutcomes     = 10     // outcomes from the local zone that a comparison needs
	minRemoteOutcomes    = 2      // outcomes from remote zones that a comparison needs
	slowdownThreshold    = 1.25   // ratio of local to remote slowdown above which the fraction rises
	successRateThreshold = 0.9    // ratio of local to remote success rate below which the fraction rises
)

// zoneSpillover is the state of the spillover.
type zoneSpillover struct {
	fraction float64 // fraction of the requests that are sent to remote zones first
	nextStep Millis  // time of the next adjustment
}

// adjustSpillover moves the fraction of requests that go to remote zones by one step.
func (b *Balancer) adjustSpillover() {
	b.spillover.nextStep = b.now + spilloverInterval
	local, remote := &b.zones[localZone], &b.zones[remoteZones]
	if remote.successRate.n < minRemoteOutcomes || local.successRate.n < minLocalOutcomes {
		return
	}
	slower := local.slowdown.value > slowdownThreshold*remote.slowdown.value
	lessReliable := local.successRate.value < successRateThreshold*remote.successRate.value
	if slower || lessReliable {
		b.spillover.fraction = min(1-probeFraction, b.spillover.fraction+spilloverStep)
	} else {
		b.spillover.fraction = max(0, b.spillover.fraction-spilloverStep)
	}
}

// preferredZone returns the zone class for a request, chosen at random by the spillover fraction.
// If that one has no capacity and the other one has, it returns the other one.
func (b *Balancer) preferredZone(r *request) int {
	first := localZone
	if b.rng.Float64() < max(probeFraction, b.spillover.fraction) {
		first = remoteZones
	}
	second := remoteZones - first
	if !b.zoneHasCapacity(first, r) && b.zoneHasCapacity(second, r) {
		return second
	}
	return first
}
