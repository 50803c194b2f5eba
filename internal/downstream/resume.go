package downstream

import (
	"container/list"

	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

// resumeQueue holds the connections whose unread bytes are decoded in later turns of the event loop, the longest waiting first.
// All connections together get maxRequestsPerTurn requests in one turn, so that hundreds of clients that pipeline hundreds of
// requests do not delay the others.
type resumeQueue struct {
	conns    list.List    // of *conn
	timer    *timer.Timer // calls Server.resumeQueued in the next turn; nil if no call is scheduled
	turn     uint64       // turn of the loop in which requests were last decoded
	requests int          // number of requests that were decoded in that turn
}

// admits counts a request that is about to be decoded. It reports false if the turn has had its number of requests.
func (q *resumeQueue) admits(turn uint64) bool {
	if q.turn != turn {
		q.turn = turn
		q.requests = 0
	}
	q.requests++
	return q.requests <= maxRequestsPerTurn
}

// resume decodes the bytes that were received after the request whose response has just been sent.
// A response may be sent while the request is still being decoded, which calls resume again.
// That call returns at once and the outer call continues, so that hundreds of pipelined requests do not cause deep recursion.
func (r *requestReader) resume() {
	if r.resuming || r.resumeElement != nil {
		return
	}
	s := r.conn.server
	r.resuming = true
	for n := 0; len(r.unread.bytes) > 0 && r.listElement != nil; n++ {
		if n == maxRequestsPerResume || !s.resumeQueue.admits(s.Loop.Turns()) {
			r.enterResumeQueue()
			break
		}
		r.decodeOwned(r.unread.take())
	}
	r.resuming = false
}

// enterResumeQueue makes a later turn of the loop call resume. Until then nothing is read, as it would overtake the unread bytes.
// Overflow connections come first, as others may wait for their descriptors in the listener's queue.
func (r *requestReader) enterResumeQueue() {
	s := r.conn.server
	s.Loop.Watch(r.conn.fd, loop.HangUp)
	if r.conn.overflow != nil {
		r.resumeElement = s.resumeQueue.conns.PushFront(r.conn)
	} else {
		r.resumeElement = s.resumeQueue.conns.PushBack(r.conn)
	}
	s.scheduleResume()
}

// leaveResumeQueue removes the connection from the queue, if it is in it.
func (r *requestReader) leaveResumeQueue() {
	if r.resumeElement != nil {
		r.conn.server.resumeQueue.conns.Remove(r.resumeElement)
		r.resumeElement = nil
	}
}

// scheduleResume schedules a call of resumeQueued in the next turn of the loop.
func (s *Server) scheduleResume() {
	if s.resumeQueue.timer == nil {
		s.resumeQueue.timer = s.Loop.After(0, s.resumeQueued)
	}
}

// resumeQueued resumes the connections in the queue, as far as the turn has not had its number of requests.
func (s *Server) resumeQueued() {
	q := &s.resumeQueue
	q.timer = nil
	for range q.conns.Len() {
		if q.conns.Len() == 0 || q.turn == s.Loop.Turns() && q.requests >= maxRequestsPerTurn {
			break
		}
		c := q.conns.Front().Value.(*conn)
		c.reader.leaveResumeQueue()
		s.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
		c.reader.resume()
		s.Loop.Yield()
	}
	if q.conns.Len() > 0 {
		s.scheduleResume()
	}
}
