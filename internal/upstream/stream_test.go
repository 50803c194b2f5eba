package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
)

// waitUntilDelivered waits until the peer's kernel has received all bytes that were written to the connection.
func (c *upstreamConn) waitUntilDelivered() {
	c.t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	for unsent := 1; unsent > 0; time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if err != nil {
			c.t.Fatal(err)
		}
	}
}

// readStream reads a stream to its end and returns the number of bytes. Like a slow client, it starts to read only when
// the stream's buffer is full or all bytes of a response of a given size are buffered.
func (r *rig) readStream(stream *bodystream.Stream, size int) int {
	r.T.Helper()
	received := 0
	for deadline := time.Now().Add(epolltest.Timeout); ; time.Sleep(time.Millisecond) {
		ended := false
		r.Do(func() {
			n := len(stream.Peek())
			if received == 0 && n > 0 && stream.Available() > 0 && size > n {
				return
			}
			received += n
			stream.Consume(n)
			ended = stream.State() != bodystream.Streaming && len(stream.Peek()) == 0
		})
		if ended {
			return received
		}
		if time.Now().After(deadline) {
			r.T.Fatalf("the stream does not end after %d bytes", received)
		}
	}
}

// An upstream may send a streamed response, or a part of it, and crash while the client reads slowly. All bytes that
// the kernel has received are passed on to the client.
func TestReceivedBeforeReset(t *testing.T) {
	for _, tt := range []struct {
		name         string
		length, sent int
		want         bodystream.State
	}{
		{"whole response", 70000, 70000, bodystream.Complete},
		{"part of the response", 1 << 20, 70000, bodystream.Incomplete},
	} {
		r := newRig(t, manyDescriptors)
		u := newUpstream(t, r)
		a := r.startExchange(r.newExchange(), longTimeout)
		c := u.accept()
		c.request()
		c.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", tt.length))
		stream := <-r.streams
		c.respond(strings.Repeat("x", tt.sent))
		c.waitUntilDelivered()
		c.abort()
		received := r.readStream(stream, tt.sent)
		if received != tt.sent || stream.State() != tt.want {
			t.Errorf("%s: %d bytes of %d received, state %v", tt.name, received, tt.sent, stream.State())
		}
		r.result(a)
	}
}

// stallingExchange returns an exchange with a streamed request, and the stream of its body, which holds bodySize bytes.
// If bodySize is 0, the request has no body.
func (r *rig) stallingExchange(bodySize int) (*exchange.Exchange, *bodystream.Stream) {
	request := &http1.Request{Method: "POST", Target: "/pay/x", ID: "9", Class: "pay", RemainingSeconds: 1}
	x := exchange.New(r, request)
	stream := bodystream.New(r.pool.buffers, 16<<20)
	if bodySize > 0 {
		request.Stream = stream
		x.BodyIncomplete = true
		stream.Prepend(make([]byte, bodySize), nil)
	}
	return x, stream
}

// expireStallTimeout waits until a request or response is stalled, and then runs the timers as if the stall timeout had
// passed.
func (r *rig) expireStallTimeout(a *exchange.Attempt, isStalled func(*conn) bool) {
	for stalled := false; !stalled; time.Sleep(time.Millisecond) {
		r.Do(func() {
			c := r.pool.active[a]
			stalled = isStalled(c)
			c.lastProgress = r.Loop.Now() - stallTimeout
		})
	}
	r.AdvanceTimers(stallTimeout + 1)
}

// A streamed request that the upstream does not read and a streamed response that stops end after the stall timeout, as
// the timeout of the attempt does not apply to them. A request whose client stops sending the body continues.
func TestStalledStream(t *testing.T) {
	for _, tt := range []struct {
		name     string
		bodySize int    // bytes of the request body that the client has sent
		response string // bytes that the upstream sends
		want     balance.Outcome
	}{
		{"upstream does not read", 8 << 20, "", balance.ConnectFailed},
		{"client does not send", 100, "", balance.OK},
		{"response stops", 0, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", balance.ConnectionReset},
	} {
		r := newRig(t, manyDescriptors)
		u := newUpstream(t, r)
		x, body := r.stallingExchange(tt.bodySize)
		a := r.startExchange(x, longTimeout)
		u.accept().respond(tt.response)
		if tt.response != "" {
			stream := <-r.streams
			r.Do(func() { stream.Consume(3) })
		}
		r.expireStallTimeout(a, func(c *conn) bool {
			return tt.response != "" || len(c.request.buffered) == 0 && len(body.Peek()) < tt.bodySize
		})
		if tt.want != balance.OK {
			r.checkOutcome(a, tt.name, tt.want)
			r.checkCounter(tt.name, "upstream_streams_stalled", 1)
			continue
		}
		if len(r.ended) != 0 {
			t.Errorf("%s: the attempt ends with outcome %v", tt.name, (<-r.ended).result.Outcome)
		}
		r.Do(func() { r.pool.Cancel(a) })
	}
}

// Guards against a crash: the check for a stalled response passes unread bytes on to the client. If the client's connection
// breaks in this call, the attempt ends within the check.
func TestClientDisconnectsDuringStallCheck(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	a := r.startExchange(r.newExchange(), longTimeout)
	c := u.accept()
	c.respond("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc")
	stream := <-r.streams
	r.Do(func() { stream.Consume(3) })
	c.respond("def")
	for unread := 0; unread < 3; time.Sleep(time.Millisecond) {
		r.Do(func() { unread = len(stream.Peek()) })
	}
	r.Do(func() { stream.OnReadable(stream.Abandon) })
	r.expireStallTimeout(a, func(*conn) bool { return true })
	r.checkOutcome(a, "response stalls", balance.ConnectionReset)
	if len(r.ended) != 0 {
		t.Error("the attempt ends twice")
	}
}

// Guards against an upstream that is told more time than the client has: while the body is incomplete, the remaining time in the
// request follows from the deadline as it is known when the request is sent.
func TestRemainingTimeOfIncompleteRequest(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	r.remaining = 400
	x, _ := r.stallingExchange(100) // its client has given it 1 s
	a := r.startExchange(x, longTimeout)
	request, err := http.ReadRequest(u.accept().reader)
	if err != nil {
		t.Fatal(err)
	}
	if told := request.Header.Get("X-Remaining"); told > "0.400" {
		t.Errorf("the upstream is told %s s, want at most 0.400", told)
	}
	r.Do(func() { r.pool.Cancel(a) })
}

// Guards against a keyed request that runs twice: a part of a retry that its upstream reads slowly is not written after the
// deduplication window, so the upstream never has the whole request.
func TestRestOfRequestIsNotSentAfterItsWindow(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	x := exchange.New(r, &http1.Request{Method: "POST", Target: "/pay/x", ID: "77", IdempotencyKey: "k", Body: make([]byte, 8<<20)})
	a := r.startExchange(x, longTimeout)
	c := u.accept()
	for blocked := false; !blocked; time.Sleep(time.Millisecond) {
		r.Do(func() { blocked = a.BlockedSince != 0 })
	}
	r.Do(func() { a.SendBy = r.Loop.Now() })
	if n, err := io.Copy(io.Discard, c.reader); err == nil && n >= 8<<20 {
		t.Errorf("the upstream received %d bytes", n)
	}
	r.checkOutcome(a, "after the window", balance.ConnectFailed)
}

// The time since when the upstream has read nothing starts when the kernel's send buffer is full, and ends when it has space.
func TestBlockedSince(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	x, body := r.stallingExchange(8 << 20)
	a := r.startExchange(x, longTimeout)
	c := u.accept()
	waitUntil := func(blocked bool) {
		for reached := false; !reached; time.Sleep(time.Millisecond) {
			r.Do(func() { reached = blocked == (a.BlockedSince != 0) })
		}
	}
	waitUntil(true)
	go io.Copy(io.Discard, c.reader)
	waitUntil(false)
	r.Do(func() {
		if len(body.Peek()) > 0 {
			t.Error("the attempt is not blocked, but a part of the body is unsent")
		}
		r.pool.Cancel(a)
	})
}
