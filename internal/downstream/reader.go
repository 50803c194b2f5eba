package downstream

import (
	"bytes"
	"container/list"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// requestReader is the state of a connection that is idle or receives a request.
// A body that is too large to be buffered is received in the state requestStream.
type requestReader struct {
	conn          *conn
	decoder       *http1.RequestDecoder
	listElement   *list.Element  // element of the server's readingConns; nil in all other states
	lastActivity  balance.Millis // time at which bytes were last received or the connection became idle
	receivedAt    balance.Millis // earliest time at which the bytes that are being decoded may have arrived
	requestCount  int            // number of requests that have been dispatched
	unread        unreadInput    // bytes that were received after the last request
	resuming      bool           // a call of resume is running
	resumeElement *list.Element  // element of the server's resumeQueue; nil if the connection is not in it
	body          bodyProgress

	continueSent   bool   // the server has tried to write 100 Continue and does not try again
	unsentContinue []byte // rest of 100 Continue that could not be written yet; it is written before the response
}

// bodyProgress is the progress of a request body in the current bodyProgressInterval.
type bodyProgress struct {
	started         bool // the head is complete
	bytesSinceCheck int  // bytes of the body that were received in the interval
	paused          bool // reading has had to wait for buffer space in the interval
}

// sufficient reports whether the progress is large enough for the body to get another interval.
func (p *bodyProgress) sufficient() bool {
	return p.started && (p.bytesSinceCheck >= minBodyBytesPerInterval || p.paused)
}

// startReading prepares the connection for its next request and starts the timeout for it.
func (c *conn) startReading() {
	r := &c.reader
	c.state = r
	r.lastActivity = c.server.Loop.Now()
	c.server.Loop.MarkRead(c.fd)
	if !r.decoder.Started() || r.decoder.Complete() { // otherwise flush has interrupted the next request
		r.decoder.Reset()
		r.continueSent = false
		r.body.started = false
	}
	r.listElement = c.server.readingConns.PushBack(c)
	switch {
	case c.overflow != nil:
		c.startTimer(overflowTimeout, (*conn).overflowTimedOut)
	case !c.responded: // a client that sends nothing after connecting must not hold a descriptor for the whole idleTimeout
		c.startTimer(requestTimeout, (*conn).requestTimedOut)
	default:
		c.startTimer(idleTimeout, (*conn).requestTimedOut)
	}
}

func (r *requestReader) ready(events uint32) {
	switch {
	case len(r.unread.bytes) == 0:
		r.read()
	case events&(loop.HangUp|loop.Failed) != 0: // while resume waits for the next turn
		r.conn.close(reasonClosedByClient)
	}
}

// read reads until a request is complete or no more input is available. It returns after the read that has completed a request,
// so that a client that pipelines hundreds of requests does not delay the others.
func (r *requestReader) read() {
	c := r.conn
	if !r.mayRead() {
		c.server.Loop.MarkUnreadSince(c.fd, c.server.Loop.EarliestArrivalAt(c.fd))
		return
	}
	count := r.requestCount
	for i := 0; i < maxReadsPerTurn && r.listElement != nil && r.requestCount == count; i++ {
		n, err := c.server.Loop.Read(c.fd, r.nextRead())
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

// idle reports whether no byte of a request has been received since the last response.
func (r *requestReader) idle() bool { return !r.decoder.Started() && len(r.unread.bytes) == 0 }

// decodeShared decodes bytes in the server's read buffer. Of the bytes after a complete request it copies those that can't be decoded
// in this turn, since the buffer is reused.
func (r *requestReader) decodeShared(p []byte) {
	if n, complete := r.decode(p); complete {
		r.unread.borrow(p[n:], r.receivedAt)
		r.dispatch()
		r.unread.copyFromReadBuffer()
	}
}

// decodeOwned decodes bytes that the connection owns. It does not copy the bytes after a complete request, which keep the whole
// memory in use.
func (r *requestReader) decodeOwned(p []byte, size int) {
	if n, complete := r.decode(p); complete {
		r.unread.replace(p[n:], size)
		r.dispatch()
	}
}

// release frees the memory of a connection that is closed.
func (r *requestReader) release() {
	r.leaveResumeQueue()
	r.unread.clear()
	r.decoder.Release()
}

// mayRead reports whether the connection may read in this turn. Further requests of an overflow connection stay in the kernel until a
// turn has time for them: then they are decoded in the read buffer, and need no memory.
func (r *requestReader) mayRead() bool {
	c := r.conn
	return c.overflow == nil || !c.responded || c.server.resumeQueue.hasTime(c.server.Loop.Turns())
}

// nextRead returns the part of the read buffer that the next read of a request may fill.
func (r *requestReader) nextRead() []byte {
	s := r.conn.server
	switch {
	case r.conn.overflow != nil && r.conn.responded:
		return s.readBuffer
	case s.Memory.Full(memory.Heads):
		return s.readBuffer[:shortestReadBytes]
	case s.Memory.Full(memory.Bodies):
		return s.readBuffer[:shortReadBytes]
	}
	return s.readBuffer
}

// decode decodes bytes of a request.
// It returns the number of bytes consumed, and whether the request is complete and has to be dispatched by the caller.
func (r *requestReader) decode(p []byte) (n int, complete bool) {
	c := r.conn
	// The timeouts of the first request and of overflow connections count from the accept, so a first byte does not restart them.
	if !r.decoder.Started() && c.overflow == nil && c.responded {
		c.startTimer(requestTimeout, (*conn).requestTimedOut)
	}
	n, err := r.decoder.Feed(p)
	if err != nil {
		c.rejectUndecoded(err)
		return n, false
	}
	if at, ahead := r.unread.consume(n); ahead {
		r.receivedAt = at
	}
	if r.decoder.NeedsStreaming() {
		r.unread.consume(len(p) - n) // the following bytes get the arrival of this request
		c.startRequestStream(bytes.Clone(p[n:]))
		return n, false
	}
	if !r.decoder.Complete() {
		if c.overflowTurnOver() {
			c.rejectOverflow()
			return n, false
		}
		r.handleIncomplete(n)
		return n, false
	}
	return n, true
}

// handleIncomplete is called after n bytes have been decoded and the request is still incomplete.
// It sends 100 Continue if the client waits for it, and updates the progress of the body and the timeout.
func (r *requestReader) handleIncomplete(n int) {
	c := r.conn
	r.sendContinue()
	if r.decoder.InBody() {
		r.body.bytesSinceCheck += n
		if !r.body.started {
			r.body.started = true
			r.body.bytesSinceCheck = 0
			c.startTimer(bodyProgressInterval, (*conn).requestTimedOut)
		}
	}
	r.lastActivity = c.server.Loop.Now()
	c.server.readingConns.MoveToBack(r.listElement)
}

// dispatch dispatches the decoder's complete request. Until its response has been sent, bytes are only read ahead.
func (r *requestReader) dispatch() {
	r.conn.stopReading()
	r.conn.dispatch(r.decoder.Request())
}

// sendContinue writes 100 Continue if the client waits for it.
// A write error is ignored: a client that does not receive 100 Continue sends the body after a delay.
func (r *requestReader) sendContinue() {
	if !r.decoder.ExpectsContinue() || r.continueSent {
		return
	}
	r.continueSent = true
	if r.conn.writer.appendCollected(http1.ContinueResponse) {
		return
	}
	n, _ := r.conn.server.Loop.Write(r.conn.fd, []byte(http1.ContinueResponse))
	if n > 0 {
		r.unsentContinue = []byte(http1.ContinueResponse)[n:]
	}
}

// takeUnsentContinue returns and clears the unsent part of 100 Continue, which has to be written before the response.
func (r *requestReader) takeUnsentContinue() []byte {
	p := r.unsentContinue
	r.unsentContinue = nil
	return p
}

// overflowTimedOut closes an overflow connection, unless it has received bytes of a request within the last overflowTimeout, or
// requests of it wait for a turn that has time for them.
func (c *conn) overflowTimedOut() {
	r := &c.reader
	waiting := len(r.unread.bytes) > 0 || !c.server.Loop.IdleOpen(c.fd)
	if waiting || r.decoder.Started() && c.server.Loop.Now()-r.lastActivity < overflowTimeout {
		c.startTimer(overflowTimeout, (*conn).overflowTimedOut)
		return
	}
	c.close(reasonNoDescriptor)
}

// idleTimedOut closes an idle connection.
// If the kernel has received bytes of a request that have not been read yet, it reads them instead. Requests that have been read wait
// for a turn that has time for them.
func (r *requestReader) idleTimedOut() {
	c := r.conn
	if len(r.unread.bytes) > 0 {
		c.startTimer(idleTimeout, (*conn).requestTimedOut)
		return
	}
	if !c.server.Loop.IdleOpen(c.fd) {
		r.read()
		return
	}
	c.server.counters.connectionsIdleClosed.Inc()
	c.close(reasonIdleTimeout)
}

// requestTimedOut handles the timeout of a connection that is idle or receives a request. A body that makes sufficient progress,
// or whose reading had to wait for buffer space, gets another interval. Any other incomplete request is rejected.
func (c *conn) requestTimedOut() {
	r := &c.reader
	if !r.decoder.Started() {
		r.idleTimedOut()
		return
	}
	if r.body.sufficient() {
		r.body.bytesSinceCheck = 0
		r.body.paused = false
		c.startTimer(bodyProgressInterval, (*conn).requestTimedOut)
		if c.requestStream.active() {
			c.requestStream.checkPaused() // comes last, as it may close the connection
		}
		return
	}
	c.server.counters.requestsTimedOut.Inc()
	if c.requestStream.active() {
		c.requestStream.reject(http1.StatusRequestTimeout)
		return
	}
	c.rejectAndClose(http1.StatusRequestTimeout)
}
