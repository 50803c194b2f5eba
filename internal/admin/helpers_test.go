package admin

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"salttrack/internal/epoll"
	"salttrack/internal/epoll/epolltest"
)

// Names of the server's counters.
const (
	acceptedCounter = "admin_connections_accepted"
	shedCounter     = "admin_connections_shed"
)

var errNoSpace = errors.New(`rename "x": no space left on device`)

// fakeBalancer is a balancer that knows every upstream except "unlisted".
// An override of upstream "fails" fails, and one of "hangs" is never done.
type fakeBalancer struct {
	ready   bool
	applied chan string // overrides that were applied, as "disable NAME" or "enable NAME"
}

func (b *fakeBalancer) Ready() bool { return b.ready }

func (b *fakeBalancer) KnowsUpstream(name string) bool { return name != "unlisted" }

func (b *fakeBalancer) SetDisabled(name string, disabled bool, done func(error)) {
	switch name {
	case "fails":
		done(errNoSpace)
	case "hangs":
	default:
		b.applied <- map[bool]string{true: "disable ", false: "enable "}[disabled] + name
		done(nil)
		done(errors.New("done is called twice"))
	}
}

// testServer is a server on its own event loop.
type testServer struct {
	*epolltest.Rig
	balancer *fakeBalancer
	address  string
}

// startServer starts a server, and closes it at the end of the test. All its descriptors have to be closed then.
func startServer(t *testing.T, maxConnections int, balancer *fakeBalancer) *testServer {
	t.Helper()
	balancer.applied = make(chan string, 1000)
	rig := epolltest.Start(t)
	ts := &testServer{Rig: rig, balancer: balancer}
	var s *Server
	ts.Do(func() {
		s = New(Options{Loop: rig.Loop, MaxConnections: maxConnections, Counters: &rig.Count, Balancer: balancer})
		if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Error(err)
		}
		ts.address = epoll.LocalAddress(s.listener).String()
	})
	t.Cleanup(func() {
		ts.Do(s.Close)
		if n := s.Descriptors(); n != 0 {
			t.Errorf("%d descriptors are open after Close", n)
		}
	})
	return ts
}

// dial opens a connection and writes a text, which may be the beginning of a request.
func (s *testServer) dial(text string) net.Conn {
	s.T.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.T.Fatal(err)
	}
	s.T.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(epolltest.Timeout))
	io.WriteString(conn, text)
	return conn
}
