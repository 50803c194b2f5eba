package downstream

import (
	"net"
	"testing"
	"time"

	"salttrack/balance"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/shutdown"
)

// All requests that have been received on a connection must get their responses before a shutdown closes it.
// Requests that arrive after RejectFrom of the schedule have to be rejected, and the connection closes after them.
func TestShutdownServesReceivedRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2"))
	first := s.nextExchange()
	done := make(chan bool)
	schedule := s.shutdown(longestDeadline, func() { close(done) })
	s.serve(first, "one")
	if resp, body := c.response(); body != "one" || resp.Close {
		t.Errorf("first response %q, closes %v, want an open connection for the second one", body, resp.Close)
	}
	second := s.nextExchange()
	c.send(getRequest("3")) // arrives before the response to the second request
	s.Do(func() {           // it may have been read ahead
		busyWait(func() bool { return !s.Loop.IdleOpen(s.fd()) || len(s.onlyConn().reader.unread.bytes) > 0 })
	})
	s.serve(second, "two")
	if resp, body := c.response(); body != "two" || resp.Close {
		t.Errorf("second response %q, closes %v, want an open connection for the third one", body, resp.Close)
	}
	third := s.nextExchange()
	c.send(getRequest("4"))
	s.Do(func() { // sets a schedule whose RejectFrom has passed
		s.server.drain.schedule = shutdown.New(s.Loop.Now()-(schedule.RejectFrom-schedule.SignalledAt), longestDeadline)
	})
	s.serve(third, "three")
	if resp, body := c.response(); body != "three" || resp.Close {
		t.Errorf("third response %q, closes %v, want an open connection for the fourth one", body, resp.Close)
	}
	if resp, _ := c.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("after RejectFrom: status %d, closes %v, want 503 and a close", resp.StatusCode, resp.Close)
	}
	if n := s.CounterValue("client_shutdown_rejected"); n != 1 {
		t.Errorf("%d requests rejected by the shutdown, want 1", n)
	}
	c.Close()
	s.runTimers(schedule.StopAccept)
	s.runTimers(schedule.ExitBy)
	<-done
}

// During a shutdown new connections have to be accepted, readiness checks have to fail, and requests have to be served with
// responses that announce the end of their connections. The shutdown has to end after the last response, with the listener closed.
func TestShutdown(t *testing.T) {
	s := newTestServer(t, 64, 4)
	idle, busy := s.connect(), s.connect()
	idle.send("GET /-/ready HTTP/1.1\r\n\r\n")
	if resp, _ := idle.response(); resp.StatusCode != 200 {
		t.Fatalf("readiness status %d before the shutdown, want 200", resp.StatusCode)
	}
	busy.send(getRequest("1"))
	x := s.nextExchange()
	done := make(chan struct{})
	s.shutdown(longestDeadline, func() { close(done) })
	late := s.connect() // connects during the shutdown
	late.send("GET /-/ready HTTP/1.1\r\n\r\n")
	if resp, _ := late.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("readiness status %d during the shutdown, closes %v, want 503 and a close", resp.StatusCode, resp.Close)
	}
	idle.send(getRequest("2"))
	s.serve(s.nextExchange(), "two")
	if resp, got := idle.response(); got != "two" || !resp.Close {
		t.Errorf("response on an idle connection: %q, closes %v, want %q and a close", got, resp.Close, "two")
	}
	s.Do(func() {
		select {
		case <-done:
			t.Error("the shutdown ended before the last response")
		default:
		}
	})
	s.serve(x, "one")
	if _, got := busy.response(); got != "one" {
		t.Errorf("response to the pending request: %q, want %q", got, "one")
	}
	busy.Close()
	idle.Close()
	late.Close()
	select {
	case <-done:
	case <-time.After(epolltest.Timeout):
		t.Fatal("the shutdown did not end")
	}
	if c, err := net.Dial("tcp", s.addr); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// Connections in the listener's queue have to be served even if StopAccept of the schedule has passed before they are accepted.
func TestShutdownEmptiesListenerQueue(t *testing.T) {
	s := newTestServer(t, 64, 4)
	release := make(chan struct{})
	blocked := make(chan struct{})
	schedule := s.shutdown(longestDeadline, func() {})
	s.Loop.Post(func() { close(blocked); <-release })
	<-blocked
	c := s.connect()
	c.send(getRequest("1"))
	time.Sleep(time.Duration(schedule.StopAccept-schedule.SignalledAt) * time.Millisecond) // until StopAccept has passed
	close(release)
	s.serve(s.nextExchange(), "one")
	if _, got := c.response(); got != "one" {
		t.Errorf("response %q, want %q", got, "one")
	}
}

// A connection that was accepted just before the listener closed must not be closed as idle, since its first request is in transit.
func TestShutdownWaitsForFirstRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	s.shutdown(longestDeadline, func() {})
	c := s.connect()
	s.WaitForCounter("client_connections_accepted", 1)
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		s.Do(func() { closed = s.server.listener < 0 })
	}
	c.send(getRequest("1"))
	s.serve(s.nextExchange(), "one")
	if _, got := c.response(); got != "one" {
		t.Errorf("response %q, want %q", got, "one")
	}
}

// During a shutdown a request that arrives slowly has to be served if it is complete before RejectFrom of the schedule.
// Requests that are incomplete at RejectFrom have to be rejected.
func TestShutdownServesSlowRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	slow, partialHead, partialBody := s.connect(), s.connect(), s.connect()
	text := getRequest("1")
	slow.send(text[:30])
	partialHead.send(text[:30])
	partialBody.send("POST /pay HTTP/1.1\r\nX-Txn: 9\r\nX-Lane: pay\r\nX-Remaining: 1\r\nContent-Length: 999999\r\n\r\nabc")
	streamed := s.nextExchange()
	s.WaitForCounter("client_connections_accepted", 3)
	var schedule shutdown.Schedule
	s.Do(func() {
		schedule = shutdown.New(s.Loop.Now(), longestDeadline)
		s.server.ShutdownWithSuccessor(schedule, func() {})
	})
	s.runTimers(schedule.StopAccept)
	slow.send(text[30:])
	x := s.nextExchange()
	if s.respondBy != schedule.RespondBy {
		t.Errorf("shutdown deadline %v, want %v", s.respondBy, schedule.RespondBy)
	}
	s.serve(x, "one")
	if _, got := slow.response(); got != "one" {
		t.Errorf("response %q, want %q", got, "one")
	}
	s.runTimers(schedule.RejectFrom)
	for name, c := range map[string]*client{"partial head": partialHead, "partial body": partialBody} {
		if resp, _ := c.response(); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("%s: status %d, closes %v, want 503 and a close", name, resp.StatusCode, resp.Close)
		}
	}
	if got := <-s.disconnected; got != streamed {
		t.Error("the disconnect of a different exchange than that of the streamed request was reported")
	}
}

// Settings that are applied during a shutdown may shorten the shutdown but must not lengthen it.
func TestSettingsDuringShutdown(t *testing.T) {
	s := newTestServer(t, 64, 4)
	first := s.shutdown(longestDeadline, func() {})
	shortened := shutdown.New(first.SignalledAt, 755)
	for _, tt := range []struct{ longest, want balance.Millis }{
		{5000, first.RespondBy},
		{755, shortened.RespondBy},
		{5000, shortened.RespondBy},
	} {
		s.Do(func() {
			next := *s.server.settings
			next.LongestDeadline = tt.longest
			s.server.ApplySettings(&next)
			if s.respondBy != tt.want || s.server.drain.schedule.RespondBy != tt.want {
				t.Errorf("longest deadline %v: shutdown deadline %v, want %v", tt.longest, s.respondBy, tt.want)
			}
		})
	}
}
