package node

import (
	"fmt"
	"net/netip"
	"testing"

	"salttrack/balance"
	"salttrack/internal/discovery"
	"salttrack/internal/memory"
)

// Endpoints that are listed after the start count against the memory for peers, up to half of it.
func TestEndpointsAreCounted(t *testing.T) {
	const added = 4
	r := newHotRestartBalancer(t, &fakeStore{})
	r.Do(func() {
		n := r.node
		n.baseEndpoints = n.registry.Listed()
		update := &discovery.Update{}
		for i := range added {
			address := netip.MustParseAddrPort(fmt.Sprintf("127.0.9.%d:80", 1+i))
			update.Endpoints = append(update.Endpoints, discovery.Endpoint{Name: address.String(), Address: address, State: balance.Ready})
		}
		n.onEndpointUpdate(update)
		if used := n.memory.Used(memory.Endpoints); used != added*endpointBytes {
			t.Errorf("%d endpoints were added, %d bytes are counted", added, used)
		}
		n.memory.SetLimit(added * endpointBytes)
		n.countEndpoints()
		if used := n.memory.Used(memory.Endpoints); used != added*endpointBytes/2 {
			t.Errorf("%d bytes are counted for endpoints, half of the limit are %d", used, added*endpointBytes/2)
		}
	})
}
