package balance

import "testing"

// sent feeds requests and returns the upstreams that they were sent to, answering each at once.
func sent(b *Balancer, from Millis, first RequestID, n int) map[UpstreamID]int {
	to := map[UpstreamID]int{}
	for i := range n {
		now, id := from+Millis(i)*20, first+RequestID(i)
		b.Handle(now, &Event{Kind: EventTimer, Cookie: cookieTick})
		b.Actions()
		b.Handle(now, &Event{Kind: EventRequest, Request: id, ExpiresIn: 2000})
		for _, a := range append([]Action(nil), b.Actions()...) {
			if a.Kind == ActSend {
				to[a.Upstream]++
				b.Handle(now+10, &Event{Kind: EventOutcome, Request: id, Upstream: a.Upstream, Outcome: OK, Spent: 10, Done: true})
				b.Actions()
			}
		}
	}
	return to
}

// Nothing goes to an upstream that operators have taken out, whatever the list tells meanwhile; afterwards it serves
// again, as a cold one, also where the list goes on telling an old start.
func TestBan(t *testing.T) {
	const id = 2
	at := func(started Millis, n int) []Entry {
		list := entries(n)
		list[id-1].Started = started
		return list
	}
	for _, tt := range []struct {
		name  string
		told  [][]Entry // full lists during the ban
		cold  Millis    // the start it is believed to have had when it is let back
		after []Entry
	}{
		{"the list says nothing", nil, 100000, nil},
		{"an old start told again", [][]Entry{at(5, 4)}, 100000, at(5, 4)},
		{"a new process", [][]Entry{at(90000, 4)}, 90000, at(90000, 4)},
		{"gone and back", [][]Entry{at(5, 1), at(5, 4)}, 100000, at(5, 4)},
		{"gone, and back only afterwards", [][]Entry{at(5, 1)}, 100000, at(5, 4)},
	} {
		b := New(testConfig(), 1, 0)
		b.onList(at(5, 4), true)
		if sent(b, 50000, 1, 100)[id] == 0 {
			t.Fatal("gets nothing before the ban")
		}
		b.Handle(60000, &Event{Kind: EventBan, Upstream: id})
		for i, list := range tt.told {
			b.Handle(61000+Millis(i), &Event{Kind: EventListFull, List: list})
		}
		b.Handle(70000, &Event{Kind: EventBan, Upstream: id}) // a call may come again
		if n := sent(b, 70000, 1000, 100)[id]; n != 0 {
			t.Errorf("%s: %d sends to a banned upstream", tt.name, n)
		}
		b.Handle(100000, &Event{Kind: EventUnban, Upstream: id})
		if tt.after != nil {
			b.Handle(100001, &Event{Kind: EventListFull, List: tt.after})
		}
		u := b.ups[id]
		if u == nil || u.Started != tt.cold || !u.possible(b) {
			t.Errorf("%s: let back as %+v, want a start at %v", tt.name, u, tt.cold)
		}
		if n := sent(b, 100100, 2000, 400)[id]; n == 0 {
			t.Errorf("%s: gets nothing after the ban", tt.name)
		}
		b.Handle(120000, &Event{Kind: EventUnban, Upstream: id}) // without a ban nothing happens
		if b.warmth(b.ups[id]) != 1 {
			t.Errorf("%s: still cold", tt.name)
		}
	}
}

// With every upstream taken out a request is refused at once, and so is one that was held.
func TestAllBanned(t *testing.T) {
	b := New(testConfig(), 1, 0)
	b.onList(entries(2), true)
	b.zones[0].limit, b.zones[0].dither = 0, 1 // no room: requests are held
	b.Handle(10, &Event{Kind: EventRequest, Request: 1, ExpiresIn: 2000})
	if len(b.queue) != 1 {
		t.Fatal("the request is not held")
	}
	b.Handle(20, &Event{Kind: EventBan, Upstream: 1})
	b.Handle(20, &Event{Kind: EventBan, Upstream: 2})
	b.Handle(30, &Event{Kind: EventRequest, Request: 2, ExpiresIn: 2000})
	refused := 0
	for _, a := range b.Actions() {
		if a.Kind == ActRefuse {
			refused++
		}
	}
	if refused != 2 || len(b.queue) != 0 {
		t.Errorf("%d refused, %d held", refused, len(b.queue))
	}
}
