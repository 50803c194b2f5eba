package epoll

import (
	"net/netip"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

type handler func(uint32)

func (h handler) Ready(events uint32) { h(events) }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func pair(t *testing.T) (int, int) {
	t.Helper()
	p, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	return p[0], p[1]
}

// A descriptor that was closed in a turn, and whose number is in use again, must not get the old one's events.
func TestEventOfAClosedDescriptor(t *testing.T) {
	l := newLoop(t)
	a, peerA := pair(t)
	b, peerB := pair(t)
	defer unix.Close(peerA)
	defer unix.Close(peerB)
	told, fresh := 0, 0
	replace := func(other *int) handler {
		return func(uint32) {
			told++
			l.Close(*other)
			c, peer := pair(t) // takes the number that has become free
			t.Cleanup(func() { unix.Close(peer) })
			if c != *other {
				t.Skip("the kernel gave another number")
			}
			l.Add(c, In, handler(func(uint32) { fresh++ }))
		}
	}
	l.Add(a, In, replace(&b))
	l.Add(b, In, replace(&a))
	Write(peerA, []byte("x"))
	Write(peerB, []byte("x"))
	if err := l.turn(); err != nil {
		t.Fatal(err)
	}
	if told != 1 || fresh != 0 {
		t.Errorf("%d old handlers were told, the new one %d times", told, fresh)
	}
}

// News of the upstreams is handled before what may lead to a send.
func TestFirst(t *testing.T) {
	for range 5 {
		l := newLoop(t)
		order := ""
		for _, name := range []string{"a", "b", "first", "c"} {
			fd, peer := pair(t)
			t.Cleanup(func() { unix.Close(peer) })
			l.Add(fd, In, handler(func(uint32) { order += name + " " }))
			if name == "first" {
				l.First(fd)
			}
			Write(peer, []byte("x"))
		}
		l.Timers.Set(0, func() { order += "timer" })
		l.turn()
		if order != "first a b c timer" {
			t.Errorf("order %q", order)
		}
	}
}

func TestPostAndStop(t *testing.T) {
	l := newLoop(t)
	n := 0
	go func() {
		for range 10 {
			l.Post(func() { n++ })
		}
		l.Post(l.Stop)
	}()
	if err := l.Run(); err != nil || n != 10 {
		t.Errorf("%v, %d posted functions ran", err, n)
	}
}

func TestClock(t *testing.T) {
	l := newLoop(t)
	if a, b := l.Now(), l.Now(); b < a || a < 1e12 {
		t.Errorf("%v, then %v", a, b)
	}
	// What was there when the wait began may have come at any time of the turn before.
	fd, peer := pair(t)
	defer unix.Close(peer)
	l.Add(fd, In, handler(func(uint32) {}))
	Write(peer, []byte("x"))
	l.turn()
	before := l.turned
	l.turn()
	if l.Arrived() > l.turned || l.Arrived() != before && l.turned-before < waited {
		t.Errorf("arrived %v, turns at %v and %v", l.Arrived(), before, l.turned)
	}
}

func TestTable(t *testing.T) {
	table := NewTable(8)
	idle := map[string]int{}
	var a, b *Side
	shed := func(name string, side **Side) func() bool {
		return func() bool {
			if idle[name] == 0 {
				return false
			}
			idle[name]--
			(*side).Give()
			return true
		}
	}
	a = table.Side(shed("a", &a))
	b = table.Side(shed("b", &b))
	for i := range 6 {
		if a.Crowded() != (i >= 6) || !a.Take() {
			t.Errorf("crowded or full with %d of 8", i)
		}
	}
	if a.Take() {
		t.Error("one side has more than three quarters")
	}
	if !b.Take() || !b.Take() || b.Take() || table.Open() != 8 {
		t.Errorf("%d are open", table.Open())
	}
	idle["a"] = 1
	if !b.Take() || idle["a"] != 0 || table.Open() != 8 || !b.Crowded() {
		t.Error("an idle connection of the other side is not closed for one that is needed")
	}
	idle["b"] = 1
	if !b.Take() || idle["b"] != 0 || table.Open() != 8 {
		t.Error("an idle connection of its own is not closed for one that is needed")
	}
	b.Give()
	if !a.Take() {
		t.Error("no room after one was given back")
	}
}

func TestSockets(t *testing.T) {
	fd, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if _, err := Accept(fd); err != unix.EAGAIN {
		t.Errorf("accept with nobody there: %v", err)
	}
	c, err := Connect(Local(fd))
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(c)
	s, err := Accept(fd)
	if err != nil || Failed(c) != nil {
		t.Fatal(err, Failed(c))
	}
	if !Quiet(c) {
		t.Error("an open connection on which nothing came is not quiet")
	}
	if n, err := Write(s, []byte("ab")); n != 2 || err != nil {
		t.Error(n, err)
	}
	var p [8]byte
	if Quiet(c) {
		t.Error("quiet with input waiting")
	}
	if n, err := Read(c, p[:]); n != 2 || err != nil {
		t.Error(n, err)
	}
	if _, err := Read(c, p[:]); err != unix.EAGAIN {
		t.Error(err)
	}
	unix.Close(s)
	if n, err := Read(c, p[:]); n != 0 || err != nil || Quiet(c) {
		t.Error(n, err)
	}
	if _, err := Listen(Local(fd)); err == nil {
		t.Error("two listeners on one address")
	}
	if _, err := Listen(netip.MustParseAddrPort("192.0.2.1:80")); err == nil || os.IsNotExist(err) {
		t.Error("listens on an address that is not this machine's")
	}
}

// A long turn must not end in time-outs of what came meanwhile: descriptors are looked at first.
func TestTimerWaitsForALook(t *testing.T) {
	l := newLoop(t)
	order := ""
	fd, peer := pair(t)
	defer unix.Close(peer)
	l.Add(fd, In, handler(func(uint32) {
		var p [1]byte
		Read(fd, p[:])
		order += "read "
	}))
	l.Post(func() {
		due := l.Now()
		l.Timers.Set(due, func() { order += "timer " })
		Write(peer, []byte("x"))
		for l.Now() <= due {
		}
	})
	l.turn()
	l.turn()
	if order != "read timer " {
		t.Errorf("order %q", order)
	}
}
