package downstream

import (
	"testing"
	"time"

	"salttrack/internal/epoll/epolltest"
)

// The request handler has to be notified when a client disconnects before its response, whether by a close, a half-close or a reset.
func TestClientDisconnects(t *testing.T) {
	s := newTestServer(t, 64, 4)
	for _, disconnect := range []func(*client){
		func(c *client) { c.Close() },
		func(c *client) { c.CloseWrite() }, // a half-close counts as a disconnect
		func(c *client) { c.SetLinger(0); c.Close() },
	} {
		c := s.connect()
		c.send(getRequest("1"))
		x := s.nextExchange()
		disconnect(c)
		select {
		case y := <-s.disconnected:
			if x != y {
				t.Error("the disconnect of a different exchange was reported")
			}
		case <-time.After(epolltest.Timeout):
			t.Fatal("the disconnect was not reported")
		}
	}
	c := s.connect() // disconnects in the middle of a request, which has no exchange
	c.send(getRequest("1")[:30])
	c.Close()
	s.WaitForCounter("client_connections_open", 0)
	if len(s.exchanges) > 0 {
		t.Error("an exchange was started for a partial request")
	}
}

// Sendable has to detect a disconnect whose event the loop has not handled yet, so that no attempt is sent for that client.
// It must do so even if unread bytes precede the close.
func TestSendableDetectsUnhandledDisconnect(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2"))
	x := s.nextExchange()
	s.Do(func() { // the loop handles no events while this function runs
		if !x.Sendable() {
			t.Error("the exchange of a connected client is not sendable")
		}
		c.send("GET ") // because of these unread bytes a read would not return the end of the input
		c.Close()
		busyWait(func() bool { return s.Loop.PeerClosed(s.fd()) })
		if x.Sendable() {
			t.Error("the exchange of a disconnected client is sendable")
		}
	})
	if disconnected := <-s.disconnected; disconnected != x || len(s.exchanges) != 0 || s.CounterValue("client_connections_open") != 0 {
		t.Errorf("disconnect of %v reported, %d more exchanges, %d open connections; want that of %v, 0 and 0",
			disconnected, len(s.exchanges), s.CounterValue("client_connections_open"), x)
	}
}
