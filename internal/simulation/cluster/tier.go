package cluster

import (
	"net/netip"

	"salttrack/internal/simulation/fake"
)

// tier is one tier of upstreams. The clients call the first tier, and the upstreams of a tier call the next one.
type tier struct {
	number      int // 0 for the first tier
	registry    *fake.Registry
	idempotency map[string]*fake.IdempotencyStore // by zone; the replicas of a zone share a store
	replicas    []*replica
	faults      fake.UpstreamFaults // faults that apply to all replicas
}

// newTier returns a tier without replicas.
func (c *cluster) newTier(number int) *tier {
	t := &tier{number: number, registry: &fake.Registry{}, idempotency: map[string]*fake.IdempotencyStore{}}
	for _, zone := range c.scenario.Cluster.Zones {
		t.idempotency[zone] = fake.NewIdempotencyStore(deduplicationWindow)
	}
	return t
}

// The second byte of the loopback addresses is one of these subnets plus the number of the tier.
const (
	upstreamSubnet      = 10
	balancerSubnet      = 20
	agentSubnet         = 30
	movedUpstreamSubnet = 60 // for upstreams that moved to another address
)

// Ports of the balancers, discovery agents and upstreams.
const (
	balancerPort = 8000
	agentPort    = 8500 // each move of an agent adds 1
	upstreamPort = 9000
)

// address returns the loopback address and port of the process with the given number in a subnet.
func address(subnet, number, port int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(subnet), byte(number >> 8), byte(number + 1)})
	return netip.AddrPortFrom(ip, uint16(port))
}
