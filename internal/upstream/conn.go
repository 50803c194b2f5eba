package upstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// connState is the state of a connection.
type connState uint8

// States of a connection. It starts as connecting, then alternates between active and idle until it is closed.
const (
	stateConnecting connState = iota // not established yet; it has an attempt, of which nothing is sent
	stateActive                      // established; it has an attempt
	stateDetached                    // its attempt has ended; it becomes idle or closed right after
	stateIdle                        // established; it has no attempt and may be reused
	stateClosed
)

// conn is one connection to an upstream. It owns its descriptor and its timer.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	process  process // the process of the upstream that the connection was opened to
	fd       int
	state    connState
	timer    *timer.Timer // connect, stall or idle timeout, depending on the state; nil if there is none

	// The following two fields are set in stateConnecting and stateActive.
	attempt *exchange.Attempt
	request requestWriter

	// The following four fields are used in stateActive.
	decoder      *http1.ResponseDecoder
	stream       *bodystream.Stream // body of a streamed response, nil if the response is not streamed
	lastProgress balance.Millis     // when bytes of a response or a streamed body were last transferred, or the client was waited for
	reusable     bool               // the response is complete and no bytes were received after it

	idle idleState
}

// begin assigns an attempt to a connection that is connecting or was idle. If the connection is established, it starts
// to send the request.
func (c *conn) begin(a *exchange.Attempt) {
	free := c.attempt == nil && c.request.sent() && !c.decoder.Started()
	invariant.Check(free, "a connection has one attempt at a time")
	c.attempt = a
	c.reusable = false
	c.pool.active[a] = c
	req := requestOf(a)
	c.reserveBuffer(req)
	if req.Stream != nil {
		c.request.body = http1.NewBodyEncoder(req.Stream, req.Stream.Length < 0)
		c.request.stream = req.Stream
		req.Stream.OnReadable(c.send)
	}
	if c.state != stateConnecting {
		c.state = stateActive
		c.sendHeader()
	}
}

// requestOf returns the HTTP request of an attempt.
func requestOf(a *exchange.Attempt) *http1.Request { return a.Exchange.Message.(*http1.Request) }

// Ready implements loop.Handler.
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

// transfer sends and receives as many bytes as possible without blocking.
func (c *conn) transfer(events uint32) {
	if events&loop.Writable != 0 && !c.request.sent() {
		c.send()
	}
	if events&loop.Failed != 0 && c.stream != nil && c.stream.Available() == 0 {
		// Bytes that were received before the error are read once the stream's buffer has space again.
		c.pool.loop.Pause(c.fd)
		return
	}
	if c.state == stateActive && events&^loop.Writable != 0 {
		c.receive()
	}
}

// leadsToCurrentProcess reports whether the upstream is listed, and still has the address and the process that the
// connection was opened to.
func (c *conn) leadsToCurrentProcess() bool {
	return !c.endpoint.removed && c.endpoint.process == c.process
}

// brokenOutcome returns the outcome of an attempt whose connection breaks now. An upstream that has not received the
// whole request has not run it.
func (c *conn) brokenOutcome() balance.Outcome {
	if c.attempt.RequestComplete {
		return balance.ConnectionReset
	}
	return balance.ConnectFailed
}

// detach separates the connection from its attempt. The caller has to make the connection idle or close it right after.
func (c *conn) detach() {
	if body := requestOf(c.attempt).Stream; body != nil {
		body.OnReadable(nil)
	}
	delete(c.pool.active, c.attempt)
	c.attempt = nil
	c.setBuffered(nil)
	c.request = requestWriter{}
	c.state = stateDetached
	c.stopTimer()
	if stream := c.stream; stream != nil {
		c.stream = nil
		stream.Truncate() // has no effect on a complete stream
	}
}

// end closes the connection and ends its attempt with an outcome.
func (c *conn) end(outcome balance.Outcome) {
	a := c.attempt
	c.detach()
	c.close(reasonAttemptEnded)
	c.pool.listener.AttemptEnded(a, exchange.Result{Outcome: outcome})
}

// close closes a connection that has no attempt, and releases its descriptor.
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
	c.decoder.Release()
	p.memory.Add(memory.Connections, -connectionBytes)
	p.loop.Close(c.fd)
	p.quota.Release()
	invariant.Check(p.quota.InUse() >= len(p.active)+p.idle.Len(), "each connection has a descriptor of the quota")
}

func (c *conn) stopTimer() {
	c.pool.loop.Timers.Stop(c.timer)
	c.timer = nil
}
