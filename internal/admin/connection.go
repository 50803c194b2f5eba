package admin

import (
	"container/list"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

// Limits of one connection.
const (
	requestTimeout  balance.Millis = 10000 // for a request to arrive completely
	overrideTimeout balance.Millis = 6000  // for an override to be answered: longer than its own timeout, whose error says more
	writeTimeout    balance.Millis = 2000  // for the client to accept the response
	lingerTimeout   balance.Millis = 500   // for the client to close after the response

	maxReadsPerEvent = 4
)

// connectionState is what a connection is waiting for.
type connectionState uint8

const (
	receivingRequest connectionState = iota
	awaitingOverride                 // the request is complete: further bytes are discarded
	sendingResponse
	lingering // the response is written: bytes are discarded until the client closes, since a reset could overtake the response
	closed
)

// connection is one client connection. It carries one request and its response.
type connection struct {
	server       *Server
	fd           int // owned: close closes it
	state        connectionState
	lastActivity balance.Millis // when the last byte of the request was read
	listElement  *list.Element  // in the server's connections
	timeout      *timer.Timer   // of the current state

	decoder       *http1.RequestDecoder
	sentContinue  bool
	unsentInterim []byte // the part of the interim response that was not written: it precedes the response
	unsent        []byte // the part of the response that was not written
}

// setTimeout replaces the timeout of the previous state.
func (c *connection) setTimeout(after balance.Millis, do func()) {
	c.server.Loop.Timers.Stop(c.timeout)
	c.timeout = c.server.Loop.After(after, do)
}

// Ready handles the loop's events of the connection.
func (c *connection) Ready(uint32) {
	if c.state == sendingResponse {
		c.write()
		return
	}
	c.read()
}

// read reads what has arrived. Bytes behind a complete request are discarded.
func (c *connection) read() {
	for range maxReadsPerEvent {
		if c.state == sendingResponse || c.state == closed {
			return
		}
		n, err := c.server.Loop.Read(c.fd, c.server.readBuffer)
		switch {
		case err == unix.EAGAIN:
			return
		case err != nil || n == 0:
			c.close()
		case c.state == receivingRequest:
			c.lastActivity = c.server.Loop.Now()
			c.server.connections.MoveToBack(c.listElement)
			c.decode(c.server.readBuffer[:n])
		}
	}
}

// decode decodes bytes of the request, and handles it once it is complete.
func (c *connection) decode(p []byte) {
	_, err := c.decoder.Feed(p)
	switch {
	case err != nil:
		c.reject(&HTTPError{Status: http1.StatusOf(err), Message: err.Error()})
	case c.decoder.Complete():
		c.handle(c.decoder.Request())
	case c.decoder.ExpectsContinue() && !c.sentContinue:
		c.sendContinue()
	}
}

// sendContinue lets the client send the body of its request.
func (c *connection) sendContinue() {
	c.sentContinue = true
	if n, _ := c.server.Loop.Write(c.fd, []byte(http1.ContinueResponse)); n > 0 {
		c.unsentInterim = []byte(http1.ContinueResponse)[n:]
	}
}

// handle carries out a complete request and responds to it, now or once its override is stored.
func (c *connection) handle(message http1.Request) {
	r, err := parseRequest(message.Method, message.Target)
	if err == nil {
		err = c.server.check(r)
	}
	if err != nil {
		c.reject(err)
		return
	}
	if r.operation == checkReadiness {
		c.succeed()
		return
	}
	c.state = awaitingOverride
	c.setTimeout(overrideTimeout, c.timeOut)
	c.server.Balancer.SetDisabled(r.upstream, r.operation == disableUpstream, c.onOverrideDone)
}

// onOverrideDone responds to the request for an override, unless it timed out or its client closed meanwhile.
func (c *connection) onOverrideDone(err error) {
	switch {
	case c.state != awaitingOverride:
	case err != nil:
		c.reject(overrideFailed(err))
	default:
		c.succeed()
	}
}

// timeOut rejects a request that did not arrive, or whose override was not answered, in time.
func (c *connection) timeOut() {
	c.server.counters.timedOut.Inc()
	c.reject(errRequestTimeout)
}

// succeed responds that the request was carried out.
func (c *connection) succeed() {
	c.server.counters.succeeded.Inc()
	c.respond(responseBytes(c.unsentInterim, statusOK, successBody()))
}

// reject responds with the status and text of an error.
func (c *connection) reject(err *HTTPError) {
	c.server.counters.rejected.Inc()
	c.respond(responseBytes(c.unsentInterim, err.Status, err.body()))
}

// respond writes the only response of the connection.
func (c *connection) respond(response []byte) {
	c.state = sendingResponse
	c.unsent = response
	c.setTimeout(writeTimeout, c.close)
	c.write()
}

// write writes the rest of the response, and then half-closes the connection.
func (c *connection) write() {
	n, err := c.server.Loop.Write(c.fd, c.unsent)
	if err != nil {
		c.close()
		return
	}
	c.unsent = c.unsent[n:]
	if len(c.unsent) > 0 {
		c.server.Loop.Watch(c.fd, loop.Out)
		return
	}
	c.state = lingering
	c.server.Loop.CloseWrite(c.fd)
	c.server.Loop.Watch(c.fd, loop.In|loop.Hup)
	c.setTimeout(lingerTimeout, c.close)
}

// close closes the connection and frees what it holds.
func (c *connection) close() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.server.Loop.Timers.Stop(c.timeout)
	c.server.connections.Remove(c.listElement)
	c.server.Loop.Close(c.fd)
}
