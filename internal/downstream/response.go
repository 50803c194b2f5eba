package downstream

import (
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
)

// responseWriter is the state of a connection on which a complete response is being written.
type responseWriter struct {
	conn       *conn
	unsent     []byte // of the response, or of the head of a streamed one
	closeAfter bool   // the connection ends with the present response
	writing    bool   // write is running
}

// respond writes a response. If the rest of the request is not going to be read, nothing can follow the response.
func (w *responseWriter) respond(head http1.ResponseHead, body []byte) {
	c := w.conn
	c.checkMayRespond()
	if c.upload.abandon() {
		head.Close = true
		c.linger.timeout = incompleteRequestLinger
	}
	w.closeAfter = w.closeAfter || head.Close || c.shouldClose()
	head.Close = w.closeAfter
	c.server.counters.responses[head.Status].Inc()
	w.unsent = http1.AppendResponse(c.reader.popUnsentContinue(), head, body)
	c.state = w
	c.startTimer(responseWriteTimeout, w.timedOut)
	w.write()
}

// checkMayRespond checks that the connection has no response yet.
func (c *conn) checkMayRespond() {
	invariant.Check(c.writer.unsent == nil && c.pending.exchange == nil && !c.linger.started, "a connection has one response at a time")
}

// shouldClose reports whether the connection is to end with its response, which is the only way to have fewer connections
// without losing a request. What was received already is answered first.
func (c *conn) shouldClose() bool {
	switch {
	case c.overflow:
		return len(c.reader.unread) == 0
	case c.server.shuttingDown() || c.server.quota.NearlyExhausted():
		return len(c.reader.unread) == 0 && c.server.Loop.IdleOpen(c.fd)
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

// timedOut closes a connection whose client does not read its response.
func (w *responseWriter) timedOut() { w.conn.fail(reasonResponseNotRead) }

// write writes what the kernel accepts of the response, and continues with the next request after the last byte.
func (w *responseWriter) write() {
	c := w.conn
	if w.writing || c.closed() {
		return
	}
	w.writing = true
	complete := w.writeAvailable()
	w.writing = false
	if !complete || c.closed() {
		return
	}
	w.unsent = nil
	c.responded = true
	if w.closeAfter {
		c.linger.start()
		return
	}
	c.startReading()
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	c.reader.resume()
}

// next returns what is to be written now.
func (w *responseWriter) next() []byte {
	if len(w.unsent) > 0 || !w.conn.stream.active() {
		return w.unsent
	}
	return w.conn.stream.encoder.Next()
}

// writeAvailable writes what there is of the response, and reports whether that completes it.
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
			return false
		}
	}
	return !c.stream.active() || c.stream.finish()
}

// advance records that n bytes of what next returned are written.
func (w *responseWriter) advance(n int) {
	stream := &w.conn.stream
	if len(w.unsent) > 0 {
		w.unsent = w.unsent[n:]
	} else {
		stream.encoder.Advance(n)
	}
	if stream.active() && n > 0 {
		stream.lastProgress = w.conn.server.Loop.Now()
	}
}

// watchWritable waits until the kernel accepts more.
func (w *responseWriter) watchWritable() {
	events := uint32(loop.Writable)
	if w.conn.stream.active() {
		events |= loop.HangUp
	}
	w.conn.server.Loop.Watch(w.conn.fd, events)
}
