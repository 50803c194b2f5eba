package discovery

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"salttrack/balance"
)

func TestApplySnapshotAndDelta(t *testing.T) {
	r, table := NewRegistry([]string{"a", "b"}), addresses{}
	first := apply(t, r, table, snapshot(1, memberAt("s-1", "in_service", "127.0.0.1:78", 1000), member("s-2", "in_service"),
		memberAt("s-3", "in_service", "127.0.0.1:79", 1000)))
	if len(first) != 3 || len(table) != 3 {
		t.Errorf("endpoints %+v and %d addresses after a snapshot, want 3 of each", first, len(table))
	}
	if want := (balance.Endpoint{ID: first[0].ID, Zone: 1, Cell: 3, State: balance.Ready, StartedAt: 1000}); first[0] != want {
		t.Errorf("endpoint %+v, want %+v", first[0], want)
	}
	changed := apply(t, r, table, delta(2, member("s-2", "terminating"), member("s-3", "terminated")))
	if len(changed) != 2 || changed[0].ID != first[1].ID || changed[0].State != balance.Draining || changed[1].State != balance.Removed || len(table) != 2 {
		t.Errorf("endpoints %+v and %d addresses after a delta", changed, len(table))
	}
	apply(t, r, table, snapshot(3, strings.Replace(member("s-2", "in_service"), ":80", ":81", 1)))
	if len(table) != 1 || table[first[1].ID].Port() != 81 {
		t.Errorf("addresses %v after a snapshot", table)
	}
	// Another instance that receives the endpoints in another order assigns the same ids, as all instances have to sort
	// upstreams in the same order.
	other := apply(t, NewRegistry(nil), addresses{}, snapshot(1, member("s-3", "in_service"), memberAt("s-1", "in_service", "127.0.0.1:78", 1)))
	if other[0].ID != first[2].ID || other[1].ID != first[0].ID {
		t.Errorf("two instances assign different ids: %v %v", other, first)
	}
}

func TestZoneWithoutSetting(t *testing.T) {
	r := NewRegistry([]string{"a", "b"})
	got := apply(t, r, addresses{}, delta(4, strings.Replace(member("s-9", "in_service"), `"b"`, `"new"`, 1)))
	if got[0].Zone != 2 {
		t.Errorf("a zone that the settings do not name has number %d, want 2", got[0].Zone)
	}
}

func TestNamesWithSameHash(t *testing.T) {
	r := NewRegistry(nil)
	id := r.id("x")
	delete(r.ids, "x") // as if another name had the same hash
	if other := r.id("x"); other == id {
		t.Error("two names have the same id")
	}
}

// A new name at a listed address is a new process, which is warming up. A request to the old name would reach it. So
// the old name is removed even if the service does not remove it, in whichever order the two are listed.
func TestNewNameAtListedAddress(t *testing.T) {
	const address = "127.0.0.1:80"
	oldMember := func(phase string) string { return memberAt("old", phase, address, 1000) }
	newMember := memberAt("new", "in_service", address, 5000)
	for _, tt := range []struct {
		name     string
		messages []string
	}{
		{"delta", []string{snapshot(1, oldMember("in_service")), delta(2, newMember)}},
		{"the old one is draining", []string{snapshot(1, oldMember("terminating")), delta(2, newMember)}},
		{"one snapshot, the new one last", []string{snapshot(1, oldMember("in_service"), newMember)}},
		{"one snapshot, the old one last", []string{snapshot(1, newMember, oldMember("in_service"))}},
		{"the old one listed again", []string{snapshot(1, newMember), delta(2, oldMember("terminating"))}},
	} {
		r, table := NewRegistry(nil), addresses{}
		state := map[balance.UpstreamID]balance.EndpointState{}
		for _, text := range tt.messages {
			for _, e := range apply(t, r, table, text) {
				state[e.ID] = e.State
			}
		}
		if id := r.ids["new"]; len(table) != 1 || state[id] != balance.Ready || table[id].String() != address || len(r.listed) != 1 {
			t.Errorf("%s: addresses %v, states %v, %d listed", tt.name, table, state, len(r.listed))
		}
	}
}

// After the address of an upstream has changed, another upstream can be listed at the old address.
func TestAddressChange(t *testing.T) {
	const first, second = "127.0.0.1:80", "127.0.0.1:81"
	r, table := NewRegistry(nil), addresses{}
	apply(t, r, table, snapshot(1, memberAt("moved", "in_service", first, 5000)))
	apply(t, r, table, delta(2, memberAt("moved", "in_service", second, 5000)))
	apply(t, r, table, delta(3, memberAt("new", "in_service", first, 1000)))
	if len(table) != 2 || table[r.ids["new"]].String() != first || table[r.ids["moved"]].String() != second {
		t.Errorf("addresses %v", table)
	}
}

// If upstreams get a new name at each start, the registry keeps a bounded number of names of removed upstreams. A
// pinned upstream keeps its id. A name that was never listed has no id.
func TestRemovedNamesAreBounded(t *testing.T) {
	r, table := NewRegistry(nil), addresses{}
	apply(t, r, table, delta(0, member("s-pinned", "in_service")))
	pinned := r.Pin("s-pinned")
	apply(t, r, table, delta(0, member("s-pinned", "terminated")))
	for i := range 5 * maxRemovedNames {
		name := fmt.Sprint("s-", i)
		added := apply(t, r, table, delta(i, member(name, "in_service")))
		if i%2 == 0 {
			if removed := apply(t, r, table, delta(i, member(name, "terminated"))); removed[0].ID != added[0].ID {
				t.Fatalf("%s was added as %d and removed as %d", name, added[0].ID, removed[0].ID)
			}
		}
	}
	apply(t, r, table, snapshot(1001, member("s-last", "in_service")))
	if len(r.ids) != maxRemovedNames+2 || len(r.names) != len(r.ids) || len(r.listed) != 1 || len(r.byAddress) != 1 || len(table) != 1 {
		t.Errorf("%d names, %d listed upstreams, %d addresses, want one upstream", len(r.ids), len(r.listed), len(table))
	}
	if _, ok := r.Lookup(fmt.Sprint("s-", 5*maxRemovedNames-2)); !ok {
		t.Error("an upstream that was just removed has no id")
	}
	if _, ok := r.Lookup("s-never"); ok {
		t.Error("an upstream that was never listed has an id")
	}
	if id, ok := r.Lookup("s-pinned"); !ok || id != pinned {
		t.Errorf("the pinned upstream has id %d, had %d", id, pinned)
	}
	if again := apply(t, r, table, delta(1002, member("s-pinned", "in_service"))); again[0].ID != pinned {
		t.Errorf("the pinned upstream is listed again with id %d, had %d", again[0].ID, pinned)
	}
}

// removals is an AddressTable that records the ids of removed upstreams in order of removal.
type removals struct{ ids []balance.UpstreamID }

func (r *removals) SetAddress(balance.UpstreamID, netip.AddrPort, balance.Millis) {}

func (r *removals) Remove(id balance.UpstreamID) { r.ids = append(r.ids, id) }

// Upstreams that are missing in a snapshot are removed in a fixed order. Their connections are closed in this order,
// and a simulation has to be reproducible, so the order must not depend on the iteration order of a map.
func TestRemovalOrder(t *testing.T) {
	r, removed := NewRegistry(nil), &removals{}
	u := &Update{Snapshot: true}
	for i := range 30 {
		u.Endpoints = append(u.Endpoints, Endpoint{
			Name:    fmt.Sprintf("s-%d", i),
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
			State:   balance.Ready,
		})
	}
	r.Apply(u, removed)
	r.Apply(&Update{Snapshot: true}, removed)
	if len(removed.ids) != 30 || !slices.IsSorted(removed.ids) {
		t.Errorf("%d removed, in the order %v", len(removed.ids), removed.ids)
	}
}
