package downstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
)

// responseStream is the state of a connection on which a streamed response is written while its body is
// still being received from the upstream. The connection's responseWriter does the writing and holds the unsent part of the head.
type responseStream struct {
	conn         *conn
	stream       *bodystream.Stream // nil in all other states
	encoder      *http1.BodyEncoder
	blocked      bool           // the client has not read enough for more bytes of the response to be sent
	lastProgress balance.Millis // time at which the kernel last accepted bytes of the response
}

// active reports whether a streamed response is being written.
func (s *responseStream) active() bool { return s.stream != nil }

// start starts to write a streamed response to a request.
// HTTP/1.0 has no chunked transfer coding, so a response of unknown length to an HTTP/1.0 request ends with the connection.
func (s *responseStream) start(stream *bodystream.Stream, r *http1.Request) {
	c := s.conn
	c.checkMayRespond()
	if c.closed() {
		stream.Abandon()
		return
	}
	invariant.Check(!c.requestStream.active(), "a streamed response starts after the request is complete")
	c.reader.decoder.ReleaseBody() // the exchange keeps the values of the head
	unknownLength := stream.Length < 0
	chunked := unknownLength && !r.HTTP10
	c.writer.closeAfter = c.writer.closeAfter || c.shouldClose() || unknownLength && r.HTTP10
	c.server.counters.responses[http1.StatusOK].Inc()
	head := http1.StreamedResponseHead{ContentLength: stream.Length, Chunked: chunked, Close: c.writer.closeAfter}
	c.writer.setUnsent(http1.AppendStreamedResponseHead(c.reader.takeUnsentContinue(), head))
	c.state = s
	s.stream = stream
	s.encoder = http1.NewBodyEncoder(stream, chunked)
	s.blocked = false
	s.lastProgress = c.server.Loop.Now()
	stream.OnReadable(c.writer.write)
	c.startTimer(responseWriteTimeout, func(c *conn) { c.responseStream.checkProgress() })
	c.writer.write()
}

func (s *responseStream) ready(events uint32) {
	if events&(loop.HangUp|loop.Failed) != 0 {
		s.conn.fail(reasonConnectionBroken)
		return
	}
	s.conn.writer.write()
}

// block records that the client has not read enough for more bytes of the response to be sent. No more bytes are received
// from the upstream until unblock is called. block has no effect if no streamed response is being written.
func (s *responseStream) block() {
	if s.active() {
		s.blocked = true
		s.stream.BlockReader()
	}
}

// unblock records that more bytes of the response can be sent.
func (s *responseStream) unblock() {
	s.blocked = false
	s.stream.UnblockReader()
}

// checkProgress closes a connection whose client has read nothing for responseWriteTimeout although more of the response may be sent.
func (s *responseStream) checkProgress() {
	c := s.conn
	remaining := s.lastProgress + responseWriteTimeout - c.server.Loop.Now()
	if remaining > 0 || len(c.writer.next()) == 0 && !s.blocked {
		c.startTimer(max(remaining, stallCheckInterval), func(c *conn) { c.responseStream.checkProgress() })
		return
	}
	c.writer.timedOut()
}

// finish is called when all bytes that the stream holds have been written.
// It reports whether the response is complete. If the stream has ended before the end of the body, it closes the connection.
func (s *responseStream) finish() (complete bool) {
	c := s.conn
	switch {
	case s.encoder.Done():
		s.stream = nil
		s.encoder = nil
		return true
	case s.stream.State() == bodystream.Incomplete: // by the close the client detects that the response is truncated
		c.fail(reasonResponseTruncated)
	case c.server.Loop.CanWrite(c.fd):
		c.server.Loop.Watch(c.fd, loop.HangUp)
		c.writer.blockedSince = 0
		s.unblock()
	default:
		c.writer.watchWritable()
		s.block()
	}
	return false
}

// abandon ends the stream of the response, if there is one.
func (s *responseStream) abandon() {
	if stream := s.stream; stream != nil {
		s.stream = nil
		s.encoder = nil
		stream.Abandon()
	}
}
