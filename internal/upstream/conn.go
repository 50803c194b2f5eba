package upstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// connState is the state of a connection.
type connState uint8

// A connection is connecting, then alternates between active and idle until it is closed.
const (
	stateConnecting connState = iota // for an attempt of which nothing is sent
	stateActive                      // has an attempt
	stateDetached                    // its attempt has ended, and it becomes idle or closed at once
	stateIdle                        // may be used by the next attempt
	stateClosed
)

// conn is one connection to an upstream. It owns its descriptor and its timer.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	process  process // that the connection leads to
	fd       int
	state    connState
	timer    *timer.Timer // connect, stall or idle timeout by the state, nil if there is none

	// of stateConnecting and stateActive
	attempt *exchange.Attempt
	request requestWriter

	// of stateActive
	decoder      *http1.ResponseDecoder
	stream       *bodystream.Stream // of a long response, nil if there is none
	lastProgress balance.Millis     // of a long request or response, or when the other side was last waited for
	reusable     bool               // the response is complete and nothing was received behind it

	idle idleState
}

// begin gives an attempt to a connection that is connecting or was idle.
func (c *conn) begin(a *exchange.Attempt) {
	free := c.attempt == nil && c.request.sent() && !c.decoder.Started()
	invariant.Check(free, "a connection has one attempt at a time")
	c.attempt = a
	c.reusable = false
	c.pool.active[a] = c
	if req := message(a); req.Stream != nil {
		c.request.body = http1.NewBodyEncoder(req.Stream, req.Stream.Length < 0)
		req.Stream.OnReadable(c.send)
	}
	if c.state != stateConnecting {
		c.state = stateActive
		c.sendHead()
	}
}

// message returns the request of an attempt.
func message(a *exchange.Attempt) *http1.Request { return a.Exchange.Message.(*http1.Request) }

// Ready handles readiness of the descriptor.
func (c *conn) Ready(events uint32) {
	if c.state == stateConnecting {
		c.finishConnect(events)
	}
	switch c.state {
	case stateIdle:
		c.readWhileIdle()
	case stateActive:
		c.transfer(events)
	}
}

// transfer sends and receives what is possible.
func (c *conn) transfer(events uint32) {
	if events&loop.Writable != 0 && !c.request.sent() {
		c.send()
	}
	if events&loop.Failed != 0 && c.stream != nil && c.stream.Available() == 0 {
		// What was received before the error is read when the client has taken more of the stream.
		c.pool.loop.Pause(c.fd)
		return
	}
	if c.state == stateActive && events&^loop.Writable != 0 {
		c.receive()
	}
}

// leadsToCurrentProcess reports whether the upstream still is the process that the connection leads to.
func (c *conn) leadsToCurrentProcess() bool {
	return !c.endpoint.removed && c.endpoint.process == c.process
}

// brokenOutcome returns the outcome of an attempt whose connection breaks now. An upstream that did not get the whole
// request has not run it.
func (c *conn) brokenOutcome() balance.Outcome {
	if c.attempt.RequestComplete {
		return balance.ConnectionReset
	}
	return balance.ConnectFailed
}

// detach separates the connection from its attempt. It has to become idle or closed right after.
func (c *conn) detach() {
	if body := message(c.attempt).Stream; body != nil {
		body.OnReadable(nil)
	}
	delete(c.pool.active, c.attempt)
	c.attempt = nil
	c.request = requestWriter{}
	c.state = stateDetached
	c.stopTimer()
	if stream := c.stream; stream != nil {
		c.stream = nil
		stream.Truncate() // has no effect on a complete one
	}
}

// end closes the connection and ends its attempt.
func (c *conn) end(outcome balance.Outcome) {
	a := c.attempt
	c.detach()
	c.close(reasonAttemptEnded)
	c.pool.listener.AttemptEnded(a, exchange.Result{Outcome: outcome})
}

// close closes a connection that has no attempt.
func (c *conn) close(reason trace.Reason) {
	if c.state == stateClosed {
		return
	}
	p := c.pool
	c.state = stateClosed
	if p.trace.Enabled() {
		p.trace.Write(trace.ConnectionClosed, trace.Event{Connection: c.fd, Upstream: c.endpoint.id, Reason: reason})
	}
	c.leaveIdle()
	c.stopTimer()
	p.loop.Close(c.fd)
	p.quota.Release()
	invariant.Check(p.quota.InUse() >= len(p.active)+p.idle.Len(), "each connection has a descriptor of the quota")
}

func (c *conn) stopTimer() {
	c.pool.loop.Timers.Stop(c.timer)
	c.timer = nil
}
