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

// failingAccept fails the first calls of Accept with an error.
type failingAccept struct {
	loop.Sockets
	err       error
	remaining int // calls that still fail
}

func (f *failingAccept) Accept(fd int) (int, error) {
	if f.remaining > 0 {
		f.remaining--
		return -1, f.err
	}
	return f.Sockets.Accept(fd)
}

// When accept fails transiently at the time at which the listener is to close, it is retried, and the listener closes behind the
// last connection of its queue.
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
			t.Errorf("%v: response %q", err, got)
		}
	}
}

// suspendedAccept suspends the process right after it has found the listener's queue empty for the first time. A client connects
// meanwhile.
type suspendedAccept struct {
	loop.Sockets
	addr      string
	connected chan net.Conn // the client's connection, nil if it could not connect
	suspended bool          // it was, once
}

func (s *suspendedAccept) Accept(fd int) (int, error) {
	c, err := s.Sockets.Accept(fd)
	if err == unix.EAGAIN && !s.suspended {
		s.suspended = true
		up := make(chan net.Conn, 1)
		go func() {
			c, _ := net.Dial("tcp", s.addr)
			up <- c
			s.connected <- c
		}()
		select { // connected at once, or not before the listener is closed
		case c := <-up:
			if c != nil {
				io.WriteString(c, getRequest("1"))
			}
		case <-time.After(150 * time.Millisecond):
		}
	}
	return c, err
}

// A client that connects between the last accept and the close of the listener either fails to connect or is served: its request
// must not be accepted by the kernel and dropped with the listener.
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
			t.Errorf("response %q", body)
		}
	case <-time.After(epolltest.Timeout):
		t.Fatal("the client neither connects nor fails to")
	}
}
