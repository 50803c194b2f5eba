package downstream

import (
	"bytes"
	"container/list"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// requestReader is the state of a connection that is idle or receives a request: its head, and its body if that is short.
type requestReader struct {
	conn         *conn
	decoder      *http1.RequestDecoder
	listElement  *list.Element  // in the server's idle connections; nil in all other states
	lastActivity balance.Millis // when the last byte was received, or the connection became idle
	receivedAt   balance.Millis // earliest arrival of the bytes that are being decoded
	requestCount int            // complete requests so far
	unread       []byte         // received behind the last request, and not decoded yet
	resuming     bool           // resume is running
	body         bodyProgress

	continueSent   bool   // the interim response 100 Continue was given
	unsentContinue []byte // the part of it that could not be written, which precedes the response
}

// bodyProgress is the progress of a request's body in the present bodyProgressInterval.
type bodyProgress struct {
	started         bool // the head is complete
	bytesSinceCheck int
	paused          bool // reading had to wait for buffer space
}

// sufficient reports whether the body may continue for another interval.
func (p *bodyProgress) sufficient() bool {
	return p.started && (p.bytesSinceCheck >= minBodyBytesPerInterval || p.paused)
}

// startReading makes the connection ready for its next request.
func (c *conn) startReading() {
	r := &c.reader
	c.state = r
	r.decoder.Reset()
	r.lastActivity = c.server.Loop.Now()
	c.server.Loop.MarkRead(c.fd)
	r.continueSent = false
	r.body.started = false
	r.listElement = c.server.readingConns.PushBack(c)
	switch {
	case c.overflow:
		c.startTimer(overflowTimeout, r.overflowTimedOut)
	case !c.responded: // a client that connects and sends nothing must not keep the descriptor for idleTimeout
		c.startTimer(requestTimeout, c.requestTimedOut)
	default:
		c.startTimer(idleTimeout, c.requestTimedOut)
	}
}

func (r *requestReader) ready(uint32) { r.read() }

// read reads until a request is complete. Only one request is handled in a turn of the loop, so that a client which sends
// hundreds at once does not delay the others.
func (r *requestReader) read() {
	c := r.conn
	count := r.requestCount
	for i := 0; i < maxReadsPerTurn && r.listElement != nil && r.requestCount == count; i++ {
		n, err := c.server.Loop.Read(c.fd, c.server.readBuffer)
		switch {
		case err == unix.EAGAIN:
			return
		case err != nil:
			c.fail(reasonConnectionBroken)
		case n == 0:
			c.close(reasonClosedByClient)
		default:
			r.receivedAt = c.server.Loop.EarliestArrivalAt(c.fd)
			r.decodeShared(c.server.readBuffer[:n])
		}
	}
}

// resume decodes what was read behind the request that has now been answered. It is a loop, not a recursion: the response to
// each request may be given before decoding returns, and a client may send hundreds at once.
func (r *requestReader) resume() {
	if r.resuming {
		return
	}
	r.resuming = true
	for len(r.unread) > 0 && r.listElement != nil {
		p := r.unread
		r.unread = nil
		r.decodeOwned(p)
	}
	r.resuming = false
}

// decodeShared decodes bytes of the server's read buffer, and copies what follows a complete request.
func (r *requestReader) decodeShared(p []byte) {
	if n, complete := r.decode(p); complete {
		r.unread = bytes.Clone(p[n:])
		r.dispatch()
	}
}

// decodeOwned decodes bytes that belong to the connection.
func (r *requestReader) decodeOwned(p []byte) {
	if n, complete := r.decode(p); complete {
		r.unread = p[n:]
		r.dispatch()
	}
}

// decode decodes bytes of a request. It reports how many, and whether a request is complete that is still to be dispatched.
func (r *requestReader) decode(p []byte) (n int, complete bool) {
	c := r.conn
	if !r.decoder.Started() && !c.overflow && c.responded { // else the time since the accept counts: no byte extends it
		c.startTimer(requestTimeout, c.requestTimedOut)
	}
	n, err := r.decoder.Feed(p)
	if err != nil {
		c.rejectAndClose(http1.StatusOf(err))
		return n, false
	}
	if r.decoder.NeedsStreaming() {
		c.startUpload(bytes.Clone(p[n:]))
		return n, false
	}
	if !r.decoder.Complete() {
		r.incomplete(n)
		return n, false
	}
	return n, true
}

// incomplete handles n bytes of a request whose rest is still missing.
func (r *requestReader) incomplete(n int) {
	c := r.conn
	r.sendContinue()
	if r.decoder.InBody() {
		r.body.bytesSinceCheck += n
		if !r.body.started {
			r.body.started = true
			r.body.bytesSinceCheck = 0
			c.startTimer(bodyProgressInterval, c.requestTimedOut)
		}
	}
	r.lastActivity = c.server.Loop.Now()
	c.server.readingConns.MoveToBack(r.listElement)
}

// dispatch hands over the complete request of the decoder.
func (r *requestReader) dispatch() {
	r.conn.stopReading()
	r.conn.server.Loop.Watch(r.conn.fd, loop.HangUp)
	r.conn.dispatch(r.decoder.Request())
}

// sendContinue writes 100 Continue if the client waits for it. A client that does not get it sends the body after a moment.
func (r *requestReader) sendContinue() {
	if !r.decoder.ExpectsContinue() || r.continueSent {
		return
	}
	r.continueSent = true
	n, _ := r.conn.server.Loop.Write(r.conn.fd, []byte(http1.ContinueResponse))
	if n > 0 {
		r.unsentContinue = []byte(http1.ContinueResponse)[n:]
	}
}

// popUnsentContinue returns what has to be written ahead of the response.
func (r *requestReader) popUnsentContinue() []byte {
	p := r.unsentContinue
	r.unsentContinue = nil
	return p
}

// overflowTimedOut closes an overflow connection, unless a request is still arriving on it.
func (r *requestReader) overflowTimedOut() {
	c := r.conn
	if r.decoder.Started() && c.server.Loop.Now()-r.lastActivity < overflowTimeout {
		c.startTimer(overflowTimeout, r.overflowTimedOut)
		return
	}
	c.close(reasonNoDescriptor)
}

// idleTimedOut closes an idle connection, unless a request has just arrived.
func (r *requestReader) idleTimedOut() {
	c := r.conn
	if !c.server.Loop.IdleOpen(c.fd) {
		r.read()
		return
	}
	c.server.counters.connectionsIdleClosed.Inc()
	c.close(reasonIdleTimeout)
}

// requestTimedOut ends a connection whose request has not arrived in time. A body that makes progress, or has to wait for buffer
// space, has another interval.
func (c *conn) requestTimedOut() {
	r := &c.reader
	if !r.decoder.Started() {
		r.idleTimedOut()
		return
	}
	if r.body.sufficient() {
		r.body.bytesSinceCheck = 0
		r.body.paused = false
		if c.upload.active() {
			c.upload.checkPaused()
		}
		c.startTimer(bodyProgressInterval, c.requestTimedOut)
		return
	}
	c.server.counters.requestsTimedOut.Inc()
	if c.upload.active() {
		c.upload.reject(http1.StatusRequestTimeout)
		return
	}
	c.rejectAndClose(http1.StatusRequestTimeout)
}
