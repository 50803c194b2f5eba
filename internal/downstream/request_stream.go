package downstream

import (
	"bytes"

	"golang.org/x/sys/unix"

	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

// requestStream is the state of a connection that receives a streamed request body.
// The request is dispatched before its body is complete, and its response may also be sent before that.
type requestStream struct {
	conn          *conn
	stream        *bodystream.Stream // passes the body to the upstream connection; nil in all other states
	waiting       bool               // reading waits for buffer space
	deadlineTimer *timer.Timer       // runs checkDeadline
}

// active reports whether a streamed request body is being received.
func (s *requestStream) active() bool { return s.stream != nil }

// startRequestStream dispatches a request with a streamed body. The bytes in following have been received but not decoded yet.
func (c *conn) startRequestStream(following []byte) {
	c.stopReading()
	decoder := c.reader.decoder
	stream := bodystream.New(c.server.Buffers, decoder.ContentLength())
	stream.Prepend(decoder.StreamBodyTo(stream.Write))
	r := decoder.Request()
	r.Stream = stream
	stream.OnWritable(func() {
		if c.requestStream.stream == stream {
			c.requestStream.resume()
		}
	})
	c.server.counters.requestsStreamed.Inc()
	c.state = &c.requestStream
	c.requestStream.stream = stream
	c.requestStream.waiting = false
	c.reader.body = bodyProgress{started: true}
	c.startTimer(bodyProgressInterval, (*conn).requestTimedOut)
	complete := decoder.Complete()
	c.dispatch(r)
	switch {
	case !c.requestStream.active(): // the response has already been sent
	case complete:
		c.requestStream.complete(following)
	default:
		c.reader.sendContinue()
		c.requestStream.scheduleDeadlineCheck(c.responseTime(&r))
		stream.Flush()
	}
}

// ready reads bytes of the body. A close by the client ends the request even if its last bytes have not been read yet.
func (s *requestStream) ready(events uint32) {
	if events&(loop.HangUp|loop.Failed) != 0 {
		s.conn.clientDisconnected()
		return
	}
	s.read()
}

// read reads bytes of the body and writes them to the stream, as far as buffer space is available.
func (s *requestStream) read() {
	c := s.conn
	stream := s.stream
	for range maxReadsPerTurn {
		space := stream.Available()
		if space == 0 {
			s.pause()
			return
		}
		n, err := c.server.Loop.Read(c.fd, c.server.readBuffer[:min(space, readBufferBytes)])
		if err == unix.EAGAIN {
			stream.Flush()
			return
		}
		if err != nil || n == 0 {
			c.clientDisconnected()
			return
		}
		if !s.decode(c.server.readBuffer[:n]) {
			return
		}
		stream.Flush()
		if s.stream != stream { // during Flush the response was sent or the connection was closed
			return
		}
	}
}

// pause stops reading until the stream has space. Bytes that the client has sent may stay unread meanwhile.
func (s *requestStream) pause() {
	c := s.conn
	s.waiting = true
	c.reader.body.paused = true
	c.server.Loop.MarkUnreadSince(c.fd, c.server.Loop.EarliestArrivalAt(c.fd))
	c.server.Loop.Watch(c.fd, loop.HangUp)
}

// resume continues to read after a pause.
func (s *requestStream) resume() {
	if !s.waiting {
		return
	}
	c := s.conn
	s.waiting = false
	if c.server.Loop.IdleOpen(c.fd) {
		c.server.Loop.MarkRead(c.fd)
	}
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
}

// decode decodes bytes of the body. It reports whether more bytes have to be read.
// This is false if the body is complete or the request was rejected.
func (s *requestStream) decode(p []byte) bool {
	r := &s.conn.reader
	r.receivedAt = s.conn.server.Loop.EarliestArrivalAt(s.conn.fd)
	r.body.bytesSinceCheck += len(p)
	n, err := r.decoder.Feed(p)
	if err != nil {
		s.reject(http1.StatusOf(err))
		return false
	}
	if r.decoder.Complete() {
		s.complete(bytes.Clone(p[n:]))
		return false
	}
	return true
}

// complete ends the stream after the last byte of the body and sets the deadline that the client has given.
// The bytes in following were received after the body. If the client has gone, the last bytes are not forwarded,
// so that no upstream executes the request.
func (s *requestStream) complete(following []byte) {
	c := s.conn
	if c.server.Loop.PeerClosed(c.fd) {
		c.clientDisconnected()
		return
	}
	stream := s.detach()
	x := c.pending.exchange
	c.state = &c.pending
	c.reader.unread.append(following, c.reader.receivedAt)
	c.stopTimer()
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	c.startDeadline(x, x.Message.(*http1.Request))
	stream.Finish()
	if c.pending.exchange == x {
		c.server.handler.RequestComplete(x)
	}
}

// checkPaused records for the next bodyProgressInterval whether reading waits for buffer space.
// The flush may write to the upstream, which may end the exchange and close the connection, so the caller must do nothing after it.
func (s *requestStream) checkPaused() {
	s.conn.reader.body.paused = s.stream.Available() == 0
	s.stream.Flush()
}

// reject rejects a request whose body is incomplete and closes the connection after the response.
// An attempt that is in progress is aborted.
func (s *requestStream) reject(status int) {
	c := s.conn
	c.abandonExchange()
	c.rejectAndClose(status)
}

// abandon stops receiving the body because the response is about to be sent. It reports whether a body was being received.
func (s *requestStream) abandon() bool {
	stream := s.detach()
	if stream == nil {
		return false
	}
	stream.Abandon()
	return true
}

// detach ends the receiving of the body and returns its stream, nil if no body is being received.
func (s *requestStream) detach() *bodystream.Stream {
	stream := s.stream
	s.stream = nil
	s.stopDeadlineCheck()
	return stream
}
