package loop_test

import (
	"testing"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
)

func TestPostAndStop(t *testing.T) {
	l := newLoop(t)
	calls := 0
	go func() {
		for range 10 {
			l.Post(func() { calls++ })
		}
		l.Post(l.Stop)
	}()
	if err := l.Run(); err != nil || calls != 10 {
		t.Errorf("Run returns %v, and %d posted functions ran, want 10", err, calls)
	}
}

func TestClock(t *testing.T) {
	l := newLoop(t)
	if a, b := l.Now(), l.Now(); b < a || a < 1e12 {
		t.Errorf("Now returns %v, then %v", a, b)
	}
}

// Events that are pending when a wait starts may have been received at any time since the previous wait ended.
func TestEarliestArrival(t *testing.T) {
	l := newLoop(t)
	fd, peer := socketPair(t)
	l.Add(fd, loop.Readable, handlerFunc(func(uint32) {}))
	send(t, peer)
	turn(t, l)
	before := l.LastWaitEnd()
	turn(t, l)
	arrival, end := l.EarliestArrival(), l.LastWaitEnd()
	if arrival > end || arrival != before && end-before < loop.MinBlockingWait {
		t.Errorf("earliest arrival %v, waits ended at %v and %v", arrival, before, end)
	}
}

// If bytes are received and a timer becomes due during the same long turn, the next turn handles the bytes first.
// Otherwise a request would time out although its bytes have been received.
func TestDescriptorsBeforeTimers(t *testing.T) {
	l := newLoop(t)
	order := ""
	fd, peer := socketPair(t)
	l.Add(fd, loop.Readable, handlerFunc(func(uint32) {
		var p [1]byte
		epoll.Read(fd, p[:])
		order += "read "
	}))
	l.Post(func() {
		due := nextTime(l, l.LastWaitEnd()) // later than the end of this turn's wait: the next turn runs the timer
		l.Timers.Set(due, func() { order += "timer " })
		send(t, peer)
		nextTime(l, due)
	})
	turn(t, l)
	turn(t, l)
	if order != "read timer " {
		t.Errorf("order %q", order)
	}
}

// nextTime waits until the clock is past a time, and returns the new time.
func nextTime(l *loop.Loop, after float64) float64 {
	now := l.Now()
	for now <= after {
		now = l.Now()
	}
	return now
}
