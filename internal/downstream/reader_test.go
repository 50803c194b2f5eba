package downstream

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/internal/exchange"
	"salttrack/internal/http1"
)

// A request is the same however its bytes are split.
func TestRequestInPieces(t *testing.T) {
	s := newTestServer(t, 64, 4)
	body := strings.Repeat("0123456789abcdef", 4096) // the largest short body
	request := fmt.Sprintf("POST /keep/x HTTP/1.1\r\nX-Txn: 1\r\nx-lane: keep\r\nX-Remaining: 0.480\r\nIdempotency-Key: k1\r\n"+
		"X-Resent: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, piece := range []int{1 << 20, 7, 1000} {
		c := s.connect()
		for p := request; len(p) > 0; {
			n := min(piece, len(p))
			if piece == 7 && len(p) < len(body) {
				n = len(p)
			}
			c.send(p[:n])
			p = p[n:]
		}
		x := s.nextExchange()
		if m := x.Message.(*http1.Request); x.Class != 2 || !m.Retried {
			t.Errorf("class %d, retried %v", x.Class, m.Retried)
		}
		s.Do(func() {
			if remaining := x.RespondBy - s.Loop.Now(); remaining > 470 {
				t.Errorf("%.0f ms remain of 480, with a margin of 10", remaining)
			}
		})
		s.serve(x, body)
		if resp, got := c.response(); resp.StatusCode != 200 || got != body {
			t.Errorf("status %d, %d bytes", resp.StatusCode, len(got))
		}
	}
}

// A request's deadline counts from the arrival of its last byte.
func TestDeadlineStartsAtLastByte(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1")[:40])
	s.WaitFor("client_connections_open", 1)
	for before := 0.0; before == 0; {
		s.Do(func() {
			if c := s.server.readingConns.Front().Value.(*conn); c.reader.decoder.Started() {
				before = c.reader.receivedAt
			}
		})
	}
	var after float64
	s.Do(func() { after = s.Loop.Now() })
	s.Do(func() {}) // what is read from now on arrived later
	c.send(getRequest("1")[40:])
	if x := s.nextExchange(); x.ClientDeadline < after+2000 {
		t.Errorf("%.3f ms of 2 s had passed at the last byte", after+2000-x.ClientDeadline)
	}
}

// Requests on one connection are handled one after the other.
func TestPipelined(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1") + getRequest("2") + "GET /-/ready HTTP/1.1\r\n\r\n" + getRequest("3")[:20])
	x := s.nextExchange()
	select {
	case <-s.accepted:
		t.Fatal("a second request was accepted before the first had its response")
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

// A client that waits for 100 Continue gets it.
func TestContinue(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, err := c.in.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Fatalf("%q %v", line, err)
	}
	c.in.ReadString('\n')
	c.send("ab")
	s.serve(s.nextExchange(), "done")
	if _, got := c.response(); got != "done" {
		t.Errorf("response %q", got)
	}
}

// The timeout of the first request counts from the accept, and no byte of its head extends it. A body has an interval of its own.
func TestRequestTimeout(t *testing.T) {
	for _, tt := range []struct {
		name   string
		pieces []string
		status int // 0 for a close
	}{
		{"nothing sent", nil, 0},
		{"partial head", []string{getRequest("1")[:40]}, 408},
		{"head in small pieces", []string{getRequest("1")[:10], getRequest("1")[10:20], getRequest("1")[20:40]}, 408},
		{"partial body", []string{"POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nContent-Length: 9\r\n\r\nab"}, 408},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		s.WaitFor("client_connections_accepted", 1)
		var before, after float64
		s.Do(func() { before, _ = s.Loop.Timers.Next() })
		for _, p := range tt.pieces {
			previous := s.lastActivity()
			c.send(p)
			for s.lastActivity() == previous {
				time.Sleep(time.Millisecond)
			}
		}
		s.Do(func() { after, _ = s.Loop.Timers.Next() })
		if extended := after - before; extended != 0 && (tt.name != "partial body" || extended > bodyProgressInterval) {
			t.Errorf("%s: the timeout was extended by %.1f ms", tt.name, extended)
		}
		s.Pass(requestTimeout + 1)
		if tt.status > 0 {
			if resp, _ := c.response(); resp.StatusCode != tt.status {
				t.Errorf("%s: status %d", tt.name, resp.StatusCode)
			}
		}
		c.expectEOF()
		idleClosed := s.Counted("client_connections_idle_closed")
		timedOut := s.Counted("client_requests_timed_out")
		if idleClosed+timedOut != 1 || (timedOut == 1) != (tt.status > 0) {
			t.Errorf("%s: %d idle connections closed, %d requests timed out", tt.name, idleClosed, timedOut)
		}
	}
}

// The depth of calls does not grow with the number of requests that a client sends at once.
func TestPipelinedRequestsDoNotRecurse(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	const many = 400
	depth := make(chan int, 1)
	s.Do(func() { s.server.SetRequestHandler(depthRecorder{s, depth}) })
	c.send(strings.Repeat(strings.ReplaceAll(getRequest("1"), "read", "none"), many) + getRequest("2"))
	for range many {
		if resp, _ := c.response(); resp.StatusCode != 400 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	s.serve(s.nextExchange(), "ok")
	if _, got := c.response(); got != "ok" {
		t.Errorf("response %q", got)
	}
	if n := <-depth; n > 40 {
		t.Errorf("the last one is accepted %d calls deep", n)
	}
}

// In one turn of the loop no more than one read of pipelined requests is handled.
func TestPipelinedRequestsYield(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send(getRequest("1"))
	x := s.nextExchange()
	invalid := strings.ReplaceAll(getRequest("1"), "read", "none")
	c.send(strings.Repeat(invalid, 4*readBufferBytes/len(invalid)))
	var before, after uint64
	s.Do(func() {
		x.Respond(exchange.Response{Disposition: exchange.Served})
		for c := range s.server.conns { // one turn, after all bytes have arrived
			for n := 0; n < 2*readBufferBytes; {
				n, _ = unix.IoctlGetInt(c.fd, unix.TIOCINQ)
			}
			before, _ = s.Count.Value("requests_malformed")
			c.reader.read()
			after, _ = s.Count.Value("requests_malformed")
		}
	})
	if n := int(after - before); n == 0 || n > readBufferBytes/len(invalid)+1 {
		t.Errorf("%d requests were handled in one turn, want those of one read at most", n)
	}
}

// depthRecorder records how deep in calls a request is accepted.
type depthRecorder struct {
	*testServer
	depth chan int
}

func (d depthRecorder) HandleRequest(x *exchange.Exchange) {
	d.depth <- runtime.Callers(0, make([]uintptr, 4096))
	d.testServer.HandleRequest(x)
}
