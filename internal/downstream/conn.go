package downstream

import (
	"container/list"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/memory"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// state is the state of a connection.
// Each implementation is a part of the connection and holds the fields that are used in that state. The transitions are:
//
//	requestReader -> requestStream                    the body of the request is too large to be buffered
//	requestReader, requestStream -> pendingResponse   the request has been received completely
//	requestReader, requestStream -> responseWriter    a response is sent before the request is complete, or without an exchange
//	pendingResponse -> responseWriter                 a response with a complete body is sent
//	pendingResponse -> responseStream                 a response with a streamed body is sent
//	responseWriter, responseStream -> requestReader   the response has been sent and the connection stays open
//	responseWriter, responseStream -> lingeringClose  the response has been sent and the connection ends
//	any state -> closedState                          the descriptor has been closed
type state interface {
	// ready handles readiness events of the connection's descriptor.
	ready(events uint32)
}

// conn is a client connection. It owns its descriptor and its timer until close is called.
type conn struct {
	server     *Server
	fd         int
	acceptedAt balance.Millis
	overflow   *list.Element // element of the server's overflow; nil for a connection that counts against the descriptor quota
	responded  bool          // at least one response has been sent completely
	state      state
	timer      *timer.Timer // timeout of the current state, which runs onTimeout; not pending if it has none
	onTimeout  func(*conn)  // called when the current state has taken too long

	reader         requestReader
	requestStream  requestStream
	pending        pendingResponse
	writer         responseWriter
	responseStream responseStream
	linger         lingeringClose
}

// closedState is the state of a connection whose descriptor is closed.
type closedState struct{}

func (closedState) ready(uint32) {}

// newConn returns a new connection of the server. The caller has to call startReading.
func newConn(s *Server, fd int) *conn {
	c := &conn{server: s, fd: fd, acceptedAt: s.Loop.Now()}
	c.timer = timer.New(func() { c.onTimeout(c) })
	c.reader.conn = c
	c.reader.unread.conn = c
	c.reader.decoder = http1.NewRequestDecoder()
	c.reader.decoder.CountMemory(s.Memory)
	s.Memory.Add(memory.Connections, ConnectionBytes)
	c.requestStream.conn = c
	c.pending.conn = c
	c.writer.conn = c
	c.responseStream.conn = c
	c.linger.conn = c
	c.linger.timeout = lingerTimeout
	s.conns[c] = struct{}{}
	return c
}

// Ready handles readiness events of the connection's descriptor. It implements loop.Handler.
func (c *conn) Ready(events uint32) { c.state.ready(events) }

// Respond sends the final response of the connection's exchange.
func (c *conn) Respond(x *exchange.Exchange, r exchange.Response) {
	c.pending.detachExchange(x)
	switch {
	case r.Stream != nil:
		c.responseStream.start(r.Stream, x.Message.(*http1.Request))
	case r.Disposition == exchange.Served:
		c.writer.respond(http1.ResponseHead{Status: http1.StatusOK}, r.Body)
	case r.Disposition == exchange.Rejected:
		c.writer.respond(http1.ResponseHead{Status: http1.StatusServiceUnavailable, RetryAfterMS: r.RetryAfter}, nil)
	case r.InvalidRequest:
		c.writer.respond(http1.ResponseHead{Status: http1.StatusBadRequest}, nil)
	default:
		c.writer.respond(http1.ResponseHead{Status: http1.StatusBadGateway}, nil)
	}
}

// Connected reports whether the client still waits for its response.
// It asks the kernel, since the client's close may have arrived without its event having been handled:
// requests that were read earlier, or in the same turn of the event loop, are handled first.
func (c *conn) Connected(*exchange.Exchange) bool {
	if c.server.Loop.PeerClosed(c.fd) {
		c.server.counters.disconnectedBeforeAttempt.Inc()
		c.clientDisconnected()
		return false
	}
	return true
}

// clientDisconnected closes the connection after the client has disconnected before its response.
func (c *conn) clientDisconnected() {
	c.close(reasonClientDisconnected)
	c.abandonExchange()
}

// abandonExchange ends the connection's exchange without a response, and the stream of its request body if there is one.
// The exchange ends first: the end of the stream is reported to the upstream connection, whose attempt may fail in this call,
// and a failure of an attempt would cause a response while the exchange is in progress.
func (c *conn) abandonExchange() {
	x := c.pending.exchange
	c.pending.detachExchange(x)
	stream := c.requestStream.detach()
	c.server.handler.ClientDisconnected(x)
	if stream != nil {
		stream.Abort()
	}
}

// startTimer sets the connection's timer, which calls the function do after the given duration in milliseconds.
// It replaces the previous timer. A closed connection gets none: its descriptor may belong to another connection when the timer fires.
func (c *conn) startTimer(after balance.Millis, do func(*conn)) {
	invariant.Check(!c.closed(), "a closed connection starts no timer")
	if c.closed() {
		return
	}
	c.onTimeout = do
	c.server.Loop.Timers.Start(c.timer, c.server.Loop.Now()+after)
}

// stopTimer stops the connection's timer.
func (c *conn) stopTimer() { c.server.Loop.Timers.Stop(c.timer) }

// fail closes the connection after an error and counts it as broken.
func (c *conn) fail(reason trace.Reason) {
	c.server.counters.connectionsBroken.Inc()
	c.close(reason)
}

// closed reports whether close has been called.
func (c *conn) closed() bool { return c.state == closedState{} }

// close closes the descriptor and releases everything that the connection holds.
func (c *conn) close(reason trace.Reason) {
	if c.closed() {
		return
	}
	c.state = closedState{}
	if c.server.Trace.Enabled() {
		c.server.Trace.Write(trace.ConnectionClosed, trace.Event{Connection: c.fd, Request: c.pending.requestID(), Reason: reason})
	}
	c.stopReading()
	c.requestStream.stopDeadlineCheck()
	c.server.Loop.Close(c.fd)
	c.unregister()
	c.responseStream.abandon()
}

// unregister removes the connection from the server.
func (c *conn) unregister() {
	c.stopReading()
	delete(c.server.conns, c)
	c.server.Memory.Add(memory.Connections, -ConnectionBytes)
	c.reader.release()
	c.writer.setUnsent(nil)
	if c.overflow != nil {
		c.leaveOverflow()
	} else {
		c.server.quota.Release()
	}
	c.server.endIfIdle()
}

// stopReading removes the connection from the server's readingConns and stops its timer.
func (c *conn) stopReading() {
	if c.reader.listElement != nil {
		c.server.readingConns.Remove(c.reader.listElement)
		c.reader.listElement = nil
	}
	c.stopTimer()
}
