package downstream

import (
	"cmp"
	"slices"

	"salttrack/balance"
	"salttrack/internal/http1"
)

// minUnreadTime is how long, in ms, a client has to have read nothing of its response before it counts as not reading.
const minUnreadTime balance.Millis = 1000

// maxClosedForMemory is the largest number of connections that one call closes. What their upstreams hold for them is free only later, so the
// caller has to compare again.
const maxClosedForMemory = 32

// sheddingOrder tells which connections are closed first for lack of memory.
type sheddingOrder uint8

const (
	incompleteRequest sheddingOrder = iota // rejected; it was not forwarded as a whole
	unreadResponse                         // the client has read nothing for minUnreadTime
	slowlyRead                             // the client reads its response slowly
	notShed
)

// CloseIncompleteRequests rejects incomplete requests and closes their connections, until a number of bytes is free or as many as allowed
// are closed. Those come first whose clients have been inactive for the longest time.
func (s *Server) CloseIncompleteRequests(bytes int) { s.closeForMemory(bytes, incompleteRequest) }

// CloseSlowClients closes connections like CloseIncompleteRequests, and then those whose clients read their responses slowly.
func (s *Server) CloseSlowClients(bytes int) { s.closeForMemory(bytes, slowlyRead) }

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
			c.rejectForMemory()
		}
		c.close(reasonNoMemory)
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
	blocked := c.writer.blockedSince
	switch {
	case c.requestStream.active(), c.reader.listElement != nil && c.reader.decoder.Started():
		return incompleteRequest
	case blocked == 0:
		return notShed
	case c.server.Loop.Now()-blocked >= minUnreadTime:
		return unreadResponse
	}
	return slowlyRead
}

// inactiveSince returns the time at which the client last sent or read something.
func (c *conn) inactiveSince() balance.Millis {
	if c.writer.blockedSince != 0 {
		return c.writer.blockedSince
	}
	return c.reader.lastActivity
}

// rejectForMemory ends an incomplete request, and writes a rejection that the client may lose, as the connection is closed right after.
func (c *conn) rejectForMemory() {
	c.server.counters.memoryRejected.Inc()
	if c.requestStream.active() {
		c.abandonExchange()
	}
	if c.closed() {
		return
	}
	head := http1.ResponseHead{Status: http1.StatusServiceUnavailable, Close: true}
	c.server.Loop.Write(c.fd, http1.AppendResponse(c.reader.takeUnsentContinue(), head, nil))
}
