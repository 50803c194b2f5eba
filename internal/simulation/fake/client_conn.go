package fake

import (
	"errors"

	"salttrack/balance"
	"salttrack/internal/http1"
)

const (
	// responseGrace is how long a client waits for a response after the deadline, in ms, so that late responses are
	// recorded as well.
	responseGrace = 400.0

	slowReadPause   = 20.0  // ms between two reads of a response that is read slowly
	minSlowWriteGap = 5.0   // ms, shortest pause between two parts of a request that is written slowly
	maxSlowWriteGap = 250.0 // ms, longest pause between two parts of a request that is written slowly
)

// clientConn is one connection of a client to a balancer.
type clientConn struct {
	client       *client
	conn         *conn
	balancer     BalancerAddress
	decoder      *http1.ResponseDecoder
	pending      []*call // calls without a response, in the order of sending
	requestCount int     // requests that are completely written
}

// send sends a call on the connection, after its firstRequestDelay.
func (c *clientConn) send(call *call) {
	call.conn = c
	c.pending = append(c.pending, call)
	c.conn.readPause = 0
	if call.readSlowly {
		c.conn.readPause = slowReadPause
	}
	message := call.message(c.client.classes[call.class])
	if call.cancelAfter > 0 {
		call.timer = c.client.host.Loop().After(call.firstRequestDelay+call.cancelAfter, call.cancel)
	}
	if call.firstRequestDelay > 0 {
		c.client.host.Loop().After(call.firstRequestDelay, func() { c.write(call, message) })
		return
	}
	c.write(call, message)
}

// write writes a request, at once or slowly.
func (c *clientConn) write(call *call, message []byte) {
	if call.writeSlowly {
		c.writeSlowly(call, message)
		return
	}
	if c.conn.closed || call.finished {
		return
	}
	c.conn.onFlushed = c.onWritten
	c.conn.send(message)
}

// writeSlowly writes a part of a request, and schedules the rest after a pause. Sizes and pauses are random.
func (c *clientConn) writeSlowly(call *call, message []byte) {
	if c.conn.closed || call.finished {
		return
	}
	size := min(len(message), 1+c.client.rng.IntN(len(message)))
	rest := message[size:]
	c.conn.onFlushed = nil
	if len(rest) == 0 {
		c.conn.onFlushed = c.onWritten
	}
	c.conn.send(message[:size])
	if len(rest) > 0 {
		gap := c.client.rng.Between(minSlowWriteGap, maxSlowWriteGap)
		c.client.host.Loop().After(gap, func() { c.writeSlowly(call, rest) })
	}
}

// onWritten is called when all pending requests are completely written. It records those that are not recorded yet, and
// starts their response timeouts.
func (c *clientConn) onWritten() {
	now := c.client.now()
	for _, call := range c.pending {
		if call.written {
			continue
		}
		call.written = true
		c.requestCount++
		c.client.recorder.RequestSent(c.requestRecord(call, now))
		if call.cancelAfter == 0 {
			call.timer = c.client.host.Loop().After(call.remaining+responseGrace, func() {
				c.client.recorder.ResponseTimedOut(call.id, c.client.now())
				call.abort()
			})
		}
	}
}

// requestRecord returns the record of a request whose last byte was written at the time now.
func (c *clientConn) requestRecord(call *call, now float64) Request {
	balancer := c.balancer.Name
	if peer := c.client.host.PeerName(c.conn.fd); peer != "" {
		balancer = peer
	}
	return Request{
		ID:             call.id,
		RootID:         call.rootID,
		Class:          call.class,
		IdempotencyKey: call.idempotencyKey,
		Balancer:       balancer,
		Client:         c.client.host.Name(),
		SentAt:         now,
		Deadline:       now + call.remaining,
		Pipelined:      call.pipelined,
		Resent:         call.resent,
		ReadSlowly:     call.readSlowly,
	}
}

func (c *clientConn) recordCancelled(call *call) {
	c.client.recorder.RequestCancelled(call.id, c.client.now())
}

// removePending removes and returns all pending calls.
func (c *clientConn) removePending() []*call {
	pending := c.pending
	c.pending = nil
	return pending
}

// endAll ends all pending calls after the client has closed the connection. It records written calls as cancelled, except
// for cause, whose end the caller has recorded. A nil cause means that there is no such call.
func (c *clientConn) endAll(cause *call) {
	for _, call := range c.removePending() {
		if call != cause && call.written {
			c.recordCancelled(call)
		}
		call.end(callIncomplete)
	}
}

// onData decodes responses. It closes the connection on bytes that belong to no response.
func (c *clientConn) onData(data []byte) {
	for len(data) > 0 && !c.conn.closed {
		if len(c.pending) == 0 {
			c.client.recorder.ExtraBytesReceived(c.balancer.Name, data)
			c.client.removeIdle(c)
			c.conn.close()
			return
		}
		n, err := c.decoder.Feed(data)
		if err != nil {
			c.client.recorder.ExtraBytesReceived(c.balancer.Name, data)
			c.conn.close()
			c.endAll(nil)
			return
		}
		data = data[n:]
		if c.decoder.Complete() {
			c.onResponse()
		}
	}
}

// onResponse handles a complete response to the first pending call.
func (c *clientConn) onResponse() {
	call := c.pending[0]
	response := c.decoder.Response()
	c.pending = c.pending[1:]
	if !call.written { // the balancer has not accepted the incomplete request, so neither it nor the response is recorded
		c.conn.close()
		call.end(callFailed)
		return
	}
	c.client.recorder.ResponseReceived(Response{
		RequestID: call.id,
		Status:    response.Status,
		Body:      response.Body,
		At:        c.client.host.LastReadSentAt(c.conn.fd),
	})
	c.decoder.Reset()
	switch {
	case response.Close: // the balancer does not serve later requests on this connection
		c.conn.close()
		c.endAll(nil)
	case len(c.pending) == 0:
		c.client.addIdle(c)
	}
	call.end(outcomeForStatus(response.Status))
}

// onClosed ends the pending calls after the balancer has closed the connection or after an I/O error. It resends a request
// that raced with the close of an idle connection, if mayResend allows it.
func (c *clientConn) onClosed(err error) {
	c.client.removeIdle(c)
	responseBegun := c.decoder.Started()
	for _, call := range c.removePending() {
		if !call.written {
			call.end(callUnsent)
			continue
		}
		reused := c.requestCount > 1 && !responseBegun && !call.pipelined
		c.client.recorder.ConnectionLost(ConnectionLoss{RequestID: call.id, At: c.client.now(), Reused: reused})
		if reused && c.mayResend(call, err) {
			c.client.start(call.resend())
			continue
		}
		call.end(callIncomplete)
	}
}

// mayResend reports whether a call may be sent again after its reused connection closed with err.
// After an orderly close any request may be resent: the balancer closed an idle connection while the request was on its way.
// After a reset the balancer may have forwarded the request, so only an idempotent one is resent.
// A request is resent once at most.
func (c *clientConn) mayResend(call *call, err error) bool {
	if call.resent || call.finished {
		return false
	}
	return errors.Is(err, errClosedByPeer) || c.client.classes[call.class].Idempotency == balance.Idempotent
}
