package discovery

import (
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"

	"salttrack/balance"
)

// maxRemovedNames is the maximum number of names of removed upstreams that are kept. Without it the registry would grow
// forever, as upstreams may get a new name at each start.
const maxRemovedNames = 1024

// AddressTable receives the addresses of the upstreams.
type AddressTable interface {
	// SetAddress adds an upstream, or changes its address or the start time of its process.
	SetAddress(id balance.UpstreamID, address netip.AddrPort, startedAt balance.Millis)
	// Remove removes an upstream.
	Remove(balance.UpstreamID)
}

// Registry holds the listed endpoints and assigns ids to them for package balance. It keeps the id of a removed
// upstream for maxRemovedNames further removals, and the id of a pinned upstream at least until it is unpinned.
type Registry struct {
	zones        []string                      // names, indexed by zone number
	ids          map[string]balance.UpstreamID // by upstream name
	names        map[balance.UpstreamID]string // the reverse of ids
	listed       map[balance.UpstreamID]listedEndpoint
	pinned       map[string]bool // by upstream name
	removedNames []string        // in order of removal; some may be listed again
	byAddress    map[netip.AddrPort]balance.UpstreamID
	startTimes   startTimeConverter
}

// listedEndpoint is an endpoint as of its last update.
type listedEndpoint struct {
	address   netip.AddrPort
	wallStart balance.Millis // start time on the wall clock, as the discovery service reports it
	startedAt balance.Millis // start time on the balancer's clock
}

// NewRegistry returns a registry without endpoints. The number of a zone is the index of its name in zones.
func NewRegistry(zones []string) *Registry {
	return &Registry{
		zones:     slices.Clone(zones),
		ids:       map[string]balance.UpstreamID{},
		names:     map[balance.UpstreamID]string{},
		listed:    map[balance.UpstreamID]listedEndpoint{},
		pinned:    map[string]bool{},
		byAddress: map[netip.AddrPort]balance.UpstreamID{},
	}
}

// ObserveClocks records the current time of the balancer's clock and of the wall clock. The discovery service reports
// start times on the wall clock. ObserveClocks is called before each Apply.
func (r *Registry) ObserveClocks(now, wall balance.Millis) { r.startTimes.observe(now, wall) }

// Apply applies an update to the registry and the address table, and converts it to an update of package balance. The
// result also removes endpoints whose address now belongs to another endpoint.
func (r *Registry) Apply(update *Update, addresses AddressTable) balance.EndpointUpdate {
	result := balance.EndpointUpdate{
		Endpoints: make([]balance.Endpoint, 0, len(update.Endpoints)),
		Snapshot:  update.Snapshot,
	}
	updated := map[balance.UpstreamID]bool{}
	for i := range update.Endpoints {
		e := &update.Endpoints[i]
		translated := r.translate(e)
		replaced, conflict := r.conflicting(translated.ID, e)
		if conflict && r.listed[replaced].startedAt > translated.StartedAt {
			translated.State = balance.Removed
		}
		result.Endpoints = append(result.Endpoints, translated)
		if translated.State == balance.Removed {
			r.remove(translated.ID, addresses)
			continue
		}
		if conflict {
			result.Endpoints = append(result.Endpoints, balance.Endpoint{ID: replaced, State: balance.Removed})
			r.remove(replaced, addresses)
		}
		r.setListed(translated.ID, e, translated.StartedAt)
		addresses.SetAddress(translated.ID, e.Address, translated.StartedAt)
		updated[translated.ID] = true
	}
	if update.Snapshot {
		r.removeMissing(updated, addresses)
	}
	return result
}

// translate converts an endpoint to one of package balance.
func (r *Registry) translate(e *Endpoint) balance.Endpoint {
	id := r.id(e.Name)
	return balance.Endpoint{
		ID:        id,
		Zone:      r.zoneNumber(e.Zone),
		Cell:      e.Cell,
		State:     e.State,
		StartedAt: r.startedAt(id, e),
	}
}

// startedAt returns when an upstream started, on the balancer's clock. While the discovery service reports the same
// start time, the result stays the same, even if the wall clock is stepped.
func (r *Registry) startedAt(id balance.UpstreamID, e *Endpoint) balance.Millis {
	if e.StartedAt == 0 || e.State == balance.Removed {
		return e.StartedAt
	}
	if previous, listed := r.listed[id]; listed && previous.wallStart == e.StartedAt {
		return previous.startedAt
	}
	return r.startTimes.toBalancerTime(e.StartedAt)
}

// conflicting returns another upstream that is listed at the address of an endpoint, if there is one. Two names at one
// address are two processes, of which the later one has replaced the earlier one. A request to the earlier one would
// reach the later one, which is warming up.
func (r *Registry) conflicting(id balance.UpstreamID, e *Endpoint) (balance.UpstreamID, bool) {
	if e.State == balance.Removed {
		return 0, false
	}
	other, found := r.byAddress[e.Address]
	return other, found && other != id
}

// setListed records an endpoint as listed.
func (r *Registry) setListed(id balance.UpstreamID, e *Endpoint, startedAt balance.Millis) {
	if previous := r.listed[id].address; previous != e.Address && r.byAddress[previous] == id {
		delete(r.byAddress, previous)
	}
	r.byAddress[e.Address] = id
	r.listed[id] = listedEndpoint{address: e.Address, wallStart: e.StartedAt, startedAt: startedAt}
}

// removeMissing removes the listed upstreams that are not in a snapshot. It removes them in the order of their ids, as
// the order in which their connections are closed must not depend on the iteration order of a map.
func (r *Registry) removeMissing(updated map[balance.UpstreamID]bool, addresses AddressTable) {
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		if !updated[id] {
			r.remove(id, addresses)
		}
	}
}

// remove removes an upstream from the listed upstreams. Its name and id are kept until dropOldestRemoved drops them.
func (r *Registry) remove(id balance.UpstreamID, addresses AddressTable) {
	addresses.Remove(id)
	if address := r.listed[id].address; r.byAddress[address] == id {
		delete(r.byAddress, address)
	}
	delete(r.listed, id)
	r.removedNames = append(r.removedNames, r.names[id])
	r.dropOldestRemoved()
}

// dropOldestRemoved drops the names and ids of the upstreams that were removed first, as long as there are more than
// maxRemovedNames. It keeps those that are listed again or pinned.
func (r *Registry) dropOldestRemoved() {
	for len(r.removedNames) > maxRemovedNames {
		name := r.removedNames[0]
		r.removedNames = r.removedNames[1:]
		id := r.ids[name]
		if _, listed := r.listed[id]; listed || r.pinned[name] || slices.Contains(r.removedNames, name) {
			continue
		}
		delete(r.ids, name)
		delete(r.names, id)
	}
}

// Listed returns the number of listed endpoints.
func (r *Registry) Listed() int { return len(r.listed) }

// Lookup returns the id of an upstream that is listed, pinned or was recently removed.
func (r *Registry) Lookup(name string) (balance.UpstreamID, bool) {
	id, ok := r.ids[name]
	return id, ok
}

// Name returns the name of an upstream that is listed, pinned or was recently removed. For any other id it returns "".
func (r *Registry) Name(id balance.UpstreamID) string { return r.names[id] }

// Pin assigns an id to an upstream, which may not be listed, and keeps the id until Unpin.
func (r *Registry) Pin(name string) balance.UpstreamID {
	r.pinned[name] = true
	return r.id(name)
}

// Unpin ends the effect of Pin. The id is then kept like that of a removed upstream, unless the upstream is listed.
func (r *Registry) Unpin(name string) {
	if !r.pinned[name] {
		return
	}
	delete(r.pinned, name)
	if _, listed := r.listed[r.ids[name]]; !listed {
		r.removedNames = append(r.removedNames, name)
		r.dropOldestRemoved()
	}
}

// id returns the id of an upstream, and assigns one if it has none. The id is a hash of the name, so that all instances
// of the balancer assign the same ids and sort upstreams in the same order. If two names have the same hash, the name
// that is added later gets the next free id.
func (r *Registry) id(name string) balance.UpstreamID {
	if id, ok := r.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := balance.UpstreamID(hash.Sum32())
	for r.names[id] != "" {
		id++
	}
	r.ids[name] = id
	r.names[id] = name
	return id
}

// zoneNumber returns the number of a zone. A zone that the settings do not name gets the next free number.
func (r *Registry) zoneNumber(name string) uint16 {
	i := slices.Index(r.zones, name)
	if i < 0 {
		i = len(r.zones)
		r.zones = append(r.zones, name)
	}
	return uint16(i)
}
