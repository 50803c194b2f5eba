package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/epoll"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/exchange"
	"salttrack/internal/loop"
	"salttrack/internal/shutdown"
	"salttrack/internal/simulation/faultinject"
)

// longestDeadline is the longest deadline of the tests' settings.
const longestDeadline balance.Millis = 2000

// Classes of the tests' settings.
const (
	classRead uint8 = iota // idempotent
	classPay               // not idempotent
	classKeep              // with an idempotency key
)

// testServer is a server on a loop of its own. It is the server's request handler: the test plays the balancer.
type testServer struct {
	*epolltest.Rig
	server       *Server
	addr         string
	accepted     chan *exchange.Exchange
	disconnected chan *exchange.Exchange
	completed    chan *exchange.Exchange
	respondBy    balance.Millis // as set last
}

func (s *testServer) HandleRequest(x *exchange.Exchange)      { s.accepted <- x }
func (s *testServer) RequestComplete(x *exchange.Exchange)    { s.completed <- x }
func (s *testServer) ClientDisconnected(x *exchange.Exchange) { s.disconnected <- x }
func (s *testServer) SetShutdownDeadline(at balance.Millis)   { s.respondBy = at }

// newTestServer starts a server with a table of so many descriptors, on a kernel that fails by rules if there are any.
func newTestServer(t *testing.T, descriptors, overflowLimit int, rules ...faultinject.Rule) *testServer {
	t.Helper()
	const maxExchanges = 1000 // that a test does not read
	s := &testServer{
		Rig:          epolltest.Start(t, rules...),
		accepted:     make(chan *exchange.Exchange, maxExchanges),
		disconnected: make(chan *exchange.Exchange, maxExchanges),
		completed:    make(chan *exchange.Exchange, maxExchanges),
	}
	s.server = NewServer(Options{
		Loop:          s.Loop,
		Table:         loop.NewDescriptorTable(descriptors),
		Buffers:       bodystream.NewBufferPool(8),
		OverflowLimit: overflowLimit,
		Counters:      &s.Count,
		Synced:        func() bool { return true },
	})
	s.server.ApplySettings(&Settings{
		Classes: map[string]uint8{"read": classRead, "pay": classPay, "keep": classKeep},
		Idempotency: []balance.Idempotency{
			classRead: balance.Idempotent,
			classPay:  balance.NonIdempotent,
			classKeep: balance.WithIdempotencyKey,
		},
		ResponseMargin: 10,
	})
	s.server.SetRequestHandler(s)
	s.Do(func() {
		if err := s.server.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Error(err)
		}
	})
	s.addr = epoll.Local(s.server.listener).String()
	return s
}

// shutdown begins a shutdown that is signalled now.
func (s *testServer) shutdown(longest balance.Millis, done func()) (schedule shutdown.Schedule) {
	s.Do(func() {
		schedule = shutdown.New(s.Loop.Now(), longest)
		s.server.Shutdown(schedule, done)
	})
	return schedule
}

// runTimers runs the timers that are due by a time.
func (s *testServer) runTimers(at balance.Millis) { s.Do(func() { s.Loop.Timers.Run(at) }) }

// connect opens a connection of a client. It is closed with the test.
func (s *testServer) connect() *client {
	s.T.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.T.Fatal(err)
	}
	s.T.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(epolltest.Patience))
	return &client{c.(*net.TCPConn), bufio.NewReader(c), s.T}
}

// nextExchange waits for the next request that is accepted.
func (s *testServer) nextExchange() *exchange.Exchange {
	s.T.Helper()
	select {
	case x := <-s.accepted:
		return x
	case <-time.After(epolltest.Patience):
		s.T.Fatal("no request was accepted")
		return nil
	}
}

// serve responds to an exchange with a body.
func (s *testServer) serve(x *exchange.Exchange, body string) {
	s.Do(func() { x.Respond(exchange.Response{Disposition: exchange.Served, Body: []byte(body)}) })
}

// fd returns the descriptor of the only connection.
func (s *testServer) fd() int {
	for c := range s.server.conns {
		return c.fd
	}
	return -1
}

// leastRecentlyActive returns the first of the idle connections. It may be called on the loop only.
func (s *testServer) leastRecentlyActive() *conn { return s.server.readingConns.Front().Value.(*conn) }

// lastActivity returns when the only connection received its last byte.
func (s *testServer) lastActivity() (at balance.Millis) {
	s.Do(func() { at = s.leastRecentlyActive().reader.lastActivity })
	return at
}

// waitForPartialRequest waits until the newest idle connection has received a part of a request.
func (s *testServer) waitForPartialRequest() {
	for started := false; !started; time.Sleep(time.Millisecond) {
		s.Do(func() {
			e := s.server.readingConns.Back()
			started = e != nil && e.Value.(*conn).reader.decoder.Started()
		})
	}
}

// busyWait waits on the loop, which handles nothing meanwhile, until a condition holds or epolltest.Patience has passed.
func busyWait(condition func() bool) {
	for end := time.Now().Add(epolltest.Patience); !condition() && time.Now().Before(end); {
		runtime.Gosched()
	}
}

// client is one connection of a client.
type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

// send writes bytes of requests.
func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

// response reads a response and its body.
func (c *client) response() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

// expectEOF expects the server to have closed the connection.
func (c *client) expectEOF() {
	c.t.Helper()
	if _, err := c.in.ReadByte(); err != io.EOF {
		c.t.Errorf("the connection is still open: %v", err)
	}
}

// getRequest returns a request of the class read.
func getRequest(id string) string {
	return "GET /read/a?b=c HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: read\r\nX-Remaining: 2\r\n\r\n"
}
