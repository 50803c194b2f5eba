package downstream

import (
	"cmp"
	"slices"

	"salttrack/balance"
	"salttrack/internal/http1"
)

// minUnreadTime is how long, in ms, a client has to have read nothing of its response before the connection may be closed for lack of
// memory.
const minUnreadTime balance.Millis = 2000

// maxClosedForMemory is the largest number of connections that one call closes or rejects requests of. What their upstreams hold for them is free only later, so the
// caller has to compare again.
const maxClosedForMemory = 32

// sheddingOrder tells which connections are closed first for lack of memory.
type sheddingOrder uint8

const (
	incompleteRequest sheddingOrder = iota // rejected; it was not forwarded as a whole
	unreadResponse                         // the client has read nothing for minUnreadTime
	notShed
)

// RejectIncompleteRequests rejects incomplete requests, until a number of bytes is free or as many as allowed are rejected. Those come first
// whose clients have sent nothing for the longest time.
func (s *Server) RejectIncompleteRequests(bytes int) { s.closeForMemory(bytes, incompleteRequest) }

// CloseStalledClients rejects requests like RejectIncompleteRequests, and then closes the connections whose clients have read nothing of
// their responses for the longest time.
func (s *Server) CloseStalledClients(bytes int) { s.closeForMemory(bytes, unreadResponse) }

func (s *Server) closeForMemory(bytes int, last sheddingOrder) {
	closable := s.closableForMemory(last)
	for _, c := range closable[:min(len(closable), maxClosedForMemory)] {
		if bytes <= 0 {
			return
		}
		if c.closed() { // by the end of another connection's exchange
			continue
		}
		before := s.Loop.BufferedBytes(c.fd) + s.Memory.Total()
		s.counters.memoryClosed.Inc()
		if c.sheddingOrder() == incompleteRequest {
			c.rejectIncompleteForMemory()
		} else {
			c.close(reasonNoMemory)
		}
		bytes -= before - s.Memory.Total()
	}
}

// closableForMemory returns the connections that may be closed for lack of memory, the first to be closed first.
func (s *Server) closableForMemory(last sheddingOrder) []*conn {
	var closable []*conn
	for c := range s.conns {
		if c.sheddingOrder() <= last {
			closable = append(closable, c)
		}
	}
	slices.SortFunc(closable, func(a, b *conn) int {
		return cmp.Or(
			cmp.Compare(a.sheddingOrder(), b.sheddingOrder()),
			cmp.Compare(a.inactiveSince(), b.inactiveSince()),
			cmp.Compare(a.fd, b.fd))
	})
	return closable
}

// sheddingOrder returns when the connection is closed for lack of memory.
func (c *conn) sheddingOrder() sheddingOrder {
	blockedSince := c.writer.blockedSince
	switch {
	case c.requestStream.active(), c.reader.listElement != nil && c.reader.decoder.Started():
		return incompleteRequest
	case blockedSince != 0 && c.server.Loop.Now()-blockedSince >= minUnreadTime:
		return unreadResponse
	}
	return notShed
}

// inactiveSince returns the time at which the client last read something of its response, or sent something of its request.
func (c *conn) inactiveSince() balance.Millis {
	if c.writer.blockedSince != 0 {
		return c.writer.blockedSince
	}
	return c.reader.lastActivity
}

// rejectIncompleteForMemory rejects the incomplete request of the connection, which ends once the client has the response: the client may have
// sent the rest already.
func (c *conn) rejectIncompleteForMemory() {
	c.server.counters.memoryRejected.Inc()
	if c.requestStream.active() {
		c.requestStream.reject(http1.StatusServiceUnavailable)
		return
	}
	c.rejectAndClose(http1.StatusServiceUnavailable)
}
