package discovery

import (
	"errors"
	"testing"
)

// An update has to be applied within 6 s after a stream stopped sending. Within this time the failure has to be
// detected, the next request may hang too, and the one after that gets a response. White space does not restart the
// timeout.
func TestStreamTimesOut(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sent       string  // what the service sends on the first stream before it stops
		keepalives uint64  // number of keepalives in sent
		updates    uint64  // number of updates in sent
		within     float64 // ms after which the first stream has timed out
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
		if tt.sent != "" {
			first.send(tt.sent)
			f.WaitForCounter("watch_keepalives", tt.keepalives)
			f.WaitForCounter("watch_updates", tt.updates)
		}
		first.send(" ")
		first.send("\t")
		// The counter is checked before service.next, which would also succeed if the timeout passed in real time.
		if f.AdvanceTimers(tt.within); f.CounterValue("watch_timeouts") != 1 {
			t.Fatalf("%s: the stream has not timed out after %v ms", tt.name, tt.within)
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

// If the service resumes sending on a stream that timed out, its updates are applied. The next stream asks for a
// snapshot nevertheless, as the one that timed out may have missed updates. A stale update is not applied.
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
	fourth.send(snapshot(7, member("s-1", "in_service"))) // the revisions have restarted, so this is the true state
	f.expect(7)
	fourth.send(delta(8))
	f.expect(8)
	if n := len(f.updates); n != 0 {
		t.Errorf("%d more updates", n)
	}
}

// A stale update is logged with its own revision and that of the last update.
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

// A snapshot without endpoints is not applied. The current endpoints stay listed, and the next stream asks for another
// snapshot. If that has no endpoints either, it is applied.
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
