package balance

// Zone classes: upstreams are in the local zone, which is that of this instance, or in a remote zone.
// All remote zones together are one zone class.

const (
	localZone   = 0
	remoteZones = 1
	zoneClasses = 2
)

const (
	zoneOutcomeGain = 0.05 // weight of the newest outcome in the means of a zone class
	maxSlowdown     = 4.0  // upper bound of a slowdown: one expensive request must not make a zone look slow
)

// zoneClass is the state of the upstreams of one zone class.
type zoneClass struct {
	slowdown         mean        // service time divided by the mean service time of the class of requests
	successRate      mean        // fraction of the attempts that were served
	inFlight         int         // attempts of this instance in flight
	inFlightByClass  []int       // attempts of this instance in flight, indexed by class of requests
	roundingDraw     float64     // random number in [0, 1), drawn at each tick; see zoneHasCapacity
	subset           []*upstream // upstreams that this instance uses
	warmEquivalents  float64     // sum of the warm fractions of its usable upstreams
	limitPerUpstream float64     // limit on the attempts of this instance in flight, per warm upstream
}

func (z *zoneClass) addInFlight(class uint8, n int) {
	z.inFlight += n
	z.inFlightByClass[class] += n
}

// limit returns the number of attempts that may be in flight in the zone class.
func (z *zoneClass) limit() float64 { return z.limitPerUpstream * z.warmEquivalents }

func (z *zoneClass) recordServed(slowdown float64) {
	z.slowdown.add(min(maxSlowdown, slowdown), zoneOutcomeGain)
	z.successRate.add(1, zoneOutcomeGain)
}

func (z *zoneClass) recordNotServed() { z.successRate.add(0, zoneOutcomeGain) }

// zoneClassIndex returns the index of the zone class of an upstream.
func (b *Balancer) zoneClassIndex(u *upstream) int {
	if u.Zone == b.settings.Zone {
		return localZone
	}
	return remoteZones
}

// zoneOf returns the zone class of an upstream.
func (b *Balancer) zoneOf(u *upstream) *zoneClass { return &b.zones[b.zoneClassIndex(u)] }

// inFlight returns the number of attempts in flight.
func (b *Balancer) inFlight() int { return b.zones[localZone].inFlight + b.zones[remoteZones].inFlight }

// warmEquivalents returns the sum of the warm fractions of all usable upstreams.
func (b *Balancer) warmEquivalents() float64 {
	return b.zones[localZone].warmEquivalents + b.zones[remoteZones].warmEquivalents
}

// totalCapacity returns the number of attempts that may be in flight at all usable upstreams, at least 1.
func (b *Balancer) totalCapacity() float64 {
	return max(1, b.zones[localZone].limit()+b.zones[remoteZones].limit())
}

// updateZoneCapacity sums the warm fractions of the usable upstreams of each zone class.
// If no upstream is usable, it counts all available ones, since they may only seem to fail.
func (b *Balancer) updateZoneCapacity() {
	b.zones[localZone].warmEquivalents = 0
	b.zones[remoteZones].warmEquivalents = 0
	for _, counts := range [...]upstreamFilter{(*Balancer).usable, (*Balancer).available} {
		for _, u := range b.endpoints.ordered {
			if counts(b, u) {
				b.zoneOf(u).warmEquivalents += b.warmFraction(u)
			}
		}
		if b.warmEquivalents() > 0 {
			return
		}
	}
}
