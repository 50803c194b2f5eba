// Package epoll is the one loop of the program: readiness of descriptors, timers, and the count of
// descriptors against their limit.
package epoll

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/internal/timer"
)

// What a descriptor is watched for, and told of.
const (
	In    = unix.EPOLLIN
	Out   = unix.EPOLLOUT
	Hup   = unix.EPOLLRDHUP
	Error = unix.EPOLLERR | unix.EPOLLHUP // always told
)

// waited is how long a wait in the kernel, in milliseconds, is no mere call any more.
const waited = 0.5

// Handler is told when its descriptor is ready.
type Handler interface {
	Ready(events uint32)
}

// slot is what the loop knows of one descriptor number. The generation tells an event of a descriptor that
// was closed in the same turn from one of the descriptor that has its number now.
type slot struct {
	handler Handler
	gen     int32
	events  uint32
	first   bool
}

// Loop waits for descriptors and timers and tells their handlers, all on the goroutine that calls Run.
type Loop struct {
	Timers timer.Heap

	ep, wake int
	slots    []slot
	events   [512]unix.EpollEvent
	start    time.Time
	base     float64
	turned   float64 // when the wait of the last turn ended
	arrived  float64
	stopped  bool

	mu     sync.Mutex
	posted []func()
}

// New returns a loop. Its clock reads Unix time in milliseconds at the start and goes on by the monotonic
// clock, so that times told by other machines need no conversion and it never goes back.
func New() (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	now := time.Now()
	l := &Loop{ep: ep, wake: wake, start: now, base: float64(now.UnixMicro()) / 1000}
	l.turned, l.arrived = l.base, l.base
	if err := l.Add(wake, In, wakeHandler{l}); err != nil {
		unix.Close(ep)
		unix.Close(wake)
		return nil, err
	}
	return l, nil
}

// Now reads the clock, in milliseconds.
func (l *Loop) Now() float64 { return l.base + float64(time.Since(l.start).Microseconds())/1000 }

// Arrived is the time at which what is handled now may have come at the earliest. If the loop had to wait for
// it, it has just come. Else it may have come at any time of the turn before, which is long when the process
// was kept from its core.
func (l *Loop) Arrived() float64 { return l.arrived }

// After runs do once the given time has passed.
func (l *Loop) After(ms float64, do func()) *timer.Timer { return l.Timers.Set(l.Now()+ms, do) }

// Add watches a descriptor.
func (l *Loop) Add(fd int, events uint32, h Handler) error {
	for fd >= len(l.slots) {
		l.slots = append(l.slots, slot{})
	}
	s := &l.slots[fd]
	s.gen++
	s.handler, s.events, s.first = h, events, false
	if err := unix.EpollCtl(l.ep, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: s.gen}); err != nil {
		s.handler = nil
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// First lets a descriptor's handler run before those of all others that are ready in the same turn.
func (l *Loop) First(fd int) { l.slots[fd].first = true }

// Watch changes what a descriptor is watched for.
func (l *Loop) Watch(fd int, events uint32) {
	s := &l.slots[fd]
	if s.handler == nil || s.events == events {
		return
	}
	s.events = events
	// The descriptor is ours and watched, so this can't fail but for want of kernel memory.
	_ = unix.EpollCtl(l.ep, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: s.gen})
}

// Close stops watching a descriptor and closes it. Events of it that this turn still holds are dropped.
func (l *Loop) Close(fd int) {
	l.slots[fd].handler = nil
	l.slots[fd].gen++
	unix.Close(fd)
}

// Post runs do on the loop. It alone may be called from other goroutines.
func (l *Loop) Post(do func()) {
	l.mu.Lock()
	l.posted = append(l.posted, do)
	l.mu.Unlock()
	one := [8]byte{1}
	unix.Write(l.wake, one[:]) // a full eventfd wakes the loop as well
}

// Stop ends Run after the present turn.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop. A turn handles descriptors before timers, and only the timers that were due when it
// looked at the descriptors: what has come in is seen before a time-out decides that it has not. (A turn in
// which the process lost its core for 250 ms had timed out connects that were up.)
func (l *Loop) Run() error {
	for l.stopped = false; !l.stopped; {
		if err := l.turn(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Loop) turn() error {
	before := l.Now()
	n, err := unix.EpollWait(l.ep, l.events[:], l.patience())
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	after := l.Now()
	if l.arrived = l.turned; after-before > waited {
		l.arrived = after
	}
	l.turned = after
	for _, first := range [...]bool{true, false} {
		for i := range max(0, n) {
			e := &l.events[i]
			if s := &l.slots[e.Fd]; s.handler != nil && s.gen == e.Pad && s.first == first {
				s.handler.Ready(e.Events)
			}
		}
	}
	l.Timers.Run(l.turned)
	return nil
}

// patience is how long a turn may wait for descriptors, in whole milliseconds, rounded up.
func (l *Loop) patience() int {
	at, ok := l.Timers.Next()
	if !ok {
		return -1
	}
	return int(math.Ceil(min(60000, max(0, at-l.Now()))))
}

type wakeHandler struct{ l *Loop }

// Ready runs what other goroutines have posted.
func (w wakeHandler) Ready(uint32) {
	var buf [8]byte
	unix.Read(w.l.wake, buf[:])
	w.l.mu.Lock()
	posted := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, do := range posted {
		do()
	}
}
