package downstream

import (
	"slices"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/shutdown"
)

// shuttingDown reports whether a shutdown has begun.
func (s *Server) shuttingDown() bool { return s.drain.schedule.Started() }

// rejectsNewRequests reports whether a request that becomes complete now has to be rejected.
// That is so when a shutdown leaves too little time for its response.
func (s *Server) rejectsNewRequests() bool { return s.drain.schedule.RejectsAt(s.Loop.Now()) }

// Shutdown starts a graceful shutdown.
// Responses announce the end of their connections, and new connections are accepted until StopAccept of the schedule.
// The function done is called when the listener and all connections are closed, and at ExitBy at the latest.
// Further calls have no effect.
func (s *Server) Shutdown(schedule shutdown.Schedule, done func()) {
	if s.shuttingDown() {
		return
	}
	s.drain.done = done
	s.applySchedule(schedule)
}

// ShutdownWithSuccessor starts a graceful shutdown like Shutdown, but closes the listening socket of this process at once.
// It is for a process whose successor accepts connections from the same listener.
func (s *Server) ShutdownWithSuccessor(schedule shutdown.Schedule, done func()) {
	if s.shuttingDown() {
		return
	}
	s.closeListener()
	s.Shutdown(schedule, done)
}

// applySchedule applies a shutdown schedule and sets its timers. It replaces the previous schedule.
func (s *Server) applySchedule(schedule shutdown.Schedule) {
	s.stopPhaseTimers()
	s.drain.schedule = schedule
	s.handler.SetShutdownDeadline(schedule.RespondBy)
	for _, phase := range []struct {
		at balance.Millis
		do func()
	}{
		{schedule.CloseIdle, s.closeIdle},
		{schedule.StopAccept, s.stopAccepting},
		{schedule.StopAccept, s.reportPhase},
		{schedule.RejectFrom, s.rejectIncomplete},
		{schedule.RejectFrom, s.reportPhase},
		{schedule.RespondBy, s.reportPhase},
		{schedule.ExitBy, s.endShutdown},
	} {
		s.drain.phaseTimers = append(s.drain.phaseTimers, s.Loop.Timers.Set(phase.at, phase.do))
	}
	s.endIfIdle()
}

// stopAccepting accepts all connections in the listener's queue and closes the listener.
// Clients regard connections in the queue as established, and the close would reset them.
// StopQueueing keeps new connections out of the queue. So none enters it between the last accept and the close,
// even if the process is suspended in between.
func (s *Server) stopAccepting() {
	if s.listener >= 0 {
		s.Loop.StopQueueing(s.listener)
	}
	if s.listener >= 0 && !s.accept(maxAcceptsAtShutdown) && s.drain.schedule.PhaseAt(s.Loop.Now()) < shutdown.Ended {
		s.Loop.After(listenerCloseRetryInterval, s.stopAccepting)
		return
	}
	s.closeListener()
	s.closeIdle()
	s.endIfIdle()
}

// endIfIdle ends the shutdown if the listener and all connections are closed. The end is deferred by a timer,
// since the caller that has closed the last connection may still have to report the outcome of its request.
func (s *Server) endIfIdle() {
	if s.drain.done != nil && s.listener < 0 && len(s.conns) == 0 {
		s.drain.phaseTimers = append(s.drain.phaseTimers, s.Loop.After(0, s.endShutdown))
	}
}

// endShutdown ends the shutdown and calls its done function. It does nothing if the shutdown has already ended.
func (s *Server) endShutdown() {
	done := s.drain.done
	if done == nil {
		return
	}
	s.drain.done = nil
	s.stopPhaseTimers()
	done()
}

// reportPhase calls OnPhase with the current phase of the shutdown.
func (s *Server) reportPhase() {
	if s.OnPhase != nil {
		s.OnPhase(s.drain.schedule.PhaseAt(s.Loop.Now()), len(s.conns))
	}
}

func (s *Server) stopPhaseTimers() {
	for _, t := range s.drain.phaseTimers {
		s.Loop.Timers.Stop(t)
	}
	s.drain.phaseTimers = nil
}

// Close closes the listener and all remaining connections.
func (s *Server) Close() {
	s.closeListener()
	for _, c := range s.connsByDescriptor(func(*conn) bool { return true }) {
		c.close(reasonShutdownCompleted)
	}
	s.Loop.Timers.Stop(s.resumeQueue.timer)
}

// closeIdle closes the idle connections that have already served a request.
// New connections stay open, since their first request is probably in transit.
// Clients retry a request that fails on a reused connection, but not a first request on a new one.
func (s *Server) closeIdle() {
	for e := s.readingConns.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.responded && c.reader.idle() && s.Loop.IdleOpen(c.fd) {
			c.close(reasonShutdownIdle)
		}
	}
}

// rejectIncomplete ends all connections without a complete request when the shutdown leaves too little time for a response.
// Partial requests are rejected with status 503. No upstream has executed them, so clients can safely retry them elsewhere.
// Connections on which no part of a request has arrived are closed.
func (s *Server) rejectIncomplete() {
	for e := s.readingConns.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		switch {
		case c.reader.decoder.Started():
			c.rejectAndClose(http1.StatusServiceUnavailable)
		case c.reader.idle() && s.Loop.IdleOpen(c.fd):
			c.close(reasonShutdownNoRequest)
		}
	}
	for _, c := range s.connsByDescriptor(func(c *conn) bool { return c.requestStream.active() }) {
		if c.requestStream.active() {
			c.requestStream.reject(http1.StatusServiceUnavailable)
		}
	}
}

// connsByDescriptor returns the connections that match a condition, sorted by descriptor.
func (s *Server) connsByDescriptor(match func(*conn) bool) []*conn {
	var matching []*conn
	for c := range s.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	slices.SortFunc(matching, func(a, b *conn) int { return a.fd - b.fd })
	return matching
}
