// Package simnet simulates processes that communicate by TCP, on a virtual clock.
//
// Each process implements loop.Kernel, so the same event loop runs on it and on the epoll of the operating system.
// The clock jumps from event to event. The same seed reproduces a run step by step.
//
// The model of TCP includes latency with jitter, in-order delivery, fragmented writes, a window, half-close, resets,
// refused connections, retried SYNs, a bounded backlog, partitions that drop traffic silently, immediate reuse of
// descriptors, and a limit on open descriptors.
// It does not include congestion, checksums, or packet loss other than partitions.
//
// All times are in milliseconds. A network and its processes must be used by one goroutine.
package simnet

import (
	"fmt"
	"net/netip"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// Path describes the network path between two machines.
type Path struct {
	Latency float64 // one-way latency, in ms
	Jitter  float64 // maximum additional latency, as a fraction of Latency
}

// sameMachine is the path between two processes on one machine.
var sameMachine = Path{Latency: 0.02, Jitter: 0.2}

// Network holds the virtual clock, the event queue and all processes.
type Network struct {
	seed  uint64
	now   float64 // virtual time in ms
	queue eventQueue
	steps uint64
	hash  uint64
	trace func(string) // receives the lines of the trace; nil disables the trace

	pathBetween func(zoneA, zoneB string) Path
	listeners   map[netip.AddrPort]*socket
	processes   []*Process
	initiators  []*socket // sockets that called Connect; resumeConnections removes those of closed connections

	partitionedZones map[zonePair]bool
	latencyFactors   map[zonePair]float64
	fragmentChance   float64
	clockOffset      float64 // ms by which the wall clock of all machines was set forward, negative for back
}

// New returns a network whose clock starts at the given time in ms.
// pathBetween returns the path between two machines of the given zones.
func New(seed uint64, start float64, pathBetween func(zoneA, zoneB string) Path) *Network {
	return &Network{
		seed:             seed,
		now:              start,
		pathBetween:      pathBetween,
		listeners:        map[netip.AddrPort]*socket{},
		partitionedZones: map[zonePair]bool{},
		latencyFactors:   map[zonePair]float64{},
	}
}

// SetTrace sets the function that receives the trace.
// It is called with a line of text for each delivered segment, refused connection and killed process.
func (n *Network) SetTrace(trace func(string)) { n.trace = trace }

// tracef writes a line to the trace.
func (n *Network) tracef(format string, args ...any) {
	if n.trace != nil {
		n.trace(fmt.Sprintf("%12.3f ", n.now) + fmt.Sprintf(format, args...))
	}
}

// Spawn returns a new process on a machine in a zone. The process has an event loop, which runs after Start is called.
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

// latency draws the one-way latency of a segment between two processes, in ms.
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

// hostReplyLatency returns the latency, in ms and without jitter, of a refusal that process p receives.
// No process sends the refusal, so the path is taken to lead to another machine of p's zone.
func (n *Network) hostReplyLatency(p *Process) float64 { return n.pathBetween(p.zone, p.zone).Latency }
