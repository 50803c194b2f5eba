package driver

import (
	"maps"
	"slices"

	"salttrack/balance"
)

// UpdateEndpoints applies an update of the endpoint list. If an upstream is no longer ready, the attempts that are
// waiting for a connection to it end as not sent: the connection could be established long after the start of draining.
func (d *Driver) UpdateEndpoints(update balance.EndpointUpdate) {
	d.counters.endpointUpdates.Inc()
	readyBefore := slices.Sorted(maps.Keys(d.ready))
	if update.Snapshot {
		clear(d.ready)
	}
	for _, e := range update.Endpoints {
		if e.State == balance.Ready {
			d.ready[e.ID] = true
		} else {
			delete(d.ready, e.ID)
		}
	}
	d.balancer.OnEndpointUpdate(d.now(), update)
	d.executeActions()
	for _, id := range readyBefore {
		if !d.ready[id] {
			d.upstreams.CancelUnsent(id)
		}
	}
}

// Disable excludes an upstream from receiving requests until Enable is called, whatever its state in the endpoint list.
// Attempts that are waiting for a connection to the upstream end as not sent.
func (d *Driver) Disable(id balance.UpstreamID) {
	d.disabled[id] = true
	d.balancer.OnDisable(d.now(), id)
	d.executeActions()
	d.upstreams.CancelUnsent(id)
}

// Enable reverses the effect of Disable.
func (d *Driver) Enable(id balance.UpstreamID) {
	delete(d.disabled, id)
	d.balancer.OnEnable(d.now(), id)
	d.executeActions()
}

// upstreamUsable reports whether an upstream is ready according to the endpoint list and not disabled by an operator.
func (d *Driver) upstreamUsable(id balance.UpstreamID) bool { return d.ready[id] && !d.disabled[id] }
