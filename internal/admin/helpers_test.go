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

// fakeOverrides is a balancer that knows every upstream but "unlisted". An override of "fails" fails, one of "silent" is not answered.
type fakeOverrides struct {
	ready   bool
	applied chan string // the overrides in force
}

func (o *fakeOverrides) Ready() bool { return o.ready }

func (o *fakeOverrides) KnowsUpstream(id string) bool { return id != "unlisted" }

func (o *fakeOverrides) SetDisabled(id string, disabled bool, done func(error)) {
	switch id {
	case "fails":
		done(errNoSpace)
	case "silent":
	default:
		o.applied <- map[bool]string{true: "disable ", false: "enable "}[disabled] + id
		done(nil)
		done(errors.New("answered twice"))
	}
}

// testServer is a server on a loop of its own.
type testServer struct {
	*epolltest.Rig
	overrides *fakeOverrides
	address   string
}

// startServer starts a server that is closed at the end of the test, and has to hold no descriptor then.
func startServer(t *testing.T, maxConnections int, overrides *fakeOverrides) *testServer {
	t.Helper()
	overrides.applied = make(chan string, 1000)
	rig := epolltest.Start(t)
	ts := &testServer{Rig: rig, overrides: overrides}
	var s *Server
	ts.Do(func() {
		s = New(Options{Loop: rig.Loop, MaxConnections: maxConnections, Counters: &rig.Count, Balancer: overrides})
		if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Error(err)
		}
		ts.address = epoll.Local(s.listener).String()
	})
	t.Cleanup(func() {
		ts.Do(s.Close)
		if n := s.Descriptors(); n != 0 {
			t.Errorf("%d descriptors are open after Close", n)
		}
	})
	return ts
}

// dial opens a connection and writes the begin of a request.
func (s *testServer) dial(text string) net.Conn {
	s.T.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.T.Fatal(err)
	}
	s.T.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(epolltest.Patience))
	io.WriteString(conn, text)
	return conn
}
