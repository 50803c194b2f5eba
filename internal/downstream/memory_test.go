package downstream

import (
	"strings"
	"testing"
	"time"

	"salttrack/internal/memory"
)

// Guards against more memory than the limit: while none is left, requests get 503 and are not forwarded. Afterwards they are served.
func TestRequestsAreRejectedWithoutMemory(t *testing.T) {
	s := newTestServer(t, 8, 2)
	account := memory.NewAccount(1 << 20)
	s.Do(func() { s.server.Memory = account })
	c := s.connect()
	s.WaitForCounter("client_connections_accepted", 1)
	s.Do(func() { account.Add(memory.Bodies, account.Limit()) })
	c.send(getRequest("1"))
	if response, _ := c.response(); response.StatusCode != 503 {
		t.Errorf("without memory: status %d, want 503", response.StatusCode)
	}
	s.Do(func() { account.Add(memory.Bodies, -account.Limit()) })
	c.send(getRequest("2"))
	s.serve(s.nextExchange(), "ok")
	if response, _ := c.response(); response.StatusCode != 200 {
		t.Errorf("with memory: status %d, want 200", response.StatusCode)
	}
	if n := s.CounterValue("client_memory_rejected"); n != 1 {
		t.Errorf("%d requests were rejected for lack of memory, want 1", n)
	}
}

// Guards against connections that are closed for lack of memory although they hold none: incomplete requests end first, then responses that
// are not read, and idle connections and requests in progress stay.
func TestSlowClientsAreClosedWithoutMemory(t *testing.T) {
	s := newTestServer(t, 8, 2)
	account := memory.NewAccount(64 << 20)
	s.Do(func() { s.server.Memory = account })
	incomplete, unread, idle := s.connect(), s.connect(), s.connect()
	unread.send(getRequest("unread"))
	s.serve(s.nextExchange(), strings.Repeat("a", 8<<20))
	idle.send(getRequest("idle"))
	s.serve(s.nextExchange(), "ok")
	idle.response()
	incomplete.send("POST /pay/x HTTP/1.1\r\nX-Txn: half\r\n")
	s.WaitForCounter("client_connections_accepted", 3)
	for s.openConnections() != 3 || !s.hasIncompleteRequest() {
		time.Sleep(time.Millisecond)
	}
	s.Do(func() { s.server.RejectIncompleteRequests(1 << 30) })
	if response, _ := incomplete.response(); response.StatusCode != 503 {
		t.Errorf("incomplete request: status %d, want 503", response.StatusCode)
	}
	incomplete.Close()
	for s.openConnections() != 2 {
		time.Sleep(time.Millisecond)
	}
	s.Do(func() {
		s.server.CloseStalledClients(1 << 30)
		if len(s.server.conns) != 2 {
			t.Error("a client that has not read for a moment was closed")
		}
		for c := range s.server.conns {
			if c.writer.blockedSince != 0 {
				c.writer.blockedSince -= minUnreadTime
			}
		}
		s.server.CloseStalledClients(1 << 30)
	})
	if n := s.CounterValue("client_memory_closed"); n != 2 || s.openConnections() != 1 {
		t.Errorf("%d connections were closed for lack of memory, want 2; %d are open, want 1", n, s.openConnections())
	}
	idle.send(getRequest("again"))
	s.serve(s.nextExchange(), "ok")
	if response, _ := idle.response(); response.StatusCode != 200 {
		t.Errorf("idle connection: status %d, want 200", response.StatusCode)
	}
}

// openConnections returns the number of open connections.
func (s *testServer) openConnections() (count int) {
	s.Do(func() { count = len(s.server.conns) })
	return count
}

// hasIncompleteRequest reports whether a part of a request has been received.
func (s *testServer) hasIncompleteRequest() (found bool) {
	s.Do(func() {
		for c := range s.server.conns {
			found = found || c.sheddingOrder() == incompleteRequest
		}
	})
	return found
}
