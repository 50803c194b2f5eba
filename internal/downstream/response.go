package downstream

import (
	"bytes"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// responseWriter is the state of a connection on which a response with a complete body is being written.
type responseWriter struct {
	conn          *conn
	unsent        []byte         // unsent bytes of the response, or of the head of a streamed response
	inWriteBuffer bool           // they are in the server's write buffer, which the next response overwrites
	size          int            // bytes of memory that they keep in use, counted in the account
	blockedSince  balance.Millis // time at which the kernel accepted no more bytes, 0 if it has accepted some since
	closeAfter    bool           // the connection ends after the current response
	writing       bool           // a call of write is running
}

// respond starts to write a response with a complete body.
// If the request body has not been received completely, its rest is discarded and the connection ends after the response.
func (w *responseWriter) respond(head http1.ResponseHead, body []byte) {
	c := w.conn
	c.checkMayRespond()
	if c.closed() { // its descriptor may belong to another connection
		return
	}
	if c.requestStream.abandon() {
		head.Close = true
		c.linger.timeout = incompleteRequestLinger
	}
	c.reader.decoder.ReleaseBody() // the exchange keeps the values of the head
	w.closeAfter = w.closeAfter || head.Close || c.shouldClose()
	head.Close = w.closeAfter
	c.server.counters.responses[head.Status].Inc()
	w.encode(head, body)
	if w.collects() {
		c.startReading()
		return
	}
	c.state = w
	c.stopTimer()
	w.write()
}

// collects reports whether the response waits for further ones, which flush writes at once. That is so on an overflow connection while
// more requests that have been received are decoded in the same turn: all of them are rejected, and a write of each response takes
// longer than the rest of its work.
func (w *responseWriter) collects() bool {
	r := &w.conn.reader
	return w.conn.overflow != nil && w.inWriteBuffer && !w.closeAfter && r.resuming && len(r.unread.bytes) > 0
}

// appendCollected adds text behind the responses that were collected. It reports false if there are none.
func (w *responseWriter) appendCollected(text string) bool {
	if !w.inWriteBuffer {
		return false
	}
	w.conn.server.writeBuffer = append(w.unsent, text...)
	w.unsent = w.conn.server.writeBuffer
	return true
}

// flush writes the responses that were collected. If the kernel does not accept them all, the connection reads on when it has.
func (w *responseWriter) flush() {
	c := w.conn
	if !w.inWriteBuffer || c.closed() {
		return
	}
	complete := w.writeAvailable()
	switch {
	case c.closed():
	case complete:
		w.setUnsent(nil)
		c.responded = true
	default:
		c.stopReading()
		c.reader.leaveResumeQueue()
		c.state = w
		w.waitForClient()
	}
}

// encode encodes a response behind those that were collected. A short one, which the kernel usually accepts as a whole, gets no memory
// of its own.
func (w *responseWriter) encode(head http1.ResponseHead, body []byte) {
	c := w.conn
	interim := c.reader.takeUnsentContinue()
	s := c.server
	if !w.inWriteBuffer && len(body) > maxSharedBodyBytes {
		w.setUnsent(http1.AppendResponse(interim, head, body))
		return
	}
	if !w.inWriteBuffer {
		s.writeBuffer = s.writeBuffer[:0]
	}
	s.writeBuffer = http1.AppendResponse(append(s.writeBuffer, interim...), head, body)
	w.unsent = s.writeBuffer
	w.inWriteBuffer = true
}

// copyFromWriteBuffer copies unsent bytes that are in the server's write buffer, which the next response overwrites.
func (w *responseWriter) copyFromWriteBuffer() {
	if w.inWriteBuffer {
		w.setUnsent(bytes.Clone(w.unsent))
	}
}

// checkMayRespond checks the invariants of the start of a response: the connection is open, no other response is being written,
// no exchange is open, and the last response of the connection has not been sent.
func (c *conn) checkMayRespond() {
	invariant.Check(!c.closed(), "a closed connection writes no response")
	collected := c.writer.inWriteBuffer && c.reader.resuming
	invariant.Check((c.writer.unsent == nil || collected) && c.pending.exchange == nil && !c.linger.started, "a connection has one response at a time")
}

// shouldClose reports whether the connection should end after its response, to reduce the number of connections.
// Announcing the close in a response is the only way to do so without losing a request.
// Requests that have already been received are served first.
func (c *conn) shouldClose() bool {
	if c.overflow != nil {
		return len(c.reader.unread.bytes) == 0 && (c.overflowTurnOver() || c.server.Loop.IdleOpen(c.fd))
	}
	if c.server.shuttingDown() || c.server.quota.NearlyExhausted() {
		return len(c.reader.unread.bytes) == 0 && c.server.Loop.IdleOpen(c.fd)
	}
	return false
}

func (w *responseWriter) ready(events uint32) {
	if events&loop.Failed != 0 {
		w.conn.fail(reasonConnectionBroken)
		return
	}
	if events&loop.Writable != 0 {
		w.write()
	}
}

// timedOut closes a connection whose client has not read its response in time.
func (w *responseWriter) timedOut() { w.conn.fail(reasonResponseNotRead) }

// write writes as much of the response as the kernel accepts.
// After the last byte the connection starts to read the next request, or closes.
func (w *responseWriter) write() {
	c := w.conn
	if w.writing || c.closed() {
		return
	}
	w.writing = true
	complete := w.writeAvailable()
	w.writing = false
	if c.closed() {
		return
	}
	if !complete {
		w.waitForClient()
		return
	}
	w.setUnsent(nil)
	w.blockedSince = 0
	c.responded = true
	if w.closeAfter {
		c.linger.start()
		return
	}
	c.startReading()
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	c.reader.resume()
}

// waitForClient is called when the kernel accepts no more bytes of the response, or no more have been received. A response with a
// complete body has a timeout from its first unsuccessful write on, and a streamed one from its start on.
func (w *responseWriter) waitForClient() {
	w.copyFromWriteBuffer()
	if !w.conn.timer.Pending() {
		w.conn.startTimer(responseWriteTimeout, func(c *conn) { c.writer.timedOut() })
	}
}

// setUnsent replaces the unsent bytes.
func (w *responseWriter) setUnsent(p []byte) {
	w.conn.server.Memory.Add(memory.Responses, cap(p)-w.size)
	w.unsent, w.size = p, cap(p)
	w.inWriteBuffer = false
}

// next returns the next bytes to write. They are empty if no more bytes of the response are available.
func (w *responseWriter) next() []byte {
	if len(w.unsent) > 0 || !w.conn.responseStream.active() {
		return w.unsent
	}
	return w.conn.responseStream.encoder.Next()
}

// writeAvailable writes the available bytes of the response until the kernel accepts no more.
// It reports whether the whole response has been written.
func (w *responseWriter) writeAvailable() (complete bool) {
	c := w.conn
	for p := w.next(); len(p) > 0; p = w.next() {
		n, err := c.server.Loop.Write(c.fd, p)
		if err != nil {
			c.fail(reasonConnectionBroken)
			return false
		}
		w.advance(n)
		if n < len(p) {
			w.watchWritable()
			c.responseStream.block()
			return false
		}
	}
	return !c.responseStream.active() || c.responseStream.finish()
}

// advance records that the first n bytes of the slice that next returned have been written.
func (w *responseWriter) advance(n int) {
	stream := &w.conn.responseStream
	if n > 0 {
		w.blockedSince = 0
	}
	if len(w.unsent) > 0 {
		w.unsent = w.unsent[n:]
		if 0 < len(w.unsent) && len(w.unsent) <= n { // a client that reads slowly must not keep the memory of the sent part in use
			w.setUnsent(bytes.Clone(w.unsent))
		}
	} else {
		stream.encoder.Advance(n)
	}
	if stream.active() && n > 0 {
		stream.lastProgress = w.conn.server.Loop.Now()
	}
}

// watchWritable watches the descriptor until the kernel accepts more bytes.
func (w *responseWriter) watchWritable() {
	if w.blockedSince == 0 {
		w.blockedSince = w.conn.server.Loop.Now()
	}
	events := uint32(loop.Writable)
	if w.conn.responseStream.active() {
		events |= loop.HangUp
	}
	w.conn.server.Loop.Watch(w.conn.fd, events)
}
