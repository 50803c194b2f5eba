package downstream

import (
	"strings"

	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/trace"
)

// Paths of the balancer's own.
const (
	internalPathPrefix = "/-/"
	readinessPath      = "/-/ready"
)

// dispatch handles a request whose head, and body if that is short, are complete: it is answered here or becomes an exchange.
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
	case c.overflow && !c.promoteFromOverflow():
		s.counters.overflowRejected.Inc()
		c.traceRejected(&r, http1.StatusServiceUnavailable, reasonNoDescriptor)
		c.writer.respond(http1.ResponseHead{Status: http1.StatusServiceUnavailable}, nil)
	case s.rejectsNewRequests():
		s.counters.shutdownRejected.Inc()
		c.traceRejected(&r, http1.StatusServiceUnavailable, reasonShutdownTooLate)
		c.writer.respond(http1.ResponseHead{Status: http1.StatusServiceUnavailable}, nil)
	default:
		c.startExchange(&r, class)
	}
}

// startExchange hands a request to the handler.
func (c *conn) startExchange(r *http1.Request, class uint8) {
	s := c.server
	x := exchange.New(c, r)
	x.Class = class
	x.ClientRequestID = r.ID
	x.BodyIncomplete = c.upload.active()
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
		s.Trace.Write(trace.RequestAccepted, trace.Event{Request: r.ID, Class: r.Class, Connection: c.fd, RemainingMS: x.RespondBy - s.Loop.Now()})
	}
	s.handler.HandleRequest(x)
}

// startDeadline starts a request's deadline at the arrival of its last byte, however slowly it was sent.
func (c *conn) startDeadline(x *exchange.Exchange, r *http1.Request) {
	remaining := r.RemainingSeconds * 1000
	x.ClientDeadline = c.reader.receivedAt + remaining
	x.RespondBy = x.ClientDeadline - min(c.server.settings.ResponseMargin, remaining/minRemainingPerMargin)
}

// traceRejected traces a request that is rejected before it becomes an exchange.
func (c *conn) traceRejected(r *http1.Request, status int, reason trace.Reason) {
	if c.server.Trace.Enabled() {
		c.server.Trace.Write(trace.RequestRejected, trace.Event{Request: r.ID, Class: r.Class, Connection: c.fd, Status: status, Reason: reason})
	}
}

// serveInternalPath serves the balancer's own paths.
func (c *conn) serveInternalPath(path, method string) {
	switch {
	case path != readinessPath:
		c.reject(http1.StatusNotFound)
	case method != http1.MethodGet:
		c.reject(http1.StatusMethodNotAllowed)
	case c.server.shuttingDown() || !c.server.Options.Synced():
		c.server.counters.readinessChecks.Inc()
		c.writer.respond(http1.ResponseHead{Status: http1.StatusServiceUnavailable}, nil)
	default:
		c.server.counters.readinessChecks.Inc()
		c.writer.respond(http1.ResponseHead{Status: http1.StatusOK}, nil)
	}
}

// reject answers a request without an exchange: it is malformed, not allowed, too slow, or incomplete in a shutdown.
func (c *conn) reject(status int) { c.rejectWith(http1.ResponseHead{Status: status}) }

// rejectAndClose is reject where nothing behind the request can be read.
func (c *conn) rejectAndClose(status int) {
	c.rejectWith(http1.ResponseHead{Status: status, Close: true})
}

func (c *conn) rejectWith(head http1.ResponseHead) {
	c.server.counters.requestsMalformed.Inc()
	c.stopReading()
	c.writer.respond(head, nil)
}
