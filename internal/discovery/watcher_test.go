package discovery

import "testing"

// expectAddressChanges checks the counter of address changes.
func (f *fixture) expectAddressChanges(want uint64) {
	f.T.Helper()
	if n := f.CounterValue("watch_address_changes"); n != want {
		f.T.Errorf("%d address changes, want %d", n, want)
	}
}

// setAddress sets the watcher's address to that of a service.
func (f *fixture) setAddress(s *service) { f.Do(func() { f.watcher.SetAddress(s.Address()) }) }

// After a change of address the watcher asks the new address for a snapshot, and continues to apply updates from the
// old address until it receives the snapshot.
func TestAddressChangeOfService(t *testing.T) {
	from, to := newService(t), newService(t)
	f := watch(t, from.Address())
	old := from.next()
	old.sendHeader()
	old.send(snapshot(43, member("s-1", "in_service")) + "\n")
	f.expect(43)
	f.setAddress(from) // the address is not changed
	f.expectAddressChanges(0)
	f.setAddress(to)
	s := to.nextSnapshot()
	f.setAddress(to) // the same address again
	f.expectAddressChanges(1)
	s.sendHeader()
	s.send("\n") // a keepalive is no update
	old.send(delta(44, member("s-2", "in_service")) + "\n")
	f.expect(44)
	s.send(snapshot(7, member("s-2", "in_service")) + "\n")
	f.expect(7)
	old.expectClosed("the stream at the old address")
	s.Close() // the next stream resumes after the last revision of the new address
	if s = to.next(); s.since != "7" {
		t.Errorf("the stream asks for updates since %q, want 7", s.since)
	}
	// The address is changed and changed back before an update from the other address: the current stream continues.
	s.sendHeader()
	f.setAddress(from)
	other := from.next()
	f.setAddress(to)
	other.expectClosed("the stream at the other address")
	s.send(delta(8) + "\n")
	f.expect(8)
}

// The first request to a new address may hang. An update from there is applied within 4 s nevertheless, and updates
// from the old address are applied until then.
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
