package downstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"salttrack/internal/bodystream"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// longRequestHead is the head of a request of the class "pay" whose body is streamed. Its placeholders are the request id and a framing field.
const longRequestHead = "POST /pay/x HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: pay\r\nX-Remaining: 60\r\n%s\r\n\r\n"

// longBodyPart is the number of bytes of a body that sendUntilPaused sends. The server and its kernel hold all of them.
const longBodyPart = 100 << 10

// sendUntilPaused sends the first part of a long request, and waits until the server has paused reading, as nothing reads the body.
func (s *testServer) sendUntilPaused(c *client, framing, begin string) *exchange.Exchange {
	s.T.Helper()
	c.send(fmt.Sprintf(longRequestHead, "1", framing) + begin + strings.Repeat("x", longBodyPart))
	x := s.nextExchange()
	for paused := false; !paused; time.Sleep(time.Millisecond) {
		s.Do(func() { paused = s.onlyConn().reader.body.paused })
	}
	return x
}

// Guards against a timer that is started on a closed connection: it would write a 408 to a descriptor that belongs to another
// connection by then. The check whether a body makes progress writes to the upstream. If this write fails, the exchange ends,
// and the connection of a client that has gone is closed, all within the check.
func TestConnectionClosedByProgressCheck(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	x := s.sendUntilPaused(c, "Content-Length: 1000000", "")
	s.Do(func() { // the loop handles no events while this function runs
		x.Message.(*http1.Request).Stream.OnReadable(func() { x.Respond(exchange.Response{Disposition: exchange.Rejected}) })
		c.Close()
		busyWait(func() bool { return s.Loop.PeerClosed(s.fd()) })
		s.Loop.Timers.Run(s.Loop.Now() + bodyProgressInterval + 1)
	})
	s.WaitForCounter("client_connections_open", 0)
	for intervals := range 4 {
		s.runTimers(s.Loop.Now() + float64(intervals+2)*bodyProgressInterval)
	}
	if got := s.CounterValue("responses_408"); got != 0 || s.CounterValue("responses_503") != 1 {
		t.Errorf("%d responses with status 408 and %d with 503, want 0 and 1", got, s.CounterValue("responses_503"))
	}
}

// Guards against two responses to a long request whose body is rejected: the end of the body is reported to the upstream, whose
// attempt may fail in this call, and a failed attempt of an exchange in progress causes a response.
func TestOneResponseToRejectedBody(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	x := s.sendUntilPaused(c, "Transfer-Encoding: chunked", "19000\r\n") // longBodyPart in hexadecimal
	s.Do(func() {
		stream := x.Message.(*http1.Request).Stream
		for len(stream.Peek()) > 0 { // makes space for the malformed chunk
			stream.Consume(len(stream.Peek()))
		}
		stream.OnReadable(func() {
			stream.Consume(len(stream.Peek()))
			if stream.State() != bodystream.Streaming && len(s.disconnected) == 0 {
				x.Respond(exchange.Response{Disposition: exchange.Failed})
			}
		})
	})
	c.send("zz\r\n")
	response, _ := c.response()
	if rest, err := io.ReadAll(c.in); response.StatusCode != http.StatusBadRequest || len(rest) > 0 || err != nil {
		t.Errorf("status %d and %d more bytes (%v), want 400 and none", response.StatusCode, len(rest), err)
	}
	if got := <-s.disconnected; got != x {
		t.Error("the end of a different exchange was reported")
	}
}

// longRequestRemaining is the time in milliseconds that longRequestHead gives.
const longRequestRemaining = 60000

// elapse runs the deadline check as if the time of the request had passed since the oldest unread byte arrived.
// It must be called on the event loop.
func (s *testServer) elapse(c *conn) {
	s.Loop.MarkUnreadSince(c.fd, s.Loop.EarliestArrivalAt(c.fd)-longRequestRemaining)
	c.requestStream.checkDeadline()
}

// Guards against a long request without a response: while its bytes wait unread, the last one may be among them, so the client's
// time has to run.
func TestDeadlineOfUnreadBody(t *testing.T) {
	s := newTestServer(t, 64, 4)
	x := s.sendUntilPaused(s.connect(), "Content-Length: 1000000", "")
	s.Do(func() {
		s.onlyConn().requestStream.checkDeadline()
		if told := x.Deadline() - s.Loop.Now(); len(s.expired) != 0 || told > longRequestRemaining {
			t.Errorf("%d requests expired before their time, and %.0f ms of %d remain", len(s.expired), told, longRequestRemaining)
		}
		s.elapse(s.onlyConn())
		if len(s.expired) != 1 || <-s.expired != x || s.Loop.Now() < x.RespondBy || x.RespondBy > x.ClientDeadline {
			t.Errorf("the request has not expired: now %.0f, respond by %.0f, client waits until %.0f", s.Loop.Now(), x.RespondBy, x.ClientDeadline)
		}
	})
	if got := s.CounterValue("client_requests_expired"); got != 1 {
		t.Errorf("%d expired requests are counted, want 1", got)
	}
}

// The time of a client that is still sending must not run, whether the server reads or waits for buffer space.
// If it waits, the time runs from the next byte on.
func TestNoDeadlineWhileClientSends(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	x := s.sendUntilPaused(c, "Content-Length: 1000000", "")
	stream := x.Message.(*http1.Request).Stream
	for received := 0; received < longBodyPart; time.Sleep(time.Millisecond) { // takes all that was sent, so that no byte is unread
		s.Do(func() {
			for p := stream.Peek(); len(p) > 0; p = stream.Peek() {
				received += len(p)
				stream.Consume(len(p))
			}
		})
	}
	expectNotExpired := func(state string, check func(*conn)) {
		s.Do(func() {
			if check(s.onlyConn()); len(s.expired) > 0 {
				t.Errorf("%s: the request of a client that is still sending has expired", state)
			}
		})
	}
	expectNotExpired("reading", func(c *conn) { c.requestStream.checkDeadline() })
	c.send(strings.Repeat("x", bodystream.BufferSize)) // fills the buffer
	for waiting := false; !waiting; time.Sleep(time.Millisecond) {
		s.Do(func() { waiting = s.onlyConn().requestStream.waiting })
	}
	expectNotExpired("waiting", s.elapse)
	c.send("x")
	expectNotExpired("one byte unread", func(c *conn) {
		busyWait(func() bool { return !s.Loop.IdleOpen(c.fd) })
		c.requestStream.checkDeadline()
	})
	s.Do(func() {
		if s.elapse(s.onlyConn()); len(s.expired) != 1 {
			t.Error("the request of a client that may have sent its last byte has not expired")
		}
	})
}

// Guards against a long request that is sent on after its client has gone: the close has to be noticed although unread bytes
// precede it, by the next event and, if that has not been handled yet, before an attempt or the last bytes are sent.
func TestDisconnectBehindUnreadBody(t *testing.T) {
	for name, unhandled := range map[string]func(*testServer, *exchange.Exchange){
		"event":        func(*testServer, *exchange.Exchange) {},
		"next attempt": func(_ *testServer, x *exchange.Exchange) { x.Sendable() },
		"last byte": func(s *testServer, x *exchange.Exchange) {
			stream := x.Message.(*http1.Request).Stream
			for c := s.onlyConn(); c != nil && c.requestStream.active(); {
				stream.Consume(len(stream.Peek()))
				c.Ready(loop.Readable)
			}
		},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		x := s.sendUntilPaused(c, fmt.Sprint("Content-Length: ", longBodyPart), "")
		s.Do(func() { // the loop handles no events while this function runs
			c.Close()
			busyWait(func() bool { return s.Loop.PeerClosed(s.fd()) })
			unhandled(s, x)
		})
		select {
		case got := <-s.disconnected:
			if got != x || len(s.completed) > 0 {
				t.Errorf("%s: another exchange has ended, or %d requests look complete", name, len(s.completed))
			}
		case <-time.After(epolltest.Timeout):
			t.Errorf("%s: the close is not noticed", name)
		}
	}
}
