package downstream

import (
	"testing"

	"salttrack/balance"
)

// With a full table only connections that have been inactive for minInactivity are closed, responses announce the end of their
// connection, and requests on overflow connections are rejected.
func TestFullTable(t *testing.T) {
	s := newTestServer(t, 8, 2) // the client side may have six of these
	var all []*client
	for range 6 {
		all = append(all, s.connect())
	}
	s.WaitForCounter("client_connections_accepted", 6)
	seventh := s.connect()
	seventh.send(getRequest("7"))
	if resp, _ := seventh.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("overflow connection: status %d, closes %v", resp.StatusCode, resp.Close)
	}
	for _, c := range all[:1] { // none of them was closed for the seventh
		c.send(getRequest("1"))
		s.serve(s.nextExchange(), "ok")
		if resp, got := c.response(); got != "ok" || !resp.Close {
			t.Errorf("response %q, closes %v", got, resp.Close)
		}
		c.expectEOF()
		c.Close()
		seventh.Close()
	}
	s.WaitForCounter("client_connections_open", 5)
	if s.CounterValue("client_connections_shed") != 0 || s.CounterValue("client_overflow_rejected") != 1 {
		t.Errorf("%d connections shed, %d requests rejected", s.CounterValue("client_connections_shed"), s.CounterValue("client_overflow_rejected"))
	}
	s.Do(func() { // as if minInactivity had passed
		for e := s.server.readingConns.Front(); e != nil; e = e.Next() {
			e.Value.(*conn).reader.lastActivity -= minInactivity
		}
	})
	for _, txn := range []string{"8", "9"} { // the first one needs none to be shed
		s.connect().send(getRequest(txn))
		s.nextExchange()
	}
	if n := s.CounterValue("client_connections_shed"); n != 1 {
		t.Errorf("%d connections shed, want 1", n)
	}
}

// How long a connection must have been inactive before it may be shed depends on what is likely to be on its way.
func TestShedding(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sent       string // of a request
		responded  bool
		inactivity balance.Millis
		pressure   bool // overflow connections are exhausted
		want       bool
	}{
		{"idle, 0.5 s", "", true, 500, false, false},
		{"idle, 1 s", "", true, 1000, false, true},
		{"idle, 0.5 s, under pressure", "", true, 500, true, true},
		{"new, 0.5 s", "", false, 500, false, false},
		{"new, 0.5 s, under pressure", "", false, 500, true, false},
		{"new, 1 s, under pressure", "", false, 1000, true, true},
		{"partial request, 1.5 s, under pressure", getRequest("1")[:50], false, 1500, true, false},
		{"partial request, 3 s", getRequest("1")[:50], false, 3000, false, true},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		if tt.responded {
			c.send(getRequest("0"))
			s.serve(s.nextExchange(), "ok")
			c.response()
		}
		c.send(tt.sent)
		s.WaitForCounter("client_connections_open", 1)
		var got bool
		if tt.sent != "" {
			s.waitForPartialRequest()
		}
		s.Do(func() {
			s.leastRecentlyActive().reader.lastActivity = s.Loop.Now() - tt.inactivity
			got = s.server.shedIdle()
			if !got && tt.pressure {
				got = s.server.shedLeastRecentlyActive(minInactivityUnderPressure)
			}
		})
		if got != tt.want {
			t.Errorf("%s: shed %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A request on an overflow connection is served if the table has capacity when it arrives.
func TestPromotionFromOverflow(t *testing.T) {
	s := newTestServer(t, 4, 2) // the client side may have three of these
	first := s.connect()
	s.connect()
	s.connect()
	s.WaitForCounter("client_connections_open", 3)
	c := s.connect()
	s.WaitForCounter("client_connections_open", 4)
	first.Close()
	s.WaitForCounter("client_connections_open", 3)
	c.send(getRequest("1"))
	s.serve(s.nextExchange(), "ok")
	if _, got := c.response(); got != "ok" {
		t.Errorf("response %q", got)
	}
	c.Close()
	s.WaitForCounter("client_connections_open", 2)
	s.Do(func() {
		if s.server.overflowConns != 0 || s.server.quota.InUse() != 2 {
			t.Errorf("%d overflow connections, %d in the table", s.server.overflowConns, s.server.quota.InUse())
		}
	})
}

// A request that arrives slowly on an overflow connection is rejected, not dropped.
func TestSlowRequestOnOverflowConnection(t *testing.T) {
	s := newTestServer(t, 4, 2) // the client side may have three of these
	for range 3 {
		s.connect()
	}
	s.WaitForCounter("client_connections_open", 3)
	c := s.connect()
	c.send(getRequest("1")[:40])
	s.WaitForCounter("client_connections_open", 4)
	s.Do(func() {
		for !s.server.readingConns.Back().Value.(*conn).reader.decoder.Started() { // until the first bytes are received
			s.server.readingConns.Back().Value.(*conn).reader.read()
		}
		s.Loop.Timers.Run(s.Loop.Now() + overflowTimeout) // they arrived right before the timeout
	})
	c.send(getRequest("1")[40:])
	if resp, _ := c.response(); resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Every request that was read has its response on an overflow connection too: it closes behind the last one.
func TestPipelinedOnOverflowConnection(t *testing.T) {
	s := newTestServer(t, 4, 4)
	for _, txn := range []string{"1", "2", "3"} { // all that the client side may have
		s.connect().send(getRequest(txn))
		s.nextExchange()
	}
	c := s.connect()
	c.send(getRequest("4") + getRequest("5") + getRequest("6"))
	for n := range 3 {
		if resp, _ := c.response(); resp.StatusCode != 503 || resp.Close != (n == 2) {
			t.Errorf("response %d: status %d, closes %v", n, resp.StatusCode, resp.Close)
		}
	}
	c.expectEOF()
}
