package downstream

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// A request has to be decoded in the same way for all sizes of the fragments in which its bytes arrive.
func TestRequestInFragments(t *testing.T) {
	s := newTestServer(t, 64, 4)
	body := strings.Repeat("0123456789abcdef", 4096) // the largest body that is buffered
	request := fmt.Sprintf("POST /keep/x HTTP/1.1\r\nX-Txn: 1\r\nx-lane: keep\r\nX-Remaining: 0.480\r\nIdempotency-Key: k1\r\n"+
		"X-Resent: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, size := range []int{1 << 20, 7, 1000} {
		c := s.connect()
		for p := request; len(p) > 0; {
			n := min(size, len(p))
			if size == 7 && len(p) < len(body) { // sends most of the body at once, to save time
				n = len(p)
			}
			c.send(p[:n])
			p = p[n:]
		}
		x := s.nextExchange()
		if m := x.Message.(*http1.Request); x.Class != 2 || !m.Retried {
			t.Errorf("class %d, retried %v, want class 2 and a retried request", x.Class, m.Retried)
		}
		s.Do(func() {
			if remaining := x.RespondBy - s.Loop.Now(); remaining > 470 {
				t.Errorf("%.0f ms remain, want at most 480 ms minus a margin of 10 ms", remaining)
			}
		})
		s.serve(x, body)
		if resp, got := c.response(); resp.StatusCode != 200 || got != body {
			t.Errorf("status %d with a body of %d bytes, want 200 with the %d bytes of the request", resp.StatusCode, len(got), len(body))
		}
	}
}

// The deadline of a request has to count from the arrival of its last byte.
func TestDeadlineStartsAtLastByte(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1")[:40])
	s.WaitForCounter("client_connections_open", 1)
	for before := 0.0; before == 0; {
		s.Do(func() {
			if c := s.server.readingConns.Front().Value.(*conn); c.reader.decoder.Started() {
				before = c.reader.receivedAt
			}
		})
	}
	var after float64
	s.Do(func() { after = s.Loop.Now() })
	s.Do(func() {}) // starts another turn of the loop, so that bytes read from now on count as arrived after this time
	c.send(getRequest("1")[40:])
	if x := s.nextExchange(); x.ClientDeadline < after+2000 {
		t.Errorf("the deadline is %.3f ms too early for a remaining time of 2 s after the last byte", after+2000-x.ClientDeadline)
	}
}

// Pipelined requests on one connection have to be handled in sequence.
func TestPipelinedRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2") + "GET /-/ready HTTP/1.1\r\n\r\n" + getRequest("3")[:20])
	x := s.nextExchange()
	select {
	case <-s.exchanges:
		t.Fatal("the second request was dispatched before the response to the first one")
	default:
	}
	s.serve(x, "one")
	s.serve(s.nextExchange(), "two")
	c.send(getRequest("3")[20:])
	s.serve(s.nextExchange(), "three")
	for _, want := range []string{"one", "two", "", "three"} {
		if _, got := c.response(); got != want {
			t.Errorf("response %q, want %q", got, want)
		}
	}
}

// A client that waits for 100 Continue has to receive it.
func TestExpectContinue(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, err := c.in.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Fatalf("error %v, status line %q, want status 100", err, line)
	}
	c.in.ReadString('\n')
	c.send("ab")
	s.serve(s.nextExchange(), "done")
	if _, got := c.response(); got != "done" {
		t.Errorf("response %q, want %q", got, "done")
	}
}

// The timeout of the first request on a connection has to count from the accept, and no byte of the head may extend it.
// The request body has an interval of its own, bodyProgressInterval.
func TestRequestTimeout(t *testing.T) {
	for _, tt := range []struct {
		name      string
		fragments []string
		status    int // 0 if the connection is closed without a response
	}{
		{"nothing sent", nil, 0},
		{"partial head", []string{getRequest("1")[:40]}, 408},
		{"head in small fragments", []string{getRequest("1")[:10], getRequest("1")[10:20], getRequest("1")[20:40]}, 408},
		{"partial body", []string{"POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nContent-Length: 9\r\n\r\nab"}, 408},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		s.WaitForCounter("client_connections_accepted", 1)
		var before, after float64
		s.Do(func() { before, _ = s.Loop.Timers.Next() })
		for _, p := range tt.fragments {
			previous := s.lastActivity()
			c.send(p)
			for s.lastActivity() == previous {
				time.Sleep(time.Millisecond)
			}
		}
		s.Do(func() { after, _ = s.Loop.Timers.Next() })
		if extended := after - before; extended != 0 && (tt.name != "partial body" || extended > bodyProgressInterval) {
			t.Errorf("%s: the received bytes extended the timeout by %.1f ms", tt.name, extended)
		}
		s.AdvanceTimers(requestTimeout + 1)
		if tt.status > 0 {
			if resp, _ := c.response(); resp.StatusCode != tt.status {
				t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.status)
			}
		}
		c.expectEOF()
		idleClosed := s.CounterValue("client_connections_idle_closed")
		timedOut := s.CounterValue("client_requests_timed_out")
		if idleClosed+timedOut != 1 || (timedOut == 1) != (tt.status > 0) {
			t.Errorf("%s: %d idle connections closed and %d requests timed out, want one of them in total", tt.name, idleClosed, timedOut)
		}
	}
}

// The depth of the call stack must not grow with the number of pipelined requests.
func TestPipelinedRequestsDoNotRecurse(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	const many = 400
	depth := make(chan int, 1)
	s.Do(func() { s.server.SetRequestHandler(depthRecorder{s, depth}) })
	c.send(strings.Repeat(strings.ReplaceAll(getRequest("1"), "read", "none"), many) + getRequest("2"))
	for range many {
		if resp, _ := c.response(); resp.StatusCode != 400 {
			t.Fatalf("status %d, want 400", resp.StatusCode)
		}
	}
	s.serve(s.nextExchange(), "ok")
	if _, got := c.response(); got != "ok" {
		t.Errorf("response %q, want %q", got, "ok")
	}
	if n := <-depth; n > 40 {
		t.Errorf("the call stack was %d frames deep at the last request, want at most 40", n)
	}
}

// In one turn of the event loop, at most the pipelined requests of one read may be handled.
func TestPipelinedRequestsYield(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1"))
	x := s.nextExchange()
	invalid := strings.ReplaceAll(getRequest("1"), "read", "none")
	const reads = 4
	requests := reads * readBufferBytes / len(invalid)
	c.send(strings.Repeat(invalid, requests))
	for ahead := 0; ahead < requests*len(invalid); time.Sleep(time.Millisecond) { // until all bytes are read ahead
		s.Do(func() { ahead = len(s.onlyConn().reader.unread.bytes) })
	}
	var before, after uint64
	s.Do(func() {
		before, _ = s.Count.Value("requests_malformed")
		x.Respond(exchange.Response{Disposition: exchange.Served})
		after, _ = s.Count.Value("requests_malformed")
	})
	if n := int(after - before); n == 0 || n > readBufferBytes/len(invalid)+1 {
		t.Errorf("%d requests were handled in one turn, want 1 to %d", n, readBufferBytes/len(invalid)+1)
	}
	s.WaitForCounter("requests_malformed", uint64(requests))
}

// depthRecorder is a request handler that records the depth of the call stack when it is called.
type depthRecorder struct {
	*testServer
	depth chan int // depth of the call stack in frames
}

func (d depthRecorder) HandleRequest(x *exchange.Exchange) {
	d.depth <- runtime.Callers(0, make([]uintptr, 4096))
	d.testServer.HandleRequest(x)
}

// Guards against late responses to other clients while one client sends small or unsound requests at full speed: few of them are
// answered in one turn of the loop.
func TestFewRequestsOfFloodInOneTurn(t *testing.T) {
	const flood, maxInTurn = 900, 100 // the responses fit into the buffers of the kernel
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("GET /-/nope HTTP/1.1\r\n\r\n")
	c.response()
	s.Do(func() {
		conn := s.onlyConn()
		c.send(strings.Repeat("GET /-/nope HTTP/1.1\r\n\r\n", flood))
		busyWait(func() bool { return !s.Loop.IdleOpen(conn.fd) })
		before := conn.reader.requestCount
		conn.Ready(loop.Readable)
		if n := conn.reader.requestCount - before; n == 0 || n > maxInTurn {
			t.Errorf("%d requests in one turn, want some and at most %d", n, maxInTurn)
		}
	})
	for range flood {
		c.response()
	}
}

// Guards against late responses to other clients while hundreds of clients send requests at full speed: in one turn of the loop, few
// requests are answered for all of them together.
func TestFewRequestsOfAllFloodsInOneTurn(t *testing.T) {
	const clients, flood = 20, 60
	s := newTestServer(t, 64, 4)
	var all []*client
	for range clients {
		c := s.connect()
		c.send("GET /-/nope HTTP/1.1\r\n\r\n")
		c.response()
		all = append(all, c)
	}
	s.Do(func() {
		for _, c := range all {
			c.send(strings.Repeat("GET /-/nope HTTP/1.1\r\n\r\n", flood))
		}
		requests := 0
		for conn := range s.server.conns {
			busyWait(func() bool { return !s.Loop.IdleOpen(conn.fd) })
			before := conn.reader.requestCount
			conn.Ready(loop.Readable)
			requests += conn.reader.requestCount - before
		}
		if most := maxRequestsPerTurn + clients; requests == 0 || requests > most { // each read may complete one request
			t.Errorf("%d requests in one turn, want some and at most %d", requests, most)
		}
	})
	for _, c := range all {
		for range flood {
			c.response()
		}
	}
}
