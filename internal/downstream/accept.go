package downstream

import (
	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/trace"
)

// Ready accepts the connections in the listener's queue.
func (s *Server) Ready(uint32) { s.accept(maxAcceptsPerTurn) }

// accept accepts at most so many connections, and reports whether the listener's queue is empty or closed. Clients regard what
// is in the queue as accepted, so it is emptied even when the table is full: into overflow connections, whose requests are
// rejected.
func (s *Server) accept(limit int) (emptied bool) {
	for range limit {
		if s.listener < 0 {
			return true
		}
		if s.overflowConns >= s.OverflowLimit && !s.shedLeastRecentlyActive(minInactivityUnderPressure) {
			s.pauseAccepting()
			return false
		}
		fd, err := s.Loop.Accept(s.listener)
		if err == unix.EAGAIN {
			s.queuedSince = 0
			return true
		}
		if err != nil { // no descriptor or memory in the kernel: retried after the pause
			s.pauseAccepting()
			return false
		}
		s.startConn(fd)
	}
	return false
}

// startConn begins to serve an accepted connection.
func (s *Server) startConn(fd int) {
	s.counters.connectionsAccepted.Inc()
	if s.Trace.Enabled() {
		s.Trace.Write(trace.ConnectionAccepted, trace.Event{Connection: fd})
	}
	inTable := s.quota.Acquire()
	c := newConn(s, fd)
	if !inTable {
		c.overflow = true
		s.overflowConns++
	}
	c.startReading()
	if err := s.Loop.Add(fd, loop.Readable|loop.HangUp, c); err != nil {
		c.unregister()
		s.Loop.Close(fd)
		return
	}
	if s.queuedSince != 0 {
		s.Loop.MarkUnreadSince(fd, s.queuedSince)
	}
	c.Ready(loop.Readable) // the request is often there already
}

// pauseAccepting leaves new connections in the listener's queue for acceptRetryInterval.
func (s *Server) pauseAccepting() {
	s.counters.acceptPauses.Inc()
	if s.queuedSince == 0 {
		s.queuedSince = s.Loop.EarliestArrival()
	}
	s.Loop.Watch(s.listener, 0)
	s.Loop.After(acceptRetryInterval, func() {
		if s.listener >= 0 {
			s.Loop.Watch(s.listener, loop.Readable)
		}
	})
}

// promoteFromOverflow moves an overflow connection into the table, and reports whether there was capacity for it.
func (c *conn) promoteFromOverflow() bool {
	if !c.server.quota.Acquire() {
		return false
	}
	c.overflow = false
	c.server.overflowConns--
	return true
}
