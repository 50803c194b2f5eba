package downstream

import (
	"net"
	"testing"
	"time"

	"salttrack/balance"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/shutdown"
)

// Requests that were received on one connection are all answered before a shutdown closes it. From the schedule's RejectFrom on
// further ones are rejected, and the connection closes behind them.
func TestShutdownAnswersReceivedRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2"))
	first := s.nextExchange()
	done := make(chan bool)
	schedule := s.shutdown(longestDeadline, func() { close(done) })
	s.serve(first, "one")
	if resp, body := c.response(); body != "one" || resp.Close {
		t.Errorf("%q, closes %v before the second response", body, resp.Close)
	}
	second := s.nextExchange()
	c.send(getRequest("3")) // arrives while the second is pending
	s.Do(func() { busyWait(func() bool { return !s.Loop.IdleOpen(s.fd()) }) })
	s.serve(second, "two")
	if resp, body := c.response(); body != "two" || resp.Close {
		t.Errorf("%q, closes %v before the third response", body, resp.Close)
	}
	third := s.nextExchange()
	c.send(getRequest("4"))
	s.Do(func() { // RejectFrom has passed
		s.server.drain.schedule = shutdown.New(s.Loop.Now()-(schedule.RejectFrom-schedule.SignalledAt), longestDeadline)
	})
	s.serve(third, "three")
	if resp, body := c.response(); body != "three" || resp.Close {
		t.Errorf("%q, closes %v before the fourth response", body, resp.Close)
	}
	if resp, _ := c.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, closes %v after RejectFrom", resp.StatusCode, resp.Close)
	}
	if n := s.CounterValue("client_shutdown_rejected"); n != 1 {
		t.Errorf("%d requests rejected by the shutdown, want 1", n)
	}
	c.Close()
	s.runTimers(schedule.StopAccept)
	s.runTimers(schedule.ExitBy)
	<-done
}

func TestShutdown(t *testing.T) {
	s := newTestServer(t, 64, 4)
	kept, busy := s.connect(), s.connect()
	kept.send("GET /-/ready HTTP/1.1\r\n\r\n")
	if resp, _ := kept.response(); resp.StatusCode != 200 {
		t.Fatalf("readiness status %d", resp.StatusCode)
	}
	busy.send(getRequest("1"))
	x := s.nextExchange()
	done := make(chan struct{})
	s.shutdown(longestDeadline, func() { close(done) })
	late := s.connect() // new connections are still accepted
	late.send("GET /-/ready HTTP/1.1\r\n\r\n")
	if resp, _ := late.response(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("readiness status %d during the shutdown", resp.StatusCode)
	}
	kept.send(getRequest("2"))
	s.serve(s.nextExchange(), "two")
	if resp, got := kept.response(); got != "two" || !resp.Close {
		t.Errorf("request on an idle connection: %q, closes %v", got, resp.Close)
	}
	s.Do(func() {
		select {
		case <-done:
			t.Error("shutdown ended before the last response")
		default:
		}
	})
	s.serve(x, "one")
	if _, got := busy.response(); got != "one" {
		t.Errorf("the pending request got %q", got)
	}
	busy.Close()
	kept.Close()
	late.Close()
	select {
	case <-done:
	case <-time.After(epolltest.Timeout):
		t.Fatal("the shutdown does not end")
	}
	if c, err := net.Dial("tcp", s.addr); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// Connections in the listener's queue are served although the schedule's StopAccept has passed.
func TestShutdownEmptiesListenerQueue(t *testing.T) {
	s := newTestServer(t, 64, 4)
	release := make(chan struct{})
	blocked := make(chan struct{})
	schedule := s.shutdown(longestDeadline, func() {})
	s.Loop.Post(func() { close(blocked); <-release })
	<-blocked
	c := s.connect()
	c.send(getRequest("1"))
	time.Sleep(time.Duration(schedule.StopAccept-schedule.SignalledAt) * time.Millisecond) // StopAccept passes meanwhile
	close(release)
	s.serve(s.nextExchange(), "one")
	if _, got := c.response(); got != "one" {
		t.Errorf("response %q", got)
	}
}

// A connection that was accepted just before the listener closed is not closed as idle: its first request is on its way.
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
		t.Errorf("response %q", got)
	}
}

// During a shutdown a request that arrives slowly is served as long as it can be answered in time, and rejected after that.
func TestShutdownServesSlowRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	slow, never, upload := s.connect(), s.connect(), s.connect()
	text := getRequest("1")
	slow.send(text[:30])
	never.send(text[:30])
	upload.send("POST /pay HTTP/1.1\r\nX-Txn: 9\r\nX-Lane: pay\r\nX-Remaining: 1\r\nContent-Length: 999999\r\n\r\nabc")
	u := s.nextExchange()
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
		t.Errorf("responses by %v, want %v", s.respondBy, schedule.RespondBy)
	}
	s.serve(x, "one")
	if _, got := slow.response(); got != "one" {
		t.Errorf("response %q", got)
	}
	s.runTimers(schedule.RejectFrom)
	for name, c := range map[string]*client{"partial head": never, "partial body": upload} {
		if resp, _ := c.response(); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if got := <-s.disconnected; got != u {
		t.Error("another exchange than the upload's was disconnected")
	}
}

// Settings that are applied during a shutdown may shorten it, and never lengthen it.
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
				t.Errorf("longest deadline %v: responses by %v, want %v", tt.longest, s.respondBy, tt.want)
			}
		})
	}
}
