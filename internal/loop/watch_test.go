package loop_test

import (
	"testing"

	"salttrack/internal/loop"
)

// A descriptor that takes the number of one that was closed in the same turn must not get its events.
func TestEventOfClosedDescriptor(t *testing.T) {
	l := newLoop(t)
	a, peerA := socketPair(t)
	b, peerB := socketPair(t)
	oldCalls, newCalls := 0, 0
	replace := func(other *int) handlerFunc {
		return func(uint32) {
			oldCalls++
			l.Close(*other)
			c, _ := socketPair(t) // takes the lowest number, which is that of the closed one
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

// Endpoint updates are handled before events that may cause an attempt.
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
