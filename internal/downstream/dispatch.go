package downstream

import (
	"strings"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/memory"
	"salttrack/internal/trace"
)

// Paths that the balancer serves itself. No request below internalPathPrefix is forwarded to an upstream.
const (
	internalPathPrefix = "/-/"
	readinessPath      = "/-/ready"
)

// dispatch handles a request whose head is complete, and whose body is complete unless it is streamed.
// It either sends a response or starts an exchange.
func (c *conn) dispatch(r http1.Request) {
	s := c.server
	c.reader.requestCount++
	c.writer.closeAfter = r.Close
	path, _, _ := strings.Cut(r.Target, "?")
	if strings.HasPrefix(path, internalPathPrefix) {
		c.serveInternalPath(path, r.Method)
		return
	}
	s.counters.requests.Inc()
	class, invalid := s.validate(&r, path)
	switch {
	case invalid != nil:
		c.traceRejected(&r, invalid.Status, reasonInvalidRequest)
		c.reject(invalid.Status)
	case c.overflow != nil && (c.writer.inWriteBuffer || !c.promoteFromOverflow()): // responses that were collected come first
		s.counters.overflowRejected.Inc()
		c.traceRejected(&r, http1.StatusServiceUnavailable, reasonNoDescriptor)
		c.respondDirectly(http1.ResponseHead{Status: http1.StatusServiceUnavailable})
	case s.rejectsNewRequests():
		s.counters.shutdownRejected.Inc()
		c.traceRejected(&r, http1.StatusServiceUnavailable, reasonShutdownTooLate)
		c.respondDirectly(http1.ResponseHead{Status: http1.StatusServiceUnavailable})
	case !s.admitsRequest(&r, class):
		s.counters.memoryRejected.Inc()
		c.traceRejected(&r, http1.StatusServiceUnavailable, reasonNoMemory)
		c.respondDirectly(http1.ResponseHead{Status: http1.StatusServiceUnavailable})
	case !s.rememberID(r.ID, class): // the class may not run twice
		c.traceRejected(&r, http1.StatusConflict, reasonRepeatedID)
		c.reject(http1.StatusConflict)
	default:
		c.startExchange(&r, class)
	}
}

// admitsRequest reports whether there is memory for a request.
func (s *Server) admitsRequest(r *http1.Request, class uint8) bool {
	if r.Stream != nil && s.Memory.Full(memory.Streams) {
		return false
	}
	return s.Memory.AdmitsRequest(s.settings.Weights[class])
}

// rememberID adds the id of a request that must not run twice to the ids that may have run. It returns false if it was there.
func (s *Server) rememberID(id string, class uint8) bool {
	return s.ExecutedIDs == nil || s.settings.Idempotency[class] == balance.Idempotent || s.ExecutedIDs.Add(id)
}

// forgetUnexecutedID allows the id of a request that has certainly not run to come again.
func (s *Server) forgetUnexecutedID(x *exchange.Exchange) {
	if s.ExecutedIDs != nil && (x.BodyIncomplete || x.NeverRan()) {
		s.ExecutedIDs.Remove(x.ClientRequestID)
	}
}

// startExchange creates the exchange of a request and passes it to the request handler. Only a request that has an exchange is kept.
func (c *conn) startExchange(request *http1.Request, class uint8) {
	s := c.server
	kept := *request
	r := &kept
	x := exchange.New(c, r)
	x.MessageBytes = http1.RequestBytes(r, "")
	x.Class = class
	x.ClientRequestID = r.ID
	x.RequestBody = r.Stream
	x.BodyIncomplete = c.requestStream.active()
	if x.BodyIncomplete {
		x.ClientDeadline = s.Loop.Now() + incompleteRequestDeadline
		x.RespondBy = s.Loop.Now() + incompleteRequestDeadline
	} else {
		c.state = &c.pending
		c.startDeadline(x, r)
	}
	c.pending.exchange = x
	s.openRequestIDs[r.ID] = struct{}{}
	if s.Trace.Enabled() {
		s.Trace.Write(trace.RequestAccepted, trace.Event{Request: r.ID, Class: r.Class, Connection: c.fd, RemainingMS: x.Deadline() - s.Loop.Now()})
	}
	s.handler.HandleRequest(x)
}

// startDeadline sets the deadlines of a request. They count from the arrival of its last byte:
// the time that the client takes to send the request does not reduce them.
func (c *conn) startDeadline(x *exchange.Exchange, r *http1.Request) {
	x.ClientDeadline = c.reader.receivedAt + r.RemainingTime()
	x.RespondBy = c.reader.receivedAt + c.responseTime(r)
}

// responseTime returns the time between the last byte of a request and the time by which its response has to be sent, in milliseconds.
func (c *conn) responseTime(r *http1.Request) balance.Millis {
	remaining := r.RemainingTime()
	return remaining - min(c.server.settings.ResponseMargin, remaining/responseMarginDivisor)
}

// traceRejected writes a trace event for a request that is rejected without an exchange.
func (c *conn) traceRejected(r *http1.Request, status int, reason trace.Reason) {
	if c.server.Trace.Enabled() {
		c.server.Trace.Write(trace.RequestRejected, trace.Event{Request: r.ID, Class: r.Class, Connection: c.fd, Status: status, Reason: reason})
	}
}

// serveInternalPath serves the paths below internalPathPrefix.
func (c *conn) serveInternalPath(path, method string) {
	switch {
	case path != readinessPath:
		c.reject(http1.StatusNotFound)
	case method != http1.MethodGet:
		c.reject(http1.StatusMethodNotAllowed)
	case c.server.shuttingDown() || !c.server.Options.Synced():
		c.server.counters.readinessChecks.Inc()
		c.respondDirectly(http1.ResponseHead{Status: http1.StatusServiceUnavailable})
	default:
		c.server.counters.readinessChecks.Inc()
		c.respondDirectly(http1.ResponseHead{Status: http1.StatusOK})
	}
}

// reject sends an error response to a request that has no exchange,
// since it is malformed, not allowed, too slow, or incomplete during a shutdown.
func (c *conn) reject(status int) { c.rejectWith(http1.ResponseHead{Status: status}) }

// rejectAndClose rejects a request like reject and then closes the connection.
// It is used when the end of the request is unknown, so that further requests on the connection can't be decoded.
func (c *conn) rejectAndClose(status int) {
	c.rejectWith(http1.ResponseHead{Status: status, Close: true})
}

// rejectUndecoded rejects a request whose decoding has failed.
func (c *conn) rejectUndecoded(err error) {
	status := http1.StatusOf(err)
	if status == http1.StatusServiceUnavailable {
		c.server.counters.memoryRejected.Inc()
	}
	c.rejectAndClose(status)
}

func (c *conn) rejectWith(head http1.ResponseHead) {
	c.server.counters.requestsMalformed.Inc()
	c.stopReading()
	c.respondDirectly(head)
}

// respondDirectly sends a response without a body to a request that has no exchange.
func (c *conn) respondDirectly(head http1.ResponseHead) {
	c.reader.decoder.Release()
	c.writer.respond(head, nil)
}
