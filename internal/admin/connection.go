package admin

import (
	"container/list"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
	"salttrack/internal/timer"
)

// Limits of one connection. Times are in ms.
const (
	requestTimeout  balance.Millis = 10000 // time in which a request has to arrive completely
	overrideTimeout balance.Millis = 6000  // time in which an override has to be done; longer than the timeout of package node, whose error is more specific
	writeTimeout    balance.Millis = 2000  // time in which the client has to accept the response
	lingerTimeout   balance.Millis = 500   // time in which the client has to close the connection after the response

	maxReadsPerEvent = 4
)

// connectionState is the state of a connection.
type connectionState uint8

const (
	receivingRequest connectionState = iota
	awaitingOverride                 // the request is complete and its override is being stored; bytes from the client are discarded
	sendingResponse
	// lingering is the state after the response was written. Bytes from the client are discarded until it closes the connection.
	// If the server closed first, the kernel could send a TCP reset, which can reach the client before the response.
	lingering
	closed
)

// connection is one client connection. It carries one request and its response.
type connection struct {
	server       *Server
	fd           int // descriptor, which the connection owns and closes
	state        connectionState
	lastActivity balance.Millis // time at which the last byte of the request was read
	listElement  *list.Element  // element of Server.connections
	timeout      *timer.Timer   // timeout of the current state

	decoder       *http1.RequestDecoder
	sentContinue  bool   // whether the response 100 Continue was sent
	unsentInterim []byte // unwritten part of the response 100 Continue, which precedes the final response
	unsent        []byte // unwritten part of the final response
}

// setTimeout replaces the timeout of the connection. After a duration in ms it calls the function onTimeout.
func (c *connection) setTimeout(duration balance.Millis, onTimeout func()) {
	c.server.Loop.Timers.Stop(c.timeout)
	c.timeout = c.server.Loop.After(duration, onTimeout)
}

// Ready reads from or writes to the connection. It is the event loop's callback for the descriptor.
func (c *connection) Ready(uint32) {
	if c.state == sendingResponse {
		c.write()
		return
	}
	c.read()
}

// read reads the bytes that have arrived. It discards bytes after a complete request.
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

// decode decodes bytes of the request, and handles the request once it is complete.
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

// sendContinue sends the response 100 Continue, for which the client waits before it sends the body of its request.
func (c *connection) sendContinue() {
	c.sentContinue = true
	if n, _ := c.server.Loop.Write(c.fd, []byte(http1.ContinueResponse)); n > 0 {
		c.unsentInterim = []byte(http1.ContinueResponse)[n:]
	}
}

// handle executes a complete request. It responds at once, or when the override of the request is stored.
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

// onOverrideDone responds to the request for an override, unless the request timed out or the client closed the connection.
func (c *connection) onOverrideDone(err error) {
	switch {
	case c.state != awaitingOverride:
	case err != nil:
		c.reject(overrideFailed(err))
	default:
		c.succeed()
	}
}

// timeOut rejects a request that was not complete in time, or whose override was not done in time.
func (c *connection) timeOut() {
	c.server.counters.timedOut.Inc()
	c.reject(errRequestTimeout)
}

// succeed responds with the status 200.
func (c *connection) succeed() {
	c.server.counters.succeeded.Inc()
	c.respond(responseBytes(c.unsentInterim, statusOK, successBody()))
}

// reject responds with the status and the message of an error.
func (c *connection) reject(err *HTTPError) {
	c.server.counters.rejected.Inc()
	c.respond(responseBytes(c.unsentInterim, err.Status, err.body()))
}

// respond writes the final response of the connection.
func (c *connection) respond(response []byte) {
	c.state = sendingResponse
	c.unsent = response
	c.setTimeout(writeTimeout, c.close)
	c.write()
}

// write writes the unsent part of the response. Once all of it is written, write closes the sending direction of the connection.
func (c *connection) write() {
	n, err := c.server.Loop.Write(c.fd, c.unsent)
	if err != nil {
		c.close()
		return
	}
	c.unsent = c.unsent[n:]
	if len(c.unsent) > 0 {
		c.server.Loop.Watch(c.fd, loop.Writable)
		return
	}
	c.state = lingering
	c.server.Loop.CloseWrite(c.fd)
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	c.setTimeout(lingerTimeout, c.close)
}

// close closes the connection, stops its timer and removes it from the server. Further calls have no effect.
func (c *connection) close() {
	if c.state == closed {
		return
	}
	c.state = closed
	c.server.Loop.Timers.Stop(c.timeout)
	c.server.connections.Remove(c.listElement)
	c.server.Memory.Add(memory.Connections, -connectionBytes)
	c.decoder.Release()
	c.server.Loop.Close(c.fd)
}
