package loop_test

import (
	"testing"

	"salttrack/internal/loop"
)

// A new descriptor may get the number of one that was closed in the same turn. It must not get the events of the closed
// one.
func TestEventOfClosedDescriptor(t *testing.T) {
	l := newLoop(t)
	a, peerA := socketPair(t)
	b, peerB := socketPair(t)
	oldCalls, newCalls := 0, 0
	replace := func(other *int) handlerFunc {
		return func(uint32) {
			oldCalls++
			l.Close(*other)
			c, _ := socketPair(t) // the kernel uses the lowest free number, which is that of the closed descriptor
			if c != *other {
				t.Skip("the kernel gave another number")
			}
			l.Add(c, loop.Readable, handlerFunc(func(uint32) { newCalls++ }))
		}
	}
	l.Add(a, loop.Readable, replace(&b))
	l.Add(b, loop.Readable, replace(&a))
	send(t, peerA)
	send(t, peerB)
	turn(t, l)
	if oldCalls != 1 || newCalls != 0 {
		t.Errorf("%d calls of old handlers, %d of the new one", oldCalls, newCalls)
	}
}

// The handler of a prioritized descriptor runs before those of the others, and all handlers run before timers. The
// balancer relies on it to apply endpoint updates before it starts attempts in the same turn.
func TestPrioritize(t *testing.T) {
	for range 5 {
		l := newLoop(t)
		order := ""
		for _, name := range []string{"a", "b", "prioritized", "c"} {
			fd, peer := socketPair(t)
			l.Add(fd, loop.Readable, handlerFunc(func(uint32) { order += name + " " }))
			if name == "prioritized" {
				l.Prioritize(fd)
			}
			send(t, peer)
		}
		l.Timers.Set(0, func() { order += "timer" })
		turn(t, l)
		if order != "prioritized a b c timer" {
			t.Errorf("order %q", order)
		}
	}
}
