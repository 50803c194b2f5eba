package upstream

import (
	"fmt"
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

// waitUntilDelivered waits until the other kernel side of a connection has all bytes that were written to it.
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

// readStream reads a stream to its end, like a client that begins when nothing more fits into the buffer of a response
// of some size. It returns the number of bytes.
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

// An upstream may send a long response, or a part of one, and crash while the client is slow. What the kernel has
// received is passed on.
func TestReceivedBeforeReset(t *testing.T) {
	for _, tt := range []struct {
		name         string
		length, sent int
		want         bodystream.State
	}{
		{"the whole response", 70000, 70000, bodystream.Complete},
		{"a part", 1 << 20, 70000, bodystream.Incomplete},
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

// stallingExchange returns a request whose body is a stream of which some bytes are received.
func (r *rig) stallingExchange(bodySize int) (*exchange.Exchange, *bodystream.Stream) {
	request := &http1.Request{Method: "POST", Target: "/pay/x", ID: "9", Class: "pay", RemainingSeconds: 1}
	x := exchange.New(r, request)
	stream := bodystream.New(r.pool.buffers, 16<<20)
	if bodySize > 0 {
		request.Stream = stream
		x.BodyIncomplete = true
		stream.Prepend(make([]byte, bodySize))
	}
	return x, stream
}

// passStallTimeout waits until a request or response makes no progress, and then lets the stall timeout pass.
func (r *rig) passStallTimeout(a *exchange.Attempt, isStalled func(*conn) bool) {
	for stalled := false; !stalled; time.Sleep(time.Millisecond) {
		r.Do(func() {
			c := r.pool.active[a]
			stalled = isStalled(c)
			c.lastProgress = r.Loop.Now() - stallTimeout
		})
	}
	r.AdvanceTimers(stallTimeout + 1)
}

// A long request that the upstream does not read, and a long response that stops, end: no timeout of the attempt
// applies to them. A request whose client has sent no more of the body goes on.
func TestStalledStream(t *testing.T) {
	for _, tt := range []struct {
		name     string
		bodySize int    // bytes of the request that are received
		response string // of the upstream
		want     balance.Outcome
	}{
		{"the upstream does not read", 8 << 20, "", balance.ConnectFailed},
		{"the client does not send", 100, "", balance.OK},
		{"the response stops", 0, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc", balance.ConnectionReset},
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
		r.passStallTimeout(a, func(c *conn) bool {
			return tt.response != "" || len(c.request.buffered) == 0 && len(body.Peek()) < tt.bodySize
		})
		if tt.want != balance.OK {
			r.checkOutcome(a, tt.name, tt.want)
			r.checkCounter(tt.name, "upstream_streams_stalled", 1)
			continue
		}
		if len(r.ended) != 0 {
			t.Errorf("%s: it ends as %v", tt.name, (<-r.ended).result.Outcome)
		}
		r.Do(func() { r.pool.Cancel(a) })
	}
}
