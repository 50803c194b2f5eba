package upstream

import (
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// requestWriter has what is still to be sent of a request.
type requestWriter struct {
	buffered []byte             // the head, and the body if it was complete when the attempt began
	body     *http1.BodyEncoder // a body that is received while it is sent, nil once all of it is sent
}

// next returns the bytes to send now, none if the rest of the body has not been received.
func (w *requestWriter) next() []byte {
	if len(w.buffered) > 0 || w.body == nil {
		return w.buffered
	}
	return w.body.Next()
}

// sent reports whether the whole request is sent.
func (w *requestWriter) sent() bool { return len(w.buffered) == 0 && w.body == nil }

// sendHead begins to send on an established connection. The request says how much time remains now, as connecting may
// have taken some.
func (c *conn) sendHead() {
	req := message(c.attempt)
	remaining := c.attempt.TimeoutAt - c.pool.loop.Now()
	if c.attempt.Exchange.BodyIncomplete {
		const millisPerSecond = 1000
		remaining = req.RemainingSeconds * millisPerSecond
	}
	c.request.buffered = http1.AppendRequest(nil, req, c.endpoint.host, remaining)
	if c.request.body != nil { // the timeout of the attempt begins only when its body is complete
		c.lastProgress = c.pool.loop.Now()
		c.timer = c.pool.loop.After(stallTimeout, c.checkStall)
	}
	c.send()
}

// send writes what the kernel takes of the request. It is also called when more of the body is received.
func (c *conn) send() {
	if c.state == stateConnecting {
		return
	}
	for p := c.request.next(); len(p) > 0; p = c.request.next() {
		n, err := c.pool.loop.Write(c.fd, p)
		if n > 0 {
			c.advance(n)
		}
		if err != nil {
			c.handleSendError()
			return
		}
		if n < len(p) {
			c.pool.loop.Watch(c.fd, loop.Readable|loop.Writable|loop.HangUp)
			return
		}
	}
	c.request.buffered = nil
	if c.request.body != nil && c.request.body.Done() {
		c.request.body = nil
	}
	if c.request.body == nil {
		c.attempt.RequestComplete = true
	}
	c.pool.loop.Watch(c.fd, loop.Readable|loop.HangUp)
}

// handleSendError ends the attempt. A response that the upstream sent before it closed the connection counts more than
// that the request was not sent as a whole.
func (c *conn) handleSendError() {
	c.receive()
	if c.state == stateActive {
		c.end(c.brokenOutcome())
	}
}

// advance records that bytes of the request were sent. After the first of a body that is received while it is sent,
// the request can't be sent again.
func (c *conn) advance(n int) {
	c.lastProgress = c.pool.loop.Now()
	if len(c.request.buffered) > 0 {
		c.request.buffered = c.request.buffered[n:]
		return
	}
	c.attempt.Exchange.BodySent = true
	c.request.body.Advance(n)
}
