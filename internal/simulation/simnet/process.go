package simnet

import (
	"fmt"
	"net/netip"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

// maxIterationsPerSecond is the limit of a process's iterations. A handler that ignores an event causes iterations
// without end.
const maxIterationsPerSecond = 50000

// Process is one process: a table of descriptors, a clock that runs ahead of the network's while it works, and a loop.
// It owns its sockets, which Kill closes.
type Process struct {
	net      *Network
	name     string
	machine  string
	zone     string
	id       uint64
	rng      randstream.Stream
	loop     *loop.Loop
	onExit   func() // called once the loop has stopped
	isolated bool   // its machine is off the network
	exited   bool

	// The table of descriptors.
	sockets          []*socket // by descriptor
	lowestFree       int       // no lower descriptor is free
	openDescriptors  int
	maxDescriptors   int
	readyCandidates       []*socket      // watched ones that may be ready
	listenAddr       netip.AddrPort // of the last listener
	connectCount uint64

	// The schedule of its iterations.
	clock              float64
	running            bool // within an iteration
	woken              bool
	stalledUntil       float64
	stalls             []Span
	iteration          uint64 // number of the next one
	iterationAt        float64
	iterationScheduled   bool
	eventCount         uint64
	iterationsInSecond int
	secondStart        float64
}

// Span is a span of time, in ms.
type Span struct{ From, To float64 }

// Loop returns the process's loop.
func (p *Process) Loop() *loop.Loop { return p.loop }

// SetKernel makes the process's loop use another kernel, which passes calls on to the process. It is called before any
// use of the loop.
func (p *Process) SetKernel(k loop.Kernel) { p.loop = loop.New(k) }

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Exited reports whether the process was killed or its loop has stopped.
func (p *Process) Exited() bool { return p.exited }

// OpenDescriptors returns how many descriptors are open.
func (p *Process) OpenDescriptors() int { return p.openDescriptors }

// Start runs the process's loop from now on. onExit, if not nil, is called once the loop has stopped, not after Kill.
func (p *Process) Start(onExit func()) {
	p.onExit = onExit
	p.scheduleIterationBy(p.net.now)
}

// Stall takes the CPU from the process for so many ms.
func (p *Process) Stall(ms float64) {
	until := p.net.now + ms
	p.stalls = append(p.stalls, Span{p.net.now, until})
	p.stalledUntil = max(p.stalledUntil, until)
	if p.iterationScheduled {
		p.rescheduleIteration(p.iterationAt)
	}
}

// LastResume returns when the process last got its CPU back that it had not at some time of a span, 0 if it always had.
func (p *Process) LastResume(from, to float64) float64 {
	resumed := 0.0
	for _, stall := range p.stalls {
		if stall.From < to && stall.To > from {
			resumed = max(resumed, stall.To)
		}
	}
	return resumed
}

// Kill ends the process at once. Its connections are reset, unless its machine is isolated.
func (p *Process) Kill() {
	if p.exited {
		return
	}
	p.net.tracef("%s killed", p.name)
	for fd, s := range p.sockets {
		if s != nil {
			s.closeWithReset = true
			p.Close(fd)
		}
	}
	p.exited = true
}

// scheduleIterationBy plans the next iteration at a time or earlier, but not before the process has its CPU.
func (p *Process) scheduleIterationBy(at float64) {
	if !p.iterationScheduled || at < p.iterationAt {
		p.rescheduleIteration(at)
	}
}

// rescheduleIteration plans the next iteration at a time, in place of the one that was planned.
func (p *Process) rescheduleIteration(at float64) {
	if p.exited || p.running {
		return
	}
	at = max(at, p.clock, p.stalledUntil, p.net.now)
	p.iterationScheduled = true
	p.iterationAt = at
	p.iteration++
	p.net.enqueue(event{at: at, process: p, iteration: p.iteration}, p.id, &p.eventCount)
}

// runIteration runs one iteration of the process's loop, and plans the next one.
func (p *Process) runIteration() {
	if p.stalledUntil > p.net.now {
		p.rescheduleIteration(p.stalledUntil)
		return
	}
	p.iterationScheduled = false
	p.woken = false
	p.limitIterations()
	p.running = true
	err := p.loop.Turn()
	p.running = false
	if err != nil {
		panic(err) // no call of this kernel returns an error that ends a loop
	}
	if p.exited {
		return
	}
	if p.loop.Stopped() {
		if p.onExit != nil {
			p.onExit()
		}
		p.exited = true
		return
	}
	p.scheduleNextIteration()
}

// scheduleNextIteration plans the next iteration: at once if a descriptor is ready or the loop was woken, else at the next timer.
func (p *Process) scheduleNextIteration() {
	if p.woken || p.anyReady() {
		p.scheduleIterationBy(p.clock)
		return
	}
	if ms := p.loop.WaitTimeout(); ms >= 0 {
		p.scheduleIterationBy(p.clock + float64(ms))
	}
}

func (p *Process) anyReady() bool {
	for _, s := range p.readyCandidates {
		if s.isOpen() && s.watched && s.readyEvents() != 0 {
			return true
		}
	}
	return false
}

// limitIterations panics if the process has too many iterations within a second.
func (p *Process) limitIterations() {
	p.iterationsInSecond++
	if p.net.now-p.secondStart >= 1000 {
		p.iterationsInSecond = 0
		p.secondStart = p.net.now
		return
	}
	if p.iterationsInSecond > maxIterationsPerSecond {
		panic(fmt.Sprintf("%s had %d iterations within a second: a ready event is not handled", p.name, p.iterationsInSecond))
	}
}
