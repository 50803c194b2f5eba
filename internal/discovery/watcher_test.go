package discovery

import "testing"

// expectAddressChanges checks the counter of address changes.
func (f *fixture) expectAddressChanges(want uint64) {
	f.T.Helper()
	if n := f.CounterValue("watch_address_changes"); n != want {
		f.T.Errorf("%d address changes, want %d", n, want)
	}
}

// setAddress sets the address to that of a service.
func (f *fixture) setAddress(s *service) { f.Do(func() { f.watcher.SetAddress(s.Address()) }) }

// After a change of address a snapshot is asked for at the new one, and the old one is followed until it is received.
func TestAddressChangeOfService(t *testing.T) {
	from, to := newService(t), newService(t)
	f := watch(t, from.Address())
	old := from.next()
	old.sendHeader()
	old.send(snapshot(43, member("s-1", "in_service")) + "\n")
	f.expect(43)
	f.setAddress(from) // an unchanged configuration
	f.expectAddressChanges(0)
	f.setAddress(to)
	s := to.nextSnapshot()
	f.setAddress(to) // the same again
	f.expectAddressChanges(1)
	s.sendHeader()
	s.send("\n") // a keepalive is no update
	old.send(delta(44, member("s-2", "in_service")) + "\n")
	f.expect(44)
	s.send(snapshot(7, member("s-2", "in_service")) + "\n")
	f.expect(7)
	old.expectClosed("the stream at the old address")
	s.Close() // from now on the revisions of the new address count
	if s = to.next(); s.since != "7" {
		t.Errorf("the stream asks for updates since %q, want 7", s.since)
	}
	// Changed to another address and back before an update from there: the stream goes on.
	s.sendHeader()
	f.setAddress(from)
	other := from.next()
	f.setAddress(to)
	other.expectClosed("the stream that is not needed any more")
	s.send(delta(8) + "\n")
	f.expect(8)
}

// The first request at a new address may hang: an update is applied within 4 s all the same, and the old address is
// followed until then.
func TestAddressChangeWhereFirstRequestHangs(t *testing.T) {
	from, to := newService(t), newService(t)
	f := watch(t, from.Address())
	old := from.next()
	old.sendHeader()
	old.send(snapshot(43, member("s-1", "in_service")) + "\n")
	f.expect(43)
	f.setAddress(to)
	hanging := to.next()
	f.AdvanceTimers(1100)
	answered := to.next()
	old.send(delta(44, member("s-2", "in_service")) + "\n")
	f.expect(44)
	answered.sendHeader()
	answered.send(snapshot(7, member("s-2", "in_service")) + "\n")
	f.expect(7)
	old.expectClosed("the stream at the old address")
	hanging.expectClosed("the stream that hangs")
}
