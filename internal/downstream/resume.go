package downstream

import (
	"container/list"

	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

// resumeQueue holds the connections whose unread bytes are decoded in later turns of the event loop, the longest waiting first.
// Overflow connections come before all others, as clients may wait for their descriptors in the listener's queue. All connections
// together get maxRequestsPerTurn requests in one turn, so that hundreds of clients that pipeline hundreds of requests do not delay the
// others.
type resumeQueue struct {
	overflow list.List    // of *conn
	regular  list.List    // of *conn
	timer    *timer.Timer // calls Server.resumeQueued in the next turn; nil if no call is scheduled
	turn     uint64       // turn of the loop in which requests were last decoded
	requests int          // number of requests that were decoded in that turn
}

// len returns the number of connections in the queue.
func (q *resumeQueue) len() int { return q.overflow.Len() + q.regular.Len() }

// front returns the first connection of a queue that is not empty.
func (q *resumeQueue) front() *conn {
	if e := q.overflow.Front(); e != nil {
		return e.Value.(*conn)
	}
	return q.regular.Front().Value.(*conn)
}

// push adds a connection and returns its element.
func (q *resumeQueue) push(c *conn) *list.Element {
	if c.overflow != nil {
		return q.overflow.PushBack(c)
	}
	return q.regular.PushBack(c)
}

// remove removes the element of a connection.
func (q *resumeQueue) remove(e *list.Element) {
	q.overflow.Remove(e) // has no effect if the element is in the other list
	q.regular.Remove(e)
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

// exhausted reports whether the turn has had its number of requests.
func (q *resumeQueue) exhausted(turn uint64) bool {
	return q.turn == turn && q.requests >= maxRequestsPerTurn
}

// hasTime reports whether the turn has had less than half of its number of requests, so that most of what is read can be decoded in it.
func (q *resumeQueue) hasTime(turn uint64) bool {
	return q.turn != turn || q.requests < maxRequestsPerTurn/2
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
		if n == r.maxRequestsPerResume() || !s.resumeQueue.admits(s.Loop.Turns()) {
			r.enterResumeQueue()
			break
		}
		r.decodeOwned(r.unread.take())
	}
	r.resuming = false
	r.conn.writer.flush()
}

// maxRequestsPerResume returns the number of requests that are decoded in one call of resume. An overflow connection may use all
// requests of a turn: the sooner it closes, the sooner others are accepted.
func (r *requestReader) maxRequestsPerResume() int {
	if r.conn.overflow != nil {
		return maxRequestsPerTurn
	}
	return maxRequestsPerResume
}

// enterResumeQueue makes a later turn of the loop call resume. Until then nothing is read, as it would overtake the unread bytes.
func (r *requestReader) enterResumeQueue() {
	s := r.conn.server
	s.Loop.Watch(r.conn.fd, loop.HangUp)
	r.resumeElement = s.resumeQueue.push(r.conn)
	s.scheduleResume()
}

// leaveResumeQueue removes the connection from the queue, if it is in it.
func (r *requestReader) leaveResumeQueue() {
	if r.resumeElement != nil {
		r.conn.server.resumeQueue.remove(r.resumeElement)
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
	for range q.len() {
		if q.len() == 0 || q.exhausted(s.Loop.Turns()) {
			break
		}
		c := q.front()
		c.reader.leaveResumeQueue()
		s.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
		c.reader.resume()
		s.Loop.Yield()
	}
	if q.len() > 0 {
		s.scheduleResume()
	}
}
