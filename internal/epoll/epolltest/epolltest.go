// Package epolltest runs an event loop on the kernel of the operating system, for tests of packages that need a loop.
package epolltest

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"salttrack/internal/counter"
	"salttrack/internal/epoll"
	"salttrack/internal/loop"
	"salttrack/internal/simulation/faultinject"
)

// Timeout is the longest time that a test waits for an expected event before it fails. No test depends on how long the
// event takes within that time.
const Timeout = 10 * time.Second

// Rig is a test fixture with a loop that runs until the test ends, and a set of counters.
type Rig struct {
	T     *testing.T
	Loop  *loop.Loop
	Count counter.Set
}

// Start starts a loop. If there are fault rules, the kernel of the loop injects their faults. The loop is stopped and
// the kernel released when the test ends.
func Start(t *testing.T, rules ...faultinject.Rule) *Rig {
	t.Helper()
	kernel, err := epoll.New()
	if err != nil {
		t.Fatal(err)
	}
	l := loop.New(kernel)
	if len(rules) > 0 {
		l = loop.New(faultinject.New(kernel, 1, rules, nil))
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		kernel.Release()
	})
	return &Rig{T: t, Loop: l}
}

// Do runs a function on the loop and waits until it returns.
func (r *Rig) Do(do func()) {
	done := make(chan struct{})
	r.Loop.Post(func() {
		do()
		close(done)
	})
	<-done
}

// AdvanceTimers runs the timers that are due within a duration in milliseconds, as if the duration had passed. It stops
// at the first due timer that was set during the call. The clock of the loop does not change.
func (r *Rig) AdvanceTimers(ms float64) { r.Do(func() { r.Loop.Timers.Run(r.Loop.Now() + ms) }) }

// CounterValue returns the value of a counter. An unknown counter fails the test.
func (r *Rig) CounterValue(name string) (value uint64) {
	r.T.Helper()
	r.Do(func() {
		var ok bool
		if value, ok = r.Count.Value(name); !ok {
			r.T.Errorf("unknown counter %s", name)
		}
	})
	return value
}

// WaitForCounter waits until a counter has a value. The test fails after Timeout.
func (r *Rig) WaitForCounter(name string, want uint64) {
	r.T.Helper()
	for deadline := time.Now().Add(Timeout); r.CounterValue(name) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.T.Fatalf("%s is %d, want %d", name, r.CounterValue(name), want)
		}
	}
}

// Listener accepts connections from the code under test.
type Listener struct {
	*net.TCPListener
	t *testing.T
}

// Listen opens a listener on the loopback interface. It is closed when the test ends.
func Listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Listener{l.(*net.TCPListener), t}
}

// Address returns the address of the listener.
func (l *Listener) Address() netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

// Next waits for a connection and accepts it. The connection is closed when the test ends. Reads and writes on it fail
// after Timeout.
func (l *Listener) Next() *net.TCPConn {
	l.t.Helper()
	l.SetDeadline(time.Now().Add(Timeout))
	c, err := l.AcceptTCP()
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Timeout))
	return c
}
