package balance

// Endpoints: the upstreams as reported by discovery, and the overrides of operators.

import (
	"cmp"
	"math"
	"slices"
)

// upstream is what an instance knows about one upstream.
type upstream struct {
	Endpoint
	sortKey  uint64 // hash of the id, by which endpointTable.ordered is sorted the same at all instances
	inFlight int    // attempts of this instance in flight that count as load

	attemptsSinceTick float64 // attempts sent to it since the last tick
	slowStartTokens   float64 // at most 1; while it is warming up, an attempt needs one whole token

	consecutiveFailures float64 // sum of failureWeights since its last success or ejection; see recordFailure
	ejectedUntil        Millis  // end of its last ejection
	ejectionBackoff     Millis  // duration of its last ejection without jitter; 0 after a successful response
	onProbation         bool    // it was ejected and has not sent a successful response since
	unresponsive        bool    // it has attempts in flight and sends no responses; see detectUnresponsive
	lastResponse        Millis  // time of its last response with the outcome OK or Overloaded

	reportedInFlight float64 // requests in flight at it, from all instances, by its last load report
	reportedAt       Millis  // time of its last load report; minus infinity if there is none
}

// endpointTable holds the upstreams and the overrides of operators.
type endpointTable struct {
	byID          map[UpstreamID]*upstream
	ordered       []*upstream           // sorted by sortKey
	disabledSince map[UpstreamID]Millis // time at which operators disabled an upstream, while it is disabled
	reenabled     []reenabledUpstream   // upstreams that operators have enabled again
}

// reenabledUpstream records that operators have enabled an upstream again.
// The record is needed until the upstream is warm.
type reenabledUpstream struct {
	id        UpstreamID
	startedAt Millis // earlier start times in the endpoint list are ignored
	probed    bool   // a request was forwarded to it after it was enabled
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[UpstreamID]*upstream{}, disabledSince: map[UpstreamID]Millis{}}
}

// earliestStart returns the earliest start time that is accepted for an upstream, or 0 if any is accepted.
func (t *endpointTable) earliestStart(id UpstreamID) Millis {
	for _, r := range t.reenabled {
		if r.id == id {
			return r.startedAt
		}
	}
	return 0
}

func (t *endpointTable) markAllRemoved() {
	for _, u := range t.ordered {
		u.State = Removed
	}
}

func (t *endpointTable) add(id UpstreamID) *upstream {
	u := &upstream{Endpoint: Endpoint{ID: id}, sortKey: hashID(id)}
	t.byID[id] = u
	t.ordered = append(t.ordered, u)
	return u
}

// prune deletes the removed upstreams that have no attempt in flight, and sorts the remaining ones.
func (t *endpointTable) prune() {
	t.ordered = slices.DeleteFunc(t.ordered, func(u *upstream) bool {
		if u.State != Removed || u.inFlight > 0 {
			return false
		}
		delete(t.byID, u.ID)
		return true
	})
	slices.SortFunc(t.ordered, func(x, y *upstream) int { return cmp.Compare(x.sortKey, y.sortKey) })
}

// available reports whether attempts may be sent to an upstream: it is ready and not disabled by operators.
func (b *Balancer) available(u *upstream) bool {
	_, disabled := b.endpoints.disabledSince[u.ID]
	return u.State == Ready && !disabled
}

// updateEndpoints applies an update of the endpoint list.
func (b *Balancer) updateEndpoints(e EndpointUpdate) {
	b.watchBackoff = minWatchBackoff
	if e.Snapshot {
		b.endpoints.markAllRemoved()
	}
	for _, endpoint := range e.Endpoints {
		b.updateEndpoint(endpoint)
	}
	b.endpoints.prune()
	b.updateUpstreamSets()
}

// updateEndpoint applies one entry of an endpoint update.
// A new process with a known id is treated as a new upstream. A removed endpoint may be reported without
// its zone, so the upstream keeps the zone in which its attempts in flight are counted.
func (b *Balancer) updateEndpoint(e Endpoint) {
	u := b.endpoints.byID[e.ID]
	switch {
	case e.State == Removed:
		if u != nil {
			u.State = Removed
		}
		return
	case u == nil:
		u = b.endpoints.add(e.ID)
		b.resetUpstream(u)
	case e.StartedAt > u.StartedAt:
		b.resetUpstream(u)
	}
	u.Endpoint = e
	u.StartedAt = max(e.StartedAt, b.endpoints.earliestStart(e.ID))
}

// resetUpstream drops all that was learned about an upstream, except its attempts in flight.
func (b *Balancer) resetUpstream(u *upstream) {
	endpoint := u.Endpoint
	endpoint.StartedAt = max(endpoint.StartedAt, b.endpoints.earliestStart(u.ID))
	*u = upstream{
		Endpoint:        endpoint,
		sortKey:         u.sortKey,
		inFlight:        u.inFlight,
		slowStartTokens: b.rng.Float64(),
		reportedAt:      math.Inf(-1),
	}
}

// disable stops new attempts to an upstream until it is enabled again. Attempts in flight continue.
func (b *Balancer) disable(id UpstreamID) {
	if _, disabled := b.endpoints.disabledSince[id]; disabled {
		return
	}
	b.endpoints.disabledSince[id] = b.now
	b.updateUpstreamSets()
}

// enable allows attempts to a disabled upstream again.
// The upstream was restarted in the meantime and therefore warms up.
// Its start time is the one that the endpoint list reported while it was disabled, or else the present time.
func (b *Balancer) enable(id UpstreamID) {
	since, disabled := b.endpoints.disabledSince[id]
	if !disabled {
		return
	}
	delete(b.endpoints.disabledSince, id)
	startedAt := b.now
	u := b.endpoints.byID[id]
	if u != nil && u.StartedAt > since {
		startedAt = u.StartedAt
	}
	b.addReenabled(id, startedAt)
	if u != nil {
		b.resetUpstream(u)
	}
	b.updateUpstreamSets()
}

// addReenabled records that an upstream was enabled again, and drops the records of upstreams that are warm.
func (b *Balancer) addReenabled(id UpstreamID, startedAt Millis) {
	t := &b.endpoints
	t.reenabled = slices.DeleteFunc(t.reenabled, func(r reenabledUpstream) bool {
		return r.id == id || b.now-r.startedAt >= b.settings.SlowStartDuration
	})
	t.reenabled = append(t.reenabled, reenabledUpstream{id: id, startedAt: startedAt})
}

// hashID mixes the bits of an id with the finalizer of SplitMix64.
// The order of the hashes does not depend on the order of the ids.
func hashID(id UpstreamID) uint64 {
	x := uint64(id) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
