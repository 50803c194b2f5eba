// Package loop implements the event loop of the program. The loop waits for ready descriptors and due timers and calls
// their handlers, all on one goroutine. It runs on a Kernel: that of the operating system (package epoll), or a
// simulated one with a virtual clock. The loop itself is the same on both.
//
// The user of a loop owns the descriptors that it adds to the loop, and closes them with Loop.Close.
package loop

import (
	"math"
	"sync"
	"sync/atomic"

	"salttrack/internal/timer"
)

const (
	maxEventsPerTurn = 512
	minBlockingWait  = 0.5   // ms; a shorter wait did not block, as its events were pending when it started
	maxWaitOverrun   = 5.0   // ms beyond the timeout of a wait; a longer wait means that the process was not scheduled
	maxWaitTimeout   = 60000 // ms; longest timeout of a wait while a timer is set
)

// Handler handles the readiness events of a descriptor.
type Handler interface {
	// Ready is called with the events that have occurred, as a mask of Readable, Writable, HangUp and Failed.
	Ready(events uint32)
}

// Loop waits for ready descriptors and due timers and calls their handlers.
type Loop struct {
	Sockets
	Timers timer.Heap

	kernel          Kernel
	watches         []watch // indexed by descriptor
	large           largeBuffers
	unsynced        map[int]struct{} // descriptors that the kernel had no memory to watch, to be retried
	events          [maxEventsPerTurn]Event
	lastWaitEnd     float64 // ms, on the kernel's monotonic clock
	earliestArrival float64 // ms; the events of the current turn were received at this time or later
	maxWait         int     // ms; 0 means that the duration of a wait is not limited
	stopped         bool
	turns           uint64
	onYield         func() // called by Yield

	hasPosted atomic.Bool
	mu        sync.Mutex // guards posted
	posted    []func()
}

// New returns a loop that runs on a kernel. The caller owns the kernel and releases it after Run has returned.
func New(k Kernel) *Loop {
	now := k.Now()
	return &Loop{
		Sockets:         k,
		kernel:          k,
		lastWaitEnd:     now,
		earliestArrival: now,
		unsynced:        map[int]struct{}{},
		large:           largeBuffers{receiving: map[int]struct{}{}},
		onYield:         func() {},
	}
}

// Now returns the time of the kernel's monotonic clock, in milliseconds. With the kernel of package epoll it may be
// called from any goroutine.
func (l *Loop) Now() float64 { return l.kernel.Now() }

// Wall returns the time of the wall clock, in milliseconds of Unix time, for comparison with times of other machines.
// The wall clock may be stepped forward and back.
func (l *Loop) Wall() float64 { return l.kernel.Wall() }

// LimitWait sets the longest timeout of a wait, in milliseconds. If the process is not scheduled during a wait, the
// loop cannot tell when the events were received, only that the wait took longer than its timeout.
func (l *Loop) LimitWait(timeout int) { l.maxWait = timeout }

// EarliestArrival returns the earliest time at which the events of the current turn may have been received, in
// milliseconds. If the wait blocked, its events were received when it ended. If it did not block, they may have been
// received at any time since the wait of the previous turn ended, which is long ago if the process was not scheduled in
// between. If the wait took longer than its timeout, they may have been received at any time during the wait.
func (l *Loop) EarliestArrival() float64 { return l.earliestArrival }

// After calls a function once a duration in milliseconds has passed, unless the returned timer is stopped earlier.
func (l *Loop) After(duration float64, do func()) *timer.Timer {
	return l.Timers.Set(l.Now()+duration, do)
}

// OnYield sets the function that Yield calls. On a single core it has to let the goroutines of the garbage collector run: otherwise
// a collection takes as long as the turn in which it starts, and all that is allocated meanwhile adds to the memory in use.
func (l *Loop) OnYield(yield func()) { l.onYield = yield }

// Yield lets other goroutines run. The loop calls it after each handler of a ready descriptor, and a handler calls it between parts
// of its work that allocate much.
func (l *Loop) Yield() { l.onYield() }

// Post runs a function on the loop. It may be called from any goroutine. All other methods, except Now, have to be called
// on the goroutine of the loop.
func (l *Loop) Post(do func()) {
	l.mu.Lock()
	l.posted = append(l.posted, do)
	l.hasPosted.Store(true)
	l.mu.Unlock()
	l.kernel.Wake()
}

// Stop makes Run return after the current turn.
func (l *Loop) Stop() { l.stopped = true }

// Stopped reports whether Stop was called.
func (l *Loop) Stopped() bool { return l.stopped }

// Run runs turns until Stop is called.
func (l *Loop) Run() error {
	for l.stopped = false; !l.stopped; {
		if err := l.Turn(); err != nil {
			return err
		}
	}
	return nil
}

// Turns returns the number of turns that have started.
func (l *Loop) Turns() uint64 { return l.turns }

// Turn runs one iteration of the loop: it waits once, and then handles ready descriptors, posted functions and due
// timers, in this order. Only timers that were due when the wait ended run, so that received bytes are handled before a
// timeout decides that none were received.
func (l *Loop) Turn() error {
	l.turns++
	waitStart := l.Now()
	timeout := l.WaitTimeout()
	n, err := l.kernel.Wait(l.events[:], timeout)
	if err != nil {
		return err
	}
	l.recordWait(waitStart, l.Now(), timeout)
	l.dispatch(l.events[:n])
	if l.hasPosted.Load() {
		l.runPosted()
	}
	l.Timers.Run(l.lastWaitEnd)
	return nil
}

// recordWait updates the earliest arrival of events after a wait. start, end and timeout are in milliseconds; a timeout
// of -1 means no timeout.
func (l *Loop) recordWait(start, end float64, timeout int) {
	switch duration := end - start; {
	case duration <= minBlockingWait:
		l.earliestArrival = l.lastWaitEnd
	case timeout >= 0 && duration > float64(timeout)+maxWaitOverrun:
		l.earliestArrival = start
	default:
		l.earliestArrival = end
	}
	l.lastWaitEnd = end
}

// WaitTimeout returns the timeout of the next turn's wait, in milliseconds, rounded up. It returns -1 if no timer is
// set and the duration of a wait is not limited.
func (l *Loop) WaitTimeout() int {
	timeout := -1
	if due, ok := l.Timers.Next(); ok {
		timeout = int(math.Ceil(min(maxWaitTimeout, max(0, due-l.Now()))))
	}
	if l.maxWait > 0 && (timeout < 0 || timeout > l.maxWait) {
		timeout = l.maxWait
	}
	return timeout
}

func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.hasPosted.Store(false)
	l.mu.Unlock()
	for _, do := range posted {
		do()
	}
}
