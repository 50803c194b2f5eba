package upstream

import (
	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// requestWriter holds the part of a request that is still to be sent.
type requestWriter struct {
	buffered []byte             // the header, and the body if it is not streamed
	size     int                // bytes of memory that they use, or will use once the connection is established, counted in the account
	body     *http1.BodyEncoder // a streamed body; nil if there is none or all of it is sent
	stream   *bodystream.Stream // the stream that body encodes
}

// next returns the bytes to send next. It returns none if the client has not sent more of the body yet.
func (w *requestWriter) next() []byte {
	if len(w.buffered) > 0 || w.body == nil {
		return w.buffered
	}
	return w.body.Next()
}

// sent reports whether the whole request was sent.
func (w *requestWriter) sent() bool { return len(w.buffered) == 0 && w.body == nil }

// sendHeader starts to send the request on an established connection. The remaining time in the request is computed
// here, as connecting may have taken some time. While the body is incomplete, the timeout of the attempt has not
// started, and the remaining time follows from the deadline of the exchange.
func (c *conn) sendHeader() {
	req := requestOf(c.attempt)
	deadline := c.attempt.TimeoutAt
	if c.attempt.Exchange.BodyIncomplete {
		deadline = c.attempt.Exchange.Deadline()
	}
	remaining := deadline - c.pool.loop.Now()
	c.setBuffered(http1.AppendRequest(make([]byte, 0, c.request.size), req, c.endpoint.host, remaining))
	if c.request.body != nil { // the timeout of the attempt starts only when its body is complete
		c.lastProgress = c.pool.loop.Now()
		c.timer = c.pool.loop.After(stallTimeout, c.checkStall)
	}
	c.send()
}

// send writes as much of the request as the kernel's send buffer takes. It is also called when the client has sent more
// of a streamed body. It ends the attempt if the time in which the request may be sent has passed.
func (c *conn) send() {
	if c.state == stateConnecting {
		return
	}
	written := 0
	for p := c.request.next(); len(p) > 0; p = c.request.next() {
		if !c.attempt.InSendWindow(c.pool.loop.Now()) { // the upstream has read the first bytes too slowly
			c.end(c.brokenOutcome())
			return
		}
		n, err := c.pool.loop.Write(c.fd, p)
		if n > 0 {
			c.advance(n)
		}
		if err != nil {
			c.handleSendError()
			return
		}
		if n < len(p) {
			c.waitUntilWritable(n)
			return
		}
		written += n
	}
	c.setBuffered(nil)
	if c.request.body != nil && c.request.body.Done() {
		c.request.body = nil
	}
	switch {
	case c.request.body == nil:
		c.attempt.RequestComplete = true
	case !c.pool.loop.CanWrite(c.fd):
		c.waitUntilWritable(written)
		return
	}
	c.attempt.BlockedSince = 0
	c.pool.loop.Watch(c.fd, loop.Readable|loop.HangUp)
	if c.request.body != nil {
		c.request.stream.UnblockReader()
	}
}

// reserveBuffer counts the memory that the buffered part of the request will use. More requests must not be admitted while the
// connection is being established.
func (c *conn) reserveBuffer(r *http1.Request) {
	c.request.size = http1.RequestBytes(r, c.endpoint.host)
	c.pool.memory.Add(memory.Requests, c.request.size)
}

// setBuffered replaces the bytes of the request that are buffered.
func (c *conn) setBuffered(p []byte) {
	c.pool.memory.Add(memory.Requests, cap(p)-c.request.size)
	c.request.buffered, c.request.size = p, cap(p)
}

// waitUntilWritable waits until the upstream has read enough for more of the request to be sent, after n bytes were written.
// Meanwhile no more of a streamed body is received from the client.
func (c *conn) waitUntilWritable(n int) {
	c.markBlocked(n)
	c.pool.loop.Watch(c.fd, loop.Readable|loop.Writable|loop.HangUp)
	if c.request.body != nil {
		c.request.stream.BlockReader()
	}
}

// markBlocked records that the kernel's send buffer is full after n more bytes were written.
func (c *conn) markBlocked(n int) {
	if n > 0 || c.attempt.BlockedSince == 0 {
		c.attempt.BlockedSince = c.pool.loop.Now()
	}
}

// handleSendError ends the attempt. If the upstream sent a response before it closed the connection, the response
// decides the outcome, although the request was not sent completely.
func (c *conn) handleSendError() {
	c.receive()
	if c.state == stateActive {
		c.end(c.brokenOutcome())
	}
}

// advance records that n bytes of the request were sent. Once the first byte of a streamed body is sent, the request
// can't be retried.
func (c *conn) advance(n int) {
	c.lastProgress = c.pool.loop.Now()
	if len(c.request.buffered) > 0 {
		c.request.buffered = c.request.buffered[n:]
		return
	}
	c.attempt.Exchange.BodySent = true
	c.request.body.Advance(n)
}
