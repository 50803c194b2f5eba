package simnet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"salttrack/internal/loop"
)

// TestStallAndKill checks that a stalled process does nothing until the stall ends.
// It also checks that a killed process resets its connections.
func TestStallAndKill(t *testing.T) {
	net, a, b := newTestNetwork(1)
	serve(b, 0, func(int) handler { return func(uint32) {} })
	resets := 0
	ticks := 0
	a.Loop().Post(func() {
		fd, _ := a.Connect(testAddr)
		a.Loop().Add(fd, loop.HangUp, handler(func(events uint32) {
			if events&loop.Failed != 0 {
				resets++
			}
			a.Loop().Close(fd)
		}))
		var tick func()
		tick = func() {
			ticks++
			a.Loop().After(10, tick)
		}
		tick()
	})
	net.Run(100)
	before := ticks
	a.Stall(300)
	net.Run(390)
	if ticks != before || a.LastResume(90, 120) != 400 || a.LastResume(0, 50) != 0 {
		t.Errorf("%d ticks during a stall; last resume at %v", ticks-before, a.LastResume(90, 120))
	}
	net.Run(500)
	if ticks <= before || a.Loop().EarliestArrival() == 0 {
		t.Error("the process does not continue after a stall")
	}
	b.Kill()
	net.Run(600)
	if resets != 1 || a.OpenDescriptors() != 0 || b.OpenDescriptors() != 0 || !b.Exited() {
		t.Errorf("%d resets, want 1; %d and %d open descriptors, want 0; b has exited: %v", resets, a.OpenDescriptors(),
			b.OpenDescriptors(), b.Exited())
	}
}

// TestDescriptorLimit checks that a call that needs one descriptor more than the limit fails.
func TestDescriptorLimit(t *testing.T) {
	_, a, _ := newTestNetwork(1)
	for i := range 20 {
		_, err := a.Listen(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)))
		if (err != nil) != (i >= 16) {
			t.Errorf("descriptor %d: %v", i, err)
		}
	}
}

// TestIterationLimit checks that a handler that never handles a ready event causes a panic.
func TestIterationLimit(t *testing.T) {
	net, a, b := newTestNetwork(1)
	listener, _ := b.Listen(testAddr)
	b.Loop().Add(listener, loop.Readable, handler(func(uint32) {})) // never calls Accept, so the listener stays readable
	a.Loop().Post(func() { a.Connect(testAddr) })
	defer func() {
		if cause := recover(); cause == nil || !strings.Contains(fmt.Sprint(cause), "iterations within a second") {
			t.Errorf("recovered %v, want a panic about too many iterations", cause)
		}
	}()
	net.Run(5000)
}
