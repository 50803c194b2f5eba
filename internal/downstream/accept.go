package downstream

import (
	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/memory"
	"salttrack/internal/trace"
)

// Ready accepts connections when the listening socket is ready. It implements loop.Handler.
func (s *Server) Ready(uint32) { s.accept(maxAcceptsPerTurn) }

// accept accepts up to limit connections. It reports whether the listener's queue is empty or the listener is closed.
// Clients regard connections in the queue as established, so these are accepted even when the descriptor quota is exhausted.
// They then become overflow connections, whose requests are rejected unless a descriptor has become available.
func (s *Server) accept(limit int) (emptied bool) {
	for range limit {
		if s.listener < 0 {
			return true
		}
		if s.overflow.Len() >= s.OverflowLimit && !s.shedLeastRecentlyActive(minInactivityUnderPressure) && !s.shedOverflow() {
			s.pauseAccepting()
			return false
		}
		fd, err := s.Loop.Accept(s.listener)
		if err == unix.EAGAIN {
			s.queuedSince = 0
			return true
		}
		if err != nil { // the kernel lacks descriptors or memory; the accept is retried after the pause
			s.pauseAccepting()
			return false
		}
		s.startConn(fd)
	}
	return false
}

// startConn starts to serve an accepted connection.
func (s *Server) startConn(fd int) {
	s.counters.connectionsAccepted.Inc()
	if s.Trace.Enabled() {
		s.Trace.Write(trace.ConnectionAccepted, trace.Event{Connection: fd})
	}
	withinQuota := !s.Memory.Full(memory.Connections) && s.quota.Acquire()
	c := newConn(s, fd)
	if !withinQuota {
		c.overflow = s.overflow.PushBack(c)
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
	c.Ready(loop.Readable) // the first request has often been received already
}

// pauseAccepting stops accepting connections for acceptRetryInterval. New connections stay in the listener's queue.
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

// promoteFromOverflow turns an overflow connection into a regular one if the descriptor quota allows it.
// It reports whether it has done so.
func (c *conn) promoteFromOverflow() bool {
	if c.server.Memory.Full(memory.Connections) || !c.server.quota.Acquire() {
		return false
	}
	c.leaveOverflow()
	return true
}

// leaveOverflow ends the time of a connection as an overflow connection.
func (c *conn) leaveOverflow() {
	c.server.overflow.Remove(c.overflow)
	c.overflow = nil
}
