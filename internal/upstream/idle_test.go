package upstream

import (
	"testing"
	"time"

	"salttrack/balance"
	"salttrack/internal/epoll"
	"salttrack/internal/exchange"
)

// serve sends a request on a new connection and lets the upstream respond. It returns the connection, which is then
// idle.
func (r *rig) serve(u *fakeUpstream, response string) *upstreamConn {
	r.T.Helper()
	a := r.start("x")
	c := u.accept()
	c.request()
	c.respond(response)
	r.result(a)
	return c
}

func TestIdleConnectionIsClosed(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	address := u.Address()
	for _, tt := range []struct {
		name  string
		event func(*upstreamConn)
	}{
		{"closed by the upstream", func(c *upstreamConn) { c.Close() }},
		{"half-closed by the upstream", func(c *upstreamConn) { c.CloseWrite() }},
		{"unrequested response", func(c *upstreamConn) { c.respond("HTTP/1.1 408 Late\r\n\r\n") }},
		{"idle timeout", func(*upstreamConn) { r.AdvanceTimers(14000) }},
		{"restarted", func(*upstreamConn) { r.Do(func() { r.pool.SetAddress(1, address, 5) }) }},
		{"removed", func(*upstreamConn) { r.Do(func() { r.pool.Remove(1); r.pool.SetAddress(1, address, 0) }) }},
		{"descriptor needed", func(*upstreamConn) { r.Do(func() { r.pool.shedIdle() }) }},
	} {
		t.Log(tt.name)
		c := r.serve(u, emptyResponse)
		tt.event(c)
		r.WaitForCounter("upstream_connections_open", 0)
	}
	r.serve(u, emptyResponse)
	r.AdvanceTimers(13000)
	r.checkCounter("before the idle timeout", "upstream_connections_open", 1)
}

// An idle connection must not be reused if the upstream has closed it, even if the loop has not handled the close yet.
func TestIdleConnectionClosedInSameTurn(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	c := r.serve(u, emptyResponse)
	r.expireReuseDelay()
	x := r.newExchange()
	var a *exchange.Attempt
	r.Do(func() {
		c.Close()
		for epoll.IdleOpen(r.pool.endpoints[1].idle[0].fd) {
			time.Sleep(time.Millisecond)
		}
		a = r.begin(x, attemptTimeout)
	})
	second := u.accept()
	second.request()
	second.respond(emptyResponse)
	r.checkOutcome(a, "on a new connection", balance.OK)
	r.checkCounter("after the close", "upstream_connections_closed_by_peer", 1)
	r.checkCounter("after the close", "upstream_connections_reused", 0)
}

// A connection that is active while its upstream restarts leads to the old process. It is closed after its response.
func TestRestartedWhileActive(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	a := r.start("x")
	c := u.accept()
	c.request()
	r.Do(func() { r.pool.SetAddress(1, u.Address(), 7) })
	c.respond(emptyResponse)
	r.checkOutcome(a, "restarted", balance.OK)
	r.checkCounter("restarted", "upstream_connections_open", 0)
}

const (
	oldResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	newResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"
)

// Bytes after a response, such as a duplicate of it, must not be taken for the response to the next request. So a
// connection is not reused before the reuse delay has passed, and is closed if it receives such bytes.
func TestExtraResponse(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	first := r.serve(u, oldResponse)
	r.Do(func() { r.setIdleFor(-1000) }) // so that the reuse delay does not pass, even if the test is slow
	a := r.start("y")
	second := u.accept()
	second.request()
	first.respond(oldResponse)
	r.WaitForCounter("upstream_connections_closed_by_peer", 1)
	second.respond(newResponse)
	if got := r.checkOutcome(a, "second request", balance.OK); string(got.Body) != "new" {
		t.Errorf("body %q", got.Body)
	}
	c := second
	for _, extra := range []string{oldResponse, "noise", "HTTP/1.1 100 Continue\r\n\r\n"} { // sent together with the response
		r.expireReuseDelay()
		a := r.start("z")
		c.request()
		c.respond(oldResponse + extra)
		if got := r.checkOutcome(a, extra, balance.OK); string(got.Body) != "old" {
			t.Errorf("%q: body %q", extra, got.Body)
		}
		r.checkCounter(extra, "upstream_connections_open", 0)
		c = r.serve(u, oldResponse)
	}
}

// Extra bytes may be received several milliseconds after a response. The reuse delay grows to twice the longest time
// after which they were received, up to maxReuseDelay.
func TestReuseDelayGrows(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	for _, tt := range []struct{ idleFor, wantDelay float64 }{{1, 10}, {60, 120}, {1000, maxReuseDelay}} {
		c := r.serve(u, oldResponse)
		before := r.CounterValue("upstream_extra_responses")
		r.Do(func() {
			r.setIdleFor(tt.idleFor)
			c.respond(oldResponse)
		})
		r.WaitForCounter("upstream_extra_responses", before+1)
		r.Do(func() {
			if delay := r.pool.reuseDelay; delay < tt.wantDelay || delay > maxReuseDelay {
				t.Errorf("reuse delay is %v ms after extra bytes at %v ms, want at least %v ms", delay, tt.idleFor, tt.wantDelay)
			}
		})
	}
	r.serve(u, oldResponse)
	r.Do(func() { r.setIdleFor(maxReuseDelay - 100) })
	r.start("y")
	u.accept().request() // on a new connection
}
