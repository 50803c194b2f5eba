package balance

// Selection of an upstream: the less loaded of two random upstreams of a zone class.

// loadReportLifetime is the age up to which a load report is used.
const loadReportLifetime Millis = 10000

// loadTolerance is a factor on the mean load.
// It keeps rounding errors from dropping upstreams that have exactly the mean load.
const loadTolerance = 1.0001

// upstreamFilter reports whether an upstream may be selected.
type upstreamFilter func(*Balancer, *upstream) bool

// selectUpstream returns the upstream for the next attempt of a request, or nil if there is none.
// If none is usable, it selects among all available ones: if all seem to fail, the cause is elsewhere.
func (b *Balancer) selectUpstream(r *request) *upstream {
	if u := b.probeReenabled(r); u != nil {
		return u
	}
	first := b.preferredZone(r)
	for _, zone := range [...]int{first, remoteZones - first} {
		if u := b.lessLoadedOfTwo(r, zone, (*Balancer).usable); u != nil {
			return u
		}
	}
	for _, zone := range [...]int{localZone, remoteZones} {
		if u := b.lessLoadedOfTwo(r, zone, (*Balancer).available); u != nil {
			return u
		}
	}
	return nil
}

// probeReenabled returns an upstream that was enabled again and has got no request since, or nil.
// Selected by load alone, such an upstream would get no request until it is warm.
func (b *Balancer) probeReenabled(r *request) *upstream {
	for i := range b.endpoints.reenabled {
		e := &b.endpoints.reenabled[i]
		u := b.endpoints.byID[e.id]
		if !e.probed && u != nil && b.usable(u) && b.mayRetryAt(r, u) {
			e.probed = true
			return u
		}
	}
	return nil
}

// candidate is an upstream that may get the next attempt of a request.
type candidate struct {
	upstream *upstream
	load     float64 // as returned by loadOf
}

// lessLoadedOfTwo returns the less loaded of two random upstreams of a zone class, or nil if there is none.
// It selects among the subset of this instance or, if none of the subset is eligible,
// among all upstreams of the zone class.
func (b *Balancer) lessLoadedOfTwo(r *request, zone int, eligible upstreamFilter) *upstream {
	b.collectCandidates(r, zone, b.zones[zone].subset, eligible)
	if len(b.candidates) == 0 {
		b.collectCandidates(r, zone, b.endpoints.ordered, eligible)
	}
	b.dropAboveMeanLoad()
	n := len(b.candidates)
	switch n {
	case 0:
		return nil
	case 1:
		return b.candidates[0].upstream
	}
	first := b.rng.IntN(n)
	second := b.rng.IntN(n - 1)
	if second >= first {
		second++
	}
	return b.lessLoaded(&b.candidates[first], &b.candidates[second])
}

// collectCandidates sets the candidates for the next attempt of a request.
func (b *Balancer) collectCandidates(r *request, zone int, from []*upstream, eligible upstreamFilter) {
	found := b.candidates[:0]
	for _, u := range from {
		if b.zoneClassIndex(u) != zone || !eligible(b, u) {
			continue
		}
		if !r.triedAt(u) && b.mayRetryAt(r, u) && b.slowStartAllows(u) {
			found = append(found, candidate{upstream: u, load: b.loadOf(u)})
		}
	}
	b.candidates = found
}

// dropAboveMeanLoad drops the candidates whose load is above the mean.
// With two random choices alone, the load of the most loaded of a few upstreams would be far above the mean.
func (b *Balancer) dropAboveMeanLoad() {
	sum := 0.0
	for i := range b.candidates {
		sum += b.candidates[i].load
	}
	mean := sum / float64(len(b.candidates))
	kept := b.candidates[:0]
	for _, c := range b.candidates {
		if c.load <= mean*loadTolerance {
			kept = append(kept, c)
		}
	}
	b.candidates = kept
}

// lessLoaded returns the less loaded of two candidates. If their loads are equal, the load reports decide,
// and without a difference in those the first one is returned.
func (b *Balancer) lessLoaded(first, second *candidate) *upstream {
	equal := second.load == first.load
	if second.load < first.load || equal && b.reportsLessLoad(second.upstream, first.upstream) {
		return second.upstream
	}
	return first.upstream
}

// reportsLessLoad reports whether x has recently reported fewer requests in flight than y.
// The reports are needed because an instance with little traffic has no attempts in flight at most upstreams.
func (b *Balancer) reportsLessLoad(x, y *upstream) bool {
	older := min(x.reportedAt, y.reportedAt)
	return x.reportedInFlight < y.reportedInFlight && b.now-older < loadReportLifetime
}

// loadOf returns the load by which upstreams are compared: the attempts of this instance in flight,
// divided by the warm fraction of the upstream.
// Consecutive failures add to the load, because an upstream that fails fast has few attempts in flight.
func (b *Balancer) loadOf(u *upstream) float64 {
	return (float64(u.inFlight+1) + loadPerFailure*u.consecutiveFailures) / b.warmFraction(u)
}
