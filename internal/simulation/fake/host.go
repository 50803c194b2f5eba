// Package fake implements the processes that a balancer talks to in a simulation: upstreams with a model of their
// service times, clients with a pool of balancers, and discovery. The fakes are written from the definition
// of the protocol alone. They run on event loops, either on the virtual network or on loopback sockets.
// They report what they send and receive to a Recorder. All times are in milliseconds.
//
// Each fake belongs to the loop of its host. It is created and used on that loop only.
// Its timers and descriptors end with the host at the latest.
package fake

import (
	"net/netip"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

// Host is the process in which a fake runs.
type Host interface {
	Loop() *loop.Loop
	Name() string
	// LastReadSentAt returns when the peer sent the byte that was read last from a descriptor.
	// A host that does not know this time returns the current time.
	LastReadSentAt(fd int) float64
	// PeerName returns the name of the process at the other end of a connection, "" if the host does not know it.
	PeerName(fd int) string
}

// BalancerAddress is the name and address of a balancer.
type BalancerAddress struct {
	Name string
	Addr netip.AddrPort
}

// Stream is a named stream of random numbers.
type Stream = randstream.Stream
