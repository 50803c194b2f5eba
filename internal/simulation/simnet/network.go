// Package simnet simulates a network of processes on a virtual clock. Each process is a loop.Kernel, so that a loop runs
// on it as on the machine's epoll. The clock jumps to the next event; the same seed gives the same run, step by step.
//
// The model of TCP has latency with jitter, segments in order that may be fragmented, a window, half-close, reset,
// refused connections, connection attempts without an answer, a backlog with a bound, silent partitions, immediate reuse
// of descriptors, and a limit of descriptors. It has no loss with retransmission apart from partitions, no congestion
// and no checksums.
//
// All times are in milliseconds. A network and its processes are used by one goroutine.
package simnet

import (
	"fmt"
	"net/netip"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// Path describes the connection between two machines.
type Path struct {
	Latency float64 // ms, one way
	Jitter  float64 // fraction of the latency by which it varies
}

// sameMachine is the path between processes of one machine.
var sameMachine = Path{Latency: 0.02, Jitter: 0.2}

// Network holds the clock and all processes.
type Network struct {
	seed  uint64
	now   float64
	queue eventQueue
	steps uint64
	hash  uint64
	trace func(string) // nil for none

	pathBetween func(zoneA, zoneB string) Path
	listeners   map[netip.AddrPort]*socket
	processes   []*Process
	initiators  []*socket // the connecting ends of all connections; closed ones are removed by resume

	partitionedZones    map[zonePair]bool
	latencyFactors map[zonePair]float64
	fragmentChance float64
	clockOffset    float64 // ms by which the clock of all machines was stepped
}

// New returns a network whose clock starts at the given time. pathBetween returns the path between two zones.
func New(seed uint64, start float64, pathBetween func(zoneA, zoneB string) Path) *Network {
	return &Network{
		seed:           seed,
		now:            start,
		pathBetween:    pathBetween,
		listeners:      map[netip.AddrPort]*socket{},
		partitionedZones:    map[zonePair]bool{},
		latencyFactors: map[zonePair]float64{},
	}
}

// SetTrace makes the network call trace with a line for each segment and each event of a process.
func (n *Network) SetTrace(trace func(string)) { n.trace = trace }

func (n *Network) tracef(format string, args ...any) {
	if n.trace != nil {
		n.trace(fmt.Sprintf("%12.3f ", n.now) + fmt.Sprintf(format, args...))
	}
}

// Spawn returns a new process with its loop, on a machine in a zone. It runs after Start.
func (n *Network) Spawn(name, machine, zone string, maxDescriptors int) *Process {
	p := &Process{
		net:            n,
		name:           name,
		machine:        machine,
		zone:           zone,
		id:             randstream.Hash(n.seed, name),
		rng:            randstream.New(n.seed, names.KernelStream+name),
		maxDescriptors: maxDescriptors,
		clock:          n.now,
	}
	p.loop = loop.New(p)
	n.processes = append(n.processes, p)
	return p
}

// latency draws the latency of one passage between two processes.
func (n *Network) latency(from, to *Process, rng *randstream.Stream) float64 {
	path := sameMachine
	if from.machine != to.machine {
		path = n.pathBetween(from.zone, to.zone)
		if factor := n.latencyFactors[newZonePair(from.zone, to.zone)]; factor > 0 {
			path.Latency *= factor
		}
	}
	return path.Latency * (1 + path.Jitter*rng.Float64())
}

// hostReplyLatency is the latency without jitter of a reply from a machine without a process.
func (n *Network) hostReplyLatency(p *Process) float64 { return n.pathBetween(p.zone, p.zone).Latency }
