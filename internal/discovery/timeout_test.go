package discovery

import (
	"errors"
	"testing"
)

// An update has to be applied within 6 s after a stream stopped sending, and within 4 s after a change of address: the
// detection, a request that hangs as well, and one that is answered. White space within a message is no sign of life.
func TestStreamTimesOut(t *testing.T) {
	for _, tt := range []struct {
		name       string
		before     string // then the first stream stops sending
		keepalives uint64 // in it
		updates    uint64 // in it
		within     float64
	}{
		{"from the start", "", 0, 0, 1100},
		{"after a keepalive", "\n", 1, 0, 3100},
		{"after an update", snapshot(43, member("s-1", "in_service")) + "\n", 0, 1, 3100},
		{"within a message", "\n" + snapshot(60)[:20], 1, 0, 3100},
	} {
		service := newService(t)
		f := watch(t, service.Address())
		first := service.next()
		first.sendHeader()
		if tt.before != "" {
			first.send(tt.before)
			f.WaitForCounter("watch_keepalives", tt.keepalives)
			f.WaitForCounter("watch_updates", tt.updates)
		}
		first.send(" ")
		first.send("\t")
		if f.AdvanceTimers(tt.within); f.CounterValue("watch_timeouts") != 1 { // or the real time until the next stream would do
			t.Fatalf("%s: not timed out after %v ms", tt.name, tt.within)
		}
		second := service.next() // hangs
		f.AdvanceTimers(1100)
		third := service.next()
		if n := f.CounterValue("watch_timeouts"); n != 2 {
			t.Errorf("%s: %d streams timed out, want 2", tt.name, n)
		}
		third.sendHeader()
		third.send(snapshot(70, member("s-1", "in_service")))
		if tt.updates > 0 {
			f.expect(43)
		}
		f.expect(70)
		first.expectClosed(tt.name + ": the first stream")
		second.expectClosed(tt.name + ": the second stream")
	}
}

// Where the service continues a stream that timed out, its updates are applied. The next stream asks for a snapshot all the
// same, since that one may have missed updates, and a stale update is not applied.
func TestTimedOutStreamContinues(t *testing.T) {
	service := newService(t)
	f := watch(t, service.Address())
	first := service.next()
	first.sendHeader()
	first.send(snapshot(43, member("s-1", "in_service")) + "\n")
	f.expect(43)
	f.AdvanceTimers(3100)
	service.nextSnapshot() // hangs; the first stream may have missed 44 and 45
	first.send("\n" + delta(46, member("s-1", "terminating")))
	f.expect(46)
	f.AdvanceTimers(1100)
	third := service.nextSnapshot()
	third.sendHeader()
	third.send(snapshot(45, member("s-1", "in_service"))) // sent before the update with revision 46
	f.WaitForCounter("watch_implausible", 1)
	fourth := service.nextSnapshot()
	fourth.sendHeader()
	fourth.send(snapshot(7, member("s-1", "in_service"))) // the revisions started anew: this is the true state
	f.expect(7)
	fourth.send(delta(8))
	f.expect(8)
	if n := len(f.updates); n != 0 {
		t.Errorf("%d more updates", n)
	}
}

// A stale update is logged as one, with both revisions.
func TestStaleUpdateIsLogged(t *testing.T) {
	service := newService(t)
	f := watch(t, service.Address())
	s := service.next()
	s.sendHeader()
	s.send(snapshot(43, member("s-1", "in_service")) + delta(42))
	f.expect(43)
	err := f.loggedError()
	var protocolError *ProtocolError
	if !errors.As(err, &protocolError) || !errors.Is(err, StaleUpdate) || protocolError.Detail != "revision 42 after 43" {
		t.Errorf("%v, want %v", err, StaleUpdate)
	}
}

// A snapshot without endpoints is not applied: the known endpoints stay, and another snapshot is asked for. If that is
// empty too, there are no endpoints.
func TestEmptySnapshot(t *testing.T) {
	service := newService(t)
	f := watch(t, service.Address())
	ready := member("s-1", "in_service")
	s := service.nextSnapshot()
	s.sendHeader()
	s.send(snapshot(43, ready) + snapshot(44))
	f.expect(43)
	f.WaitForCounter("watch_implausible", 1)
	if err := f.loggedError(); !errors.Is(err, EmptySnapshot) {
		t.Errorf("logged %v, want %v", err, EmptySnapshot)
	}
	s = service.nextSnapshot()
	s.sendHeader()
	s.send(snapshot(45, ready))
	f.expect(45)
	s.send(snapshot(46))
	f.WaitForCounter("watch_implausible", 2)
	s = service.nextSnapshot()
	s.sendHeader()
	s.send(snapshot(46))
	f.expect(46)
}
