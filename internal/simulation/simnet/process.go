package simnet

import (
	"fmt"
	"net/netip"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

// maxIterationsPerSecond is the maximum number of loop iterations of a process within a second of virtual time.
// A handler that ignores a ready event makes the loop iterate without end.
const maxIterationsPerSecond = 50000

// Process is a simulated process with an event loop, a descriptor table and a clock.
// The clock is ahead of the network's while the process executes system calls.
// The process owns its sockets. Kill closes them.
type Process struct {
	net      *Network
	name     string
	machine  string
	zone     string
	id       uint64 // hash of the seed and the name; orders events at the same time
	rng      randstream.Stream
	loop     *loop.Loop
	onExit   func() // called after the loop has stopped; may be nil
	isolated bool   // the process's machine is isolated, see Network.Isolate
	exited   bool   // the process was killed or its loop has stopped

	// The descriptor table.
	sockets         []*socket // indexed by descriptor; nil if the descriptor is free
	lowestFree      int       // no descriptor below it is free
	openDescriptors int
	maxDescriptors  int
	readyCandidates []*socket      // watched sockets that may be ready
	listenAddr      netip.AddrPort // address of the last listener
	connectCount    uint64         // number of calls of Connect so far

	// The clock and the schedule of the loop's iterations.
	clock              float64 // ms, at the end of the last system call
	running            bool    // an iteration is running
	woken              bool    // Wake was called since the latest iteration began
	stalledUntil       float64 // ms, end of the latest stall
	stalls             []Span  // all stalls so far
	iteration          uint64  // number of the iteration that was scheduled last
	iterationAt        float64 // ms, time of the scheduled iteration
	iterationScheduled bool
	eventCount         uint64  // events that the process has enqueued
	iterationsInSecond int     // iterations since secondStart
	secondStart        float64 // ms, start of the second in which iterations are counted
}

// Span is a time span. Its bounds are in ms.
type Span struct{ From, To float64 }

// Loop returns the process's event loop.
func (p *Process) Loop() *loop.Loop { return p.loop }

// SetKernel replaces the process's loop by one that runs on another kernel, for example one that injects faults.
// The other kernel must forward its calls to the process. SetKernel must be called before the loop is used.
func (p *Process) SetKernel(k loop.Kernel) { p.loop = loop.New(k) }

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Exited reports whether the process was killed or its loop has stopped.
func (p *Process) Exited() bool { return p.exited }

// OpenDescriptors returns the number of open descriptors.
func (p *Process) OpenDescriptors() int { return p.openDescriptors }

// Start starts the process's loop at the current time.
// If onExit is not nil, it is called once the loop has stopped. It is not called after Kill.
func (p *Process) Start(onExit func()) {
	p.onExit = onExit
	p.scheduleIterationBy(p.net.now)
}

// Stall stops the execution of the process for ms milliseconds, as if it got no CPU.
func (p *Process) Stall(ms float64) {
	until := p.net.now + ms
	p.stalls = append(p.stalls, Span{p.net.now, until})
	p.stalledUntil = max(p.stalledUntil, until)
	if p.iterationScheduled {
		p.rescheduleIteration(p.iterationAt)
	}
}

// LastResume returns the latest end, in ms, of the stalls that overlap the time span between from and to.
// It returns 0 if there are none.
func (p *Process) LastResume(from, to float64) float64 {
	resumed := 0.0
	for _, stall := range p.stalls {
		if stall.From < to && stall.To > from {
			resumed = max(resumed, stall.To)
		}
	}
	return resumed
}

// Kill ends the process immediately and resets its connections.
// The resets don't reach processes that a partition or the isolation of the machine separates from this one.
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

// scheduleIterationBy schedules the next iteration at a time in ms, unless an earlier one is scheduled.
// A stall delays the iteration until its end.
func (p *Process) scheduleIterationBy(at float64) {
	if !p.iterationScheduled || at < p.iterationAt {
		p.rescheduleIteration(at)
	}
}

// rescheduleIteration schedules the next iteration at a time in ms and cancels the one that was scheduled.
// A stall delays the iteration until its end.
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

// runIteration runs one iteration of the process's loop, and schedules the next one.
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
		panic(err) // Turn returns only errors of Wait, and Process.Wait returns none
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

// scheduleNextIteration schedules the next iteration.
// It follows immediately if a descriptor is ready or Wake was called, otherwise when the loop's next timer is due.
func (p *Process) scheduleNextIteration() {
	if p.woken || p.anyReady() {
		p.scheduleIterationBy(p.clock)
		return
	}
	if ms := p.loop.WaitTimeout(); ms >= 0 {
		p.scheduleIterationBy(p.clock + float64(ms))
	}
}

// anyReady reports whether any watched descriptor is ready.
func (p *Process) anyReady() bool {
	for _, s := range p.readyCandidates {
		if s.isOpen() && s.watched && s.readyEvents() != 0 {
			return true
		}
	}
	return false
}

// limitIterations counts an iteration. It panics if there are more than maxIterationsPerSecond within a second.
func (p *Process) limitIterations() {
	p.iterationsInSecond++
	if p.net.now-p.secondStart >= 1000 {
		p.iterationsInSecond = 0
		p.secondStart = p.net.now
		return
	}
	if p.iterationsInSecond > maxIterationsPerSecond {
		panic(fmt.Sprintf("process %s ran %d loop iterations within a second: a handler ignores a ready event",
			p.name, p.iterationsInSecond))
	}
}
