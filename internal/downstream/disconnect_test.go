package downstream

import (
	"testing"
	"time"

	"salttrack/internal/epoll/epolltest"
)

// The handler is called when a client disconnects before its response, however it does so.
func TestClientDisconnects(t *testing.T) {
	s := newTestServer(t, 64, 4)
	for _, disconnect := range []func(*client){
		func(c *client) { c.Close() },
		func(c *client) { c.CloseWrite() }, // a half-close gives up as well
		func(c *client) { c.SetLinger(0); c.Close() },
	} {
		c := s.connect()
		c.send(getRequest("1"))
		x := s.nextExchange()
		disconnect(c)
		select {
		case y := <-s.disconnected:
			if x != y {
				t.Error("another exchange was disconnected")
			}
		case <-time.After(epolltest.Timeout):
			t.Fatal("the disconnect was not reported")
		}
	}
	c := s.connect() // in the middle of a request: there is no exchange
	c.send(getRequest("1")[:30])
	c.Close()
	s.WaitForCounter("client_connections_open", 0)
	if len(s.accepted) > 0 {
		t.Error("a partial request was accepted")
	}
}

// Sendable asks the socket, since a client's close may have arrived and not been handled yet: no attempt begins for it.
func TestDisconnectNotYetHandled(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2"))
	x := s.nextExchange()
	s.Do(func() { // the loop handles no event meanwhile
		if !x.Sendable() {
			t.Error("a connected client counts as disconnected")
		}
		c.send("GET ") // unread bytes hide the close from a read
		c.Close()
		busyWait(func() bool { return s.Loop.PeerClosed(s.fd()) })
		if x.Sendable() {
			t.Error("a client that has closed counts as connected")
		}
	})
	if disconnected := <-s.disconnected; disconnected != x || len(s.accepted) != 0 || s.CounterValue("client_connections_open") != 0 {
		t.Errorf("%v disconnected, %d more accepted, %d connections", disconnected, len(s.accepted), s.CounterValue("client_connections_open"))
	}
}
