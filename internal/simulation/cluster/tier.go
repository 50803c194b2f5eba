package cluster

import (
	"net/netip"

	"salttrack/internal/simulation/fake"
)

// tier is one tier of upstreams.
type tier struct {
	number      int
	registry    *fake.Registry
	idempotency map[string]*fake.IdempotencyStore // by zone
	replicas    []*replica
	faults      fake.UpstreamFaults // of all replicas
}

func (c *cluster) newTier(number int) *tier {
	t := &tier{number: number, registry: &fake.Registry{}, idempotency: map[string]*fake.IdempotencyStore{}}
	for _, zone := range c.scenario.Cluster.Zones {
		t.idempotency[zone] = fake.NewIdempotencyStore(deduplicationWindow)
	}
	return t
}

// The second byte of addresses; the tier is added.
const (
	upstreamSubnet  = 10
	balancerSubnet  = 20
	agentSubnet     = 30
	movedUpstreamSubnet = 60 // of upstreams that moved to another address
)

// Ports of all processes of a kind.
const (
	balancerPort = 8000
	agentPort    = 8500 // the number of moves is added
	upstreamPort = 9000
)

// address returns the loopback address of a process in a subnet.
func address(subnet, number, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(subnet), byte(number >> 8), byte(number + 1)})
	return netip.AddrPortFrom(ip, uint16(port))
}
