// Package discovery watches the endpoint list of a discovery service and keeps track of the listed upstreams.
//
// A watch is a streaming HTTP request. Each message of the response is an update of the endpoint list: a snapshot of
// all endpoints, or a delta with the endpoints that changed. A Watcher sends these requests, detects streams that broke
// or timed out, and passes the updates on. A Registry assigns ids to the endpoints and converts their start times to
// the clock of the balancer, as package balance needs them. Only ParseUpdate knows the names of the wire format.
package discovery

import (
	"net/netip"

	"salttrack/balance"
)

// Update is one message of the discovery service.
type Update struct {
	Revision  uint64
	Snapshot  bool // Endpoints has all endpoints, not only those that changed
	Endpoints []Endpoint
}

// Endpoint is one upstream as the discovery service describes it.
type Endpoint struct {
	Name      string
	Address   netip.AddrPort // may be invalid if the endpoint is removed
	Zone      string
	Cell      uint16
	State     balance.EndpointState
	StartedAt balance.Millis // when its process started, on the wall clock; 0 if unknown
}
