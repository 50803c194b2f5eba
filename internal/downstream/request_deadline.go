package downstream

import (
	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
)

// The time that a client gives a request counts from its last byte. While a streamed body is being received, the server can't tell
// whether the client has already sent that byte if it has not read all bytes that have arrived: it stops reading while the upstream
// does not take the body, or while there is no buffer. The deadline of the request then counts from the earliest time at which the
// unread bytes may have arrived. If no bytes are unread, the client is still sending, and its time has not begun.

// Deadline returns the time by which the response to a request with an incomplete body has to be sent, as far as it is known now.
func (c *conn) Deadline(x *exchange.Exchange) balance.Millis {
	return min(x.RespondBy, c.server.Loop.EarliestArrivalAt(c.fd)+c.responseTime(x.Message.(*http1.Request)))
}

// scheduleDeadlineCheck schedules the next call of checkDeadline after a duration in milliseconds.
func (s *requestStream) scheduleDeadlineCheck(after balance.Millis) {
	s.deadlineTimer = s.conn.server.Loop.After(max(after, minDeadlineCheckInterval), s.checkDeadline)
}

// stopDeadlineCheck cancels the next call of checkDeadline, if one is scheduled.
func (s *requestStream) stopDeadlineCheck() {
	s.conn.server.Loop.Timers.Stop(s.deadlineTimer)
	s.deadlineTimer = nil
}

// checkDeadline ends the request if its deadline has passed. Otherwise it schedules its next call.
func (s *requestStream) checkDeadline() {
	c := s.conn
	l := c.server.Loop
	x := c.pending.exchange
	request := x.Message.(*http1.Request)
	if l.IdleOpen(c.fd) {
		if s.waiting { // bytes that arrive from now on stay unread
			l.MarkUnreadSince(c.fd, l.Now())
		}
		s.scheduleDeadlineCheck(c.responseTime(request))
		return
	}
	if remaining := c.Deadline(x) - l.Now(); remaining > 0 {
		s.scheduleDeadlineCheck(remaining)
		return
	}
	c.reader.receivedAt = l.EarliestArrivalAt(c.fd)
	c.startDeadline(x, request)
	c.server.counters.requestsExpired.Inc()
	c.server.handler.RequestExpired(x)
}
