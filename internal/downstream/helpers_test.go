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

// longestDeadline is the longest deadline in milliseconds in the settings of the tests.
const longestDeadline balance.Millis = 2000

// Class numbers in the settings of the tests.
const (
	classRead uint8 = iota // class "read", idempotent
	classPay               // class "pay", not idempotent
	classKeep              // class "keep", with an idempotency key
)

// testServer is a Server that runs on its own event loop.
// It is also the server's request handler: it passes the calls of the server to the test, which responds in place of the balancer.
type testServer struct {
	*epolltest.Rig
	server       *Server
	addr         string
	exchanges    chan *exchange.Exchange // arguments of HandleRequest
	disconnected chan *exchange.Exchange // arguments of ClientDisconnected
	completed    chan *exchange.Exchange // arguments of RequestComplete
	expired      chan *exchange.Exchange // arguments of RequestExpired
	respondBy    balance.Millis          // argument of the last call of SetShutdownDeadline
}

func (s *testServer) HandleRequest(x *exchange.Exchange)      { s.exchanges <- x }
func (s *testServer) RequestComplete(x *exchange.Exchange)    { s.completed <- x }
func (s *testServer) RequestExpired(x *exchange.Exchange)     { s.expired <- x }
func (s *testServer) ClientDisconnected(x *exchange.Exchange) { s.disconnected <- x }
func (s *testServer) SetShutdownDeadline(at balance.Millis)   { s.respondBy = at }

// newTestServer starts a server with the given limits on descriptors and on overflow connections.
// If rules are given, they inject faults into the system calls.
func newTestServer(t *testing.T, descriptors, overflowLimit int, rules ...faultinject.Rule) *testServer {
	t.Helper()
	const maxExchanges = 1000 // more than any test leaves in a channel
	s := &testServer{
		Rig:          epolltest.Start(t, rules...),
		exchanges:    make(chan *exchange.Exchange, maxExchanges),
		disconnected: make(chan *exchange.Exchange, maxExchanges),
		completed:    make(chan *exchange.Exchange, maxExchanges),
		expired:      make(chan *exchange.Exchange, maxExchanges),
	}
	s.server = NewServer(Options{
		Loop:          s.Loop,
		Descriptors:   loop.NewDescriptorLimiter(descriptors),
		Buffers:       bodystream.NewBufferPool(8, nil),
		OverflowLimit: overflowLimit,
		Counters:      &s.Count,
		Synced:        func() bool { return true },
	})
	s.server.ApplySettings(&Settings{
		Classes: map[string]uint8{"read": classRead, "pay": classPay, "keep": classKeep},
		Weights: []float64{1, 1, 1, 1, 1, 1, 1, 1},
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
	s.addr = epoll.LocalAddress(s.server.listener).String()
	return s
}

// shutdown starts a shutdown whose signal arrives now.
func (s *testServer) shutdown(longest balance.Millis, done func()) (schedule shutdown.Schedule) {
	s.Do(func() {
		schedule = shutdown.New(s.Loop.Now(), longest)
		s.server.Shutdown(schedule, done)
	})
	return schedule
}

// runTimers runs the timers that are due at a time or earlier.
func (s *testServer) runTimers(at balance.Millis) { s.Do(func() { s.Loop.Timers.Run(at) }) }

// connect opens a client connection. It is closed at the end of the test.
func (s *testServer) connect() *client {
	s.T.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.T.Fatal(err)
	}
	s.T.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(epolltest.Timeout))
	return &client{c.(*net.TCPConn), bufio.NewReader(c), s.T}
}

// nextExchange waits for the exchange of the next request.
func (s *testServer) nextExchange() *exchange.Exchange {
	s.T.Helper()
	select {
	case x := <-s.exchanges:
		return x
	case <-time.After(epolltest.Timeout):
		s.T.Fatal("no exchange was started")
		return nil
	}
}

// serve sends a response with the given body for an exchange.
func (s *testServer) serve(x *exchange.Exchange, body string) {
	s.Do(func() { x.Respond(exchange.Response{Disposition: exchange.Served, Body: []byte(body)}) })
}

// onlyConn returns the only connection. It must be called on the event loop.
func (s *testServer) onlyConn() *conn {
	for c := range s.server.conns {
		return c
	}
	return nil
}

// fd returns the descriptor of the only connection.
func (s *testServer) fd() int {
	if c := s.onlyConn(); c != nil {
		return c.fd
	}
	return -1
}

// leastRecentlyActive returns the first connection in readingConns. It must be called on the event loop.
func (s *testServer) leastRecentlyActive() *conn { return s.server.readingConns.Front().Value.(*conn) }

// lastActivity returns the time in milliseconds at which the least recently active connection was last active.
func (s *testServer) lastActivity() (at balance.Millis) {
	s.Do(func() { at = s.leastRecentlyActive().reader.lastActivity })
	return at
}

// waitForPartialRequest waits until the most recently active connection has received part of a request.
func (s *testServer) waitForPartialRequest() {
	for started := false; !started; time.Sleep(time.Millisecond) {
		s.Do(func() {
			e := s.server.readingConns.Back()
			started = e != nil && e.Value.(*conn).reader.decoder.Started()
		})
	}
}

// busyWait waits until a condition holds or epolltest.Timeout has passed.
// It is called on the event loop, which handles no events meanwhile.
func busyWait(condition func() bool) {
	for end := time.Now().Add(epolltest.Timeout); !condition() && time.Now().Before(end); {
		runtime.Gosched()
	}
}

// client is the client's end of a connection.
type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

// send sends the bytes of s.
func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

// response reads the next response and its body.
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

// expectEOF checks that the server has closed the connection.
func (c *client) expectEOF() {
	c.t.Helper()
	if _, err := c.in.ReadByte(); err != io.EOF {
		c.t.Errorf("read returned %v, want EOF", err)
	}
}

// getRequest returns a request of the class "read" with the given request id.
func getRequest(id string) string {
	return "GET /read/a?b=c HTTP/1.1\r\nHost: x\r\nX-Txn: " + id + "\r\nX-Lane: read\r\nX-Remaining: 2\r\n\r\n"
}
