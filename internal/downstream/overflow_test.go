package downstream

import (
	"strings"
	"testing"
	"time"

	"salttrack/balance"
)

// exhaustQuota opens a connection for each id and sends a request on it, whose exchange stays open. With these, the server's quota of
// descriptors is exhausted.
func (s *testServer) exhaustQuota(ids ...string) {
	s.T.Helper()
	for _, id := range ids {
		s.connect().send(getRequest(id))
		s.nextExchange()
	}
}

// expectRejections reads a number of responses, whose status has to be 503.
func (c *client) expectRejections(count int) {
	c.t.Helper()
	for n := range count {
		if resp, _ := c.response(); resp.StatusCode != 503 {
			c.t.Fatalf("response %d: status %d, want 503", n, resp.StatusCode)
		}
	}
}

// When the descriptor quota is exhausted, only connections that have been inactive for minInactivity may be shed,
// responses have to announce the end of their connections, and requests on overflow connections have to be rejected.
func TestDescriptorQuotaExhausted(t *testing.T) {
	s := newTestServer(t, 8, 2) // the server's quota is 6 of these 8 descriptors
	var all []*client
	for range 6 {
		all = append(all, s.connect())
	}
	s.WaitForCounter("client_connections_accepted", 6)
	seventh := s.connect()
	seventh.send(getRequest("7"))
	if resp, _ := seventh.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("overflow connection: status %d, closes %v, want 503 and a close", resp.StatusCode, resp.Close)
	}
	for _, c := range all[:1] { // no connection was shed for the seventh
		c.send(getRequest("1"))
		s.serve(s.nextExchange(), "ok")
		if resp, got := c.response(); got != "ok" || !resp.Close {
			t.Errorf("response %q, closes %v, want %q and a close", got, resp.Close, "ok")
		}
		c.expectEOF()
		c.Close()
		seventh.Close()
	}
	s.WaitForCounter("client_connections_open", 5)
	if s.CounterValue("client_connections_shed") != 0 || s.CounterValue("client_overflow_rejected") != 1 {
		t.Errorf("%d connections shed, want 0; %d requests rejected on overflow connections, want 1", s.CounterValue("client_connections_shed"), s.CounterValue("client_overflow_rejected"))
	}
	s.Do(func() { // has the same effect as waiting for minInactivity
		for e := s.server.readingConns.Front(); e != nil; e = e.Next() {
			e.Value.(*conn).reader.lastActivity -= minInactivity
		}
	})
	for _, txn := range []string{"8", "9"} { // one descriptor is free, so only the second request needs a connection to be shed
		s.connect().send(getRequest(txn))
		s.nextExchange()
	}
	if n := s.CounterValue("client_connections_shed"); n != 1 {
		t.Errorf("%d connections shed, want 1", n)
	}
}

// The time for which a connection must have been inactive before it may be shed depends on its state,
// and for idle connections on whether the limit on overflow connections is reached.
func TestMinInactivityBeforeShed(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sent       string // the part of a request that the client has sent
		responded  bool   // the connection has served a request before
		inactivity balance.Millis
		pressure   bool // the limit on overflow connections is reached
		want       bool // the connection is shed
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

// A request on an overflow connection has to be served if a descriptor is available when the request arrives.
func TestPromotionFromOverflow(t *testing.T) {
	s := newTestServer(t, 4, 2) // the server's quota is 3 of these 4 descriptors
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
		t.Errorf("response %q, want %q", got, "ok")
	}
	c.Close()
	s.WaitForCounter("client_connections_open", 2)
	s.Do(func() {
		if s.server.overflow.Len() != 0 || s.server.quota.InUse() != 2 {
			t.Errorf("%d overflow connections, want 0; %d regular connections, want 2", s.server.overflow.Len(), s.server.quota.InUse())
		}
	})
}

// A request that arrives slowly on an overflow connection has to get a response with status 503.
// The timeout must not close the connection while the request is arriving.
func TestSlowRequestOnOverflowConnection(t *testing.T) {
	s := newTestServer(t, 4, 2) // the server's quota is 3 of these 4 descriptors
	for range 3 {
		s.connect()
	}
	s.WaitForCounter("client_connections_open", 3)
	c := s.connect()
	c.send(getRequest("1")[:40])
	s.WaitForCounter("client_connections_open", 4)
	s.Do(func() {
		for !s.server.readingConns.Back().Value.(*conn).reader.decoder.Started() { // until the first bytes have been read
			s.server.readingConns.Back().Value.(*conn).reader.read()
		}
		s.Loop.Timers.Run(s.Loop.Now() + overflowTimeout) // the timeout expires right after the first bytes were read
	})
	c.send(getRequest("1")[40:])
	if resp, _ := c.response(); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// Each pipelined request on an overflow connection has to get a response. The connection closes after the last one.
func TestPipelinedOnOverflowConnection(t *testing.T) {
	s := newTestServer(t, 4, 4)
	s.exhaustQuota("1", "2", "3")
	c := s.connect()
	c.send(getRequest("4") + getRequest("5") + getRequest("6"))
	for n := range 3 {
		if resp, _ := c.response(); resp.StatusCode != 503 || resp.Close != (n == 2) {
			t.Errorf("response %d: status %d, closes %v, want 503 and a close only at response 2", n, resp.StatusCode, resp.Close)
		}
	}
	c.expectEOF()
}

// Guards against requests that are lost when a client pipelines many on an overflow connection, more than are read at once and more
// than the kernel takes responses for: each has to get a response.
func TestManyPipelinedOnOverflowConnection(t *testing.T) {
	const pipelined = 3000
	s := newTestServer(t, 4, 4)
	s.exhaustQuota("1", "2", "3")
	c := s.connect()
	c.SetReadBuffer(16 << 10)
	go c.Write([]byte(strings.Repeat(getRequest("4"), pipelined))) // ends when the test closes the connection, at the latest
	time.Sleep(100 * time.Millisecond)
	c.expectRejections(pipelined)
}

// Guards against a timeout that closes a connection while requests of it, which have been read, wait for a later turn.
func TestTimeoutWhileRequestsWaitForTurn(t *testing.T) {
	s := newTestServer(t, 4, 4)
	regular := s.connect()
	s.WaitForCounter("client_connections_open", 1)
	s.exhaustQuota("1", "2")
	overflow := s.connect()
	s.WaitForCounter("client_connections_open", 4)
	wait := func(c *conn) {
		c.reader.unread.append([]byte(getRequest("3")), s.Loop.Now())
		c.reader.enterResumeQueue()
	}
	s.Do(func() {
		wait(s.server.overflow.Front().Value.(*conn))
		wait(s.server.readingConns.Front().Value.(*conn))
		s.Loop.Timers.Stop(s.server.resumeQueue.timer) // the turn has no time for them
		s.Loop.Timers.Run(s.Loop.Now() + idleTimeout)
		s.server.resumeQueued()
	})
	if resp, _ := overflow.response(); resp.StatusCode != 503 {
		t.Errorf("overflow connection: status %d, want 503", resp.StatusCode)
	}
	s.serve(s.nextExchange(), "ok")
	if _, got := regular.response(); got != "ok" {
		t.Errorf("response %q, want %q", got, "ok")
	}
}

// Guards against requests that are lost when a client floods an overflow connection while others wait for its descriptor.
func TestFloodOnOverflowConnectionWhileOthersWait(t *testing.T) {
	const pipelined = 100000
	s := newTestServer(t, 4, 1)
	s.exhaustQuota("1", "2", "3")
	flooder := s.connect()
	go flooder.Write([]byte(strings.Repeat(getRequest("4"), pipelined))) // ends when the test closes the connection, at the latest
	other := s.connect()
	other.send(getRequest("5"))
	flooder.expectRejections(pipelined)
	if resp, _ := other.response(); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}
