package balance

// Subsetting: an instance with few requests in flight uses only a subset of each zone class.
// If it used all upstreams of a large fleet, its own requests in flight would say nothing about their load,
// and idle connections would be closed before they are used again.

import "math"

const (
	minSubset = 3.0  // minimum size, so that there are two upstreams to choose from when one is ejected
	peakDecay = 0.97 // factor on peakInFlight at each tick, for a time constant of 3.3 s
)

// subsetSelection is the state from which the subsets are selected.
type subsetSelection struct {
	peakInFlight float64                  // decaying maximum of the attempts in flight
	rings        [zoneClasses][]*upstream // upstreams of each zone class; the memory is reused
}

// selectSubsets selects a subset of each zone class.
// It has as many usable upstreams as this instance recently had attempts in flight at once.
// All instances select from the same ring of upstreams, each from a start of its own.
// The start of an instance, as a fraction of the ring, is its index times the golden ratio modulo 1.
// This spreads the starts of any number of instances evenly.
func (b *Balancer) selectSubsets() {
	b.subset.peakInFlight = max(b.subset.peakInFlight*peakDecay, float64(b.inFlight()))
	target := max(minSubset, b.subset.peakInFlight)
	startFraction := math.Mod(float64(b.settings.Instance)*math.Phi, 1)
	b.updateRings()
	for zone := range b.zones {
		b.selectSubset(zone, target, startFraction)
	}
}

// updateRings adds each upstream that is not removed to the ring of its zone class,
// in the order of the sort keys.
func (b *Balancer) updateRings() {
	rings := &b.subset.rings
	for zone := range rings {
		rings[zone] = rings[zone][:0]
	}
	for _, u := range b.endpoints.ordered {
		if u.State != Removed {
			zone := b.zoneClassIndex(u)
			rings[zone] = append(rings[zone], u)
		}
	}
}

// selectSubset selects consecutive upstreams from the ring of a zone class, starting at startFraction of it.
// It stops when the sum of their warm fractions reaches target.
// Upstreams that are ejected, draining or warming up are thus compensated by additional ones.
func (b *Balancer) selectSubset(zone int, target, startFraction float64) {
	ring := b.subset.rings[zone]
	first := int(startFraction * float64(len(ring)))
	z := &b.zones[zone]
	z.subset = z.subset[:0]
	warmEquivalents := 0.0
	for i := 0; i < len(ring) && warmEquivalents < target; i++ {
		u := ring[(i+first)%len(ring)]
		if b.available(u) {
			z.subset = append(z.subset, u)
		}
		if b.usable(u) {
			warmEquivalents += b.warmFraction(u)
		}
	}
}
