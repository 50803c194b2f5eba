package downstream

import (
	"math"

	"salttrack/balance"
	"salttrack/internal/http1"
)

// shedIdle closes the least recently active connection that has been inactive for minInactivity or longer and may be closed.
// It reports whether it has closed one.
func (s *Server) shedIdle() bool { return s.shedLeastRecentlyActive(minInactivity) }

// shedLeastRecentlyActive closes the least recently active connection that may be closed, and reports whether it has closed one.
// An idle connection may be closed after minIdle.
// Clients have to expect a close at any time, but soon after a response the next request is likely to be in transit.
// On a new connection the first request is even more likely to be in transit, and after a partial request so is its rest.
// These connections may therefore be closed only after a longer time.
func (s *Server) shedLeastRecentlyActive(minIdle balance.Millis) bool {
	now := s.Loop.Now()
	for e := s.readingConns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		inactivity := now - c.reader.lastActivity
		if c.overflow == nil && inactivity >= c.reader.minInactivityBeforeShed(minIdle) && len(c.reader.unread.bytes) == 0 && s.Loop.IdleOpen(c.fd) {
			s.counters.connectionsShed.Inc()
			c.close(reasonShed)
			return true
		}
		if inactivity < minIdle {
			return false
		}
	}
	return false
}

// minInactivityBeforeShed returns how long a connection has to be inactive before it may be closed to free its descriptor.
// For an idle connection it is minIdle.
func (r *requestReader) minInactivityBeforeShed(minIdle balance.Millis) balance.Millis {
	switch {
	case r.decoder.Started():
		return minInactivityPartialRequest
	case !r.conn.responded:
		return minInactivity
	}
	return minIdle
}

// shedOverflow closes the overflow connection that was accepted first, of those that may be closed. It reports whether it has closed one.
// Connections that wait in the listener's queue then get their answers in time. The rejection that is written to an incomplete request
// may be lost, as nothing was forwarded.
func (s *Server) shedOverflow() bool {
	now := s.Loop.Now()
	for e := s.overflow.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now-c.acceptedAt < overflowTurn {
			return false
		}
		if now-c.acceptedAt < c.overflowTurn() || !s.Loop.IdleOpen(c.fd) {
			continue
		}
		if c.reader.listElement != nil && c.reader.decoder.Started() {
			s.counters.overflowRejected.Inc()
			head := http1.ResponseHead{Status: http1.StatusServiceUnavailable, Close: true}
			s.Loop.Write(c.fd, http1.AppendResponse(c.reader.takeUnsentContinue(), head, nil))
		}
		s.counters.connectionsShed.Inc()
		c.close(reasonNoDescriptor)
		return true
	}
	return false
}

// overflowTurnOver reports whether the connection has kept others waiting for overflowTurn, although it has sent requests all the time.
// All requests that were read have their responses when its next request is incomplete, and the rejection of that one announces the
// close.
func (c *conn) overflowTurnOver() bool {
	s := c.server
	return c.overflow != nil && s.queuedSince != 0 && s.Loop.Now()-c.acceptedAt >= overflowTurn
}

// rejectOverflow rejects the incomplete request of an overflow connection and closes the connection.
func (c *conn) rejectOverflow() {
	c.server.counters.overflowRejected.Inc()
	c.stopReading()
	c.respondDirectly(http1.ResponseHead{Status: http1.StatusServiceUnavailable, Close: true})
}

// overflowTurn returns the time for which the connection may keep others waiting, from its accept.
func (c *conn) overflowTurn() balance.Millis {
	switch {
	case len(c.reader.unread.bytes) > 0, c.pending.exchange != nil:
		return math.Inf(1)
	case c.reader.listElement == nil && !c.linger.started:
		return overflowWriteTurn
	case c.reader.listElement != nil && !c.reader.decoder.Started():
		return overflowSilentTurn
	}
	return overflowTurn
}
