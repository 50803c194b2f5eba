package downstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
)

// responseStream is the state of a connection on which a response is passed on while the upstream still sends it. The head is
// written by the connection's responseWriter.
type responseStream struct {
	conn         *conn
	stream       *bodystream.Stream // nil in all other states
	encoder      *http1.BodyEncoder
	lastProgress balance.Millis // when the client last read a part of it
}

// active reports whether a response is being passed on.
func (s *responseStream) active() bool { return s.stream != nil }

// start begins a streamed response to a request. A client of HTTP/1.0 knows no chunks: without a length its response ends with
// the connection.
func (s *responseStream) start(stream *bodystream.Stream, r *http1.Request) {
	c := s.conn
	c.checkMayRespond()
	invariant.Check(!c.upload.active(), "a streamed response follows a complete request")
	unknownLength := stream.Length < 0
	chunked := unknownLength && !r.HTTP10
	c.writer.closeAfter = c.writer.closeAfter || c.shouldClose() || unknownLength && r.HTTP10
	c.server.counters.responses[http1.StatusOK].Inc()
	head := http1.StreamedResponseHead{ContentLength: stream.Length, Chunked: chunked, Close: c.writer.closeAfter}
	c.writer.unsent = http1.AppendStreamedResponseHead(c.reader.popUnsentContinue(), head)
	c.state = s
	s.stream = stream
	s.encoder = http1.NewBodyEncoder(stream, chunked)
	s.lastProgress = c.server.Loop.Now()
	stream.OnReadable(c.writer.write)
	c.startTimer(responseWriteTimeout, s.checkProgress)
	c.writer.write()
}

func (s *responseStream) ready(events uint32) {
	if events&(loop.Hup|loop.Error) != 0 {
		s.conn.fail(reasonConnectionBroken)
		return
	}
	s.conn.writer.write()
}

// checkProgress closes a connection whose client does not read a response that is there.
func (s *responseStream) checkProgress() {
	c := s.conn
	rest := s.lastProgress + responseWriteTimeout - c.server.Loop.Now()
	if rest > 0 || len(c.writer.next()) == 0 {
		c.startTimer(max(rest, stallCheckInterval), s.checkProgress)
		return
	}
	c.writer.timedOut()
}

// finish handles that all received bytes of the stream are written, and reports whether the response is complete.
func (s *responseStream) finish() (complete bool) {
	c := s.conn
	switch {
	case s.encoder.Done():
		s.stream = nil
		s.encoder = nil
		return true
	case s.stream.State() == bodystream.Incomplete: // the close shows the client that the response is truncated
		c.fail(reasonResponseTruncated)
	default:
		c.server.Loop.Watch(c.fd, loop.Hup)
	}
	return false
}

// abandon stops passing the response on, if there is one.
func (s *responseStream) abandon() {
	if stream := s.stream; stream != nil {
		s.stream = nil
		s.encoder = nil
		stream.Abandon()
	}
}
