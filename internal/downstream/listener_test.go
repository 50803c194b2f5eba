package downstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/loop"
)

// failingAccept makes the first calls of Accept fail with an error.
type failingAccept struct {
	loop.Sockets
	err       error
	remaining int // number of calls that are still to fail
}

func (f *failingAccept) Accept(fd int) (int, error) {
	if f.remaining > 0 {
		f.remaining--
		return -1, f.err
	}
	return f.Sockets.Accept(fd)
}

// If accepting fails with a transient error when the listener is about to close,
// it has to be retried, so that the connections in the listener's queue are served before the listener closes.
func TestListenerCloseRetriesAccept(t *testing.T) {
	for _, err := range []error{unix.ENFILE, unix.ENOBUFS, unix.ECONNABORTED, unix.EPERM} {
		s := newTestServer(t, 64, 4)
		schedule := s.shutdown(longestDeadline, func() {})
		var c *client
		s.Do(func() {
			s.Loop.Sockets = &failingAccept{s.Loop.Sockets, err, 40}
			c = s.connect()
			c.send(getRequest("1"))
			s.Loop.Timers.Run(schedule.StopAccept)
		})
		s.serve(s.nextExchange(), "one")
		if _, got := c.response(); got != "one" {
			t.Errorf("%v: response %q, want %q", err, got, "one")
		}
	}
}

// suspendedAccept simulates that the process is suspended right after Accept has found the listener's queue empty
// for the first time. A client tries to connect during the suspension.
type suspendedAccept struct {
	loop.Sockets
	addr      string
	connected chan net.Conn // receives the connection of the client, nil if it failed to connect
	suspended bool          // the process has been suspended
}

func (s *suspendedAccept) Accept(fd int) (int, error) {
	c, err := s.Sockets.Accept(fd)
	if err == unix.EAGAIN && !s.suspended {
		s.suspended = true
		dialed := make(chan net.Conn, 1)
		go func() {
			c, _ := net.Dial("tcp", s.addr)
			dialed <- c
			s.connected <- c
		}()
		select { // the client either connects at once, or fails to connect when the listener is closed
		case c := <-dialed:
			if c != nil {
				io.WriteString(c, getRequest("1"))
			}
		case <-time.After(150 * time.Millisecond):
		}
	}
	return c, err
}

// A client that connects between the last accept and the close of the listener has to fail to connect or to be served.
// The kernel must not establish its connection and then reset it when the listener is closed, since its request would be lost.
func TestConnectBetweenLastAcceptAndClose(t *testing.T) {
	s := newTestServer(t, 64, 4)
	schedule := s.shutdown(longestDeadline, func() {})
	sockets := &suspendedAccept{addr: s.addr, connected: make(chan net.Conn, 1)}
	s.Do(func() {
		sockets.Sockets = s.Loop.Sockets
		s.Loop.Sockets = sockets
		s.Loop.Timers.Run(schedule.StopAccept)
	})
	if !sockets.suspended {
		t.Fatal("the listener was closed before its queue was found empty")
	}
	select {
	case c := <-sockets.connected:
		if c == nil {
			return
		}
		defer c.Close()
		s.serve(s.nextExchange(), "one")
		got := &client{c.(*net.TCPConn), bufio.NewReader(c), t}
		if _, body := got.response(); body != "one" {
			t.Errorf("response %q, want %q", body, "one")
		}
	case <-time.After(epolltest.Timeout):
		t.Fatal("the client neither connected nor failed to connect")
	}
}
