package loop_test

import (
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
)

// handlerFunc is a function that implements loop.Handler.
type handlerFunc func(events uint32)

func (h handlerFunc) Ready(events uint32) { h(events) }

func newLoop(t *testing.T) *loop.Loop {
	t.Helper()
	kernel, err := epoll.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(kernel.Release)
	return loop.New(kernel)
}

// socketPair returns a connected pair of sockets. The peer is closed when the test ends.
func socketPair(t *testing.T) (fd, peer int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(pair[1]) })
	return pair[0], pair[1]
}

// send writes one byte to a socket.
func send(t *testing.T, fd int) {
	t.Helper()
	if n, err := epoll.Write(fd, []byte("x")); n != 1 || err != nil {
		t.Fatal(n, err)
	}
}

func turn(t *testing.T, l *loop.Loop) {
	t.Helper()
	if err := l.Turn(); err != nil {
		t.Fatal(err)
	}
}
