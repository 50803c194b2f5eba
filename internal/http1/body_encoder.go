package http1

import (
	"strconv"

	"salttrack/internal/bodystream"
)

// lastChunk ends a chunked body that has no trailer fields.
const lastChunk = "0\r\n\r\n"

// BodyEncoder encodes a streamed body without copying it, either unchanged or with chunked transfer coding.
type BodyEncoder struct {
	stream    *bodystream.Stream
	chunked   bool
	framing   []byte // chunk framing (chunk size line, CRLF, last chunk) that has not been written yet
	remaining int    // unwritten bytes of the current chunk, or of the current part of a body without chunks
	ended     bool   // the end of the body has been encoded
}

// NewBodyEncoder returns an encoder for the body that is read from a stream.
func NewBodyEncoder(stream *bodystream.Stream, chunked bool) *BodyEncoder {
	return &BodyEncoder{stream: stream, chunked: chunked}
}

// Next returns the next bytes to write, or an empty slice if the stream has none at present.
// The slice is valid until the next call of Advance.
func (e *BodyEncoder) Next() []byte {
	if e.remaining == 0 && !e.ended {
		e.startPart()
	}
	if len(e.framing) > 0 {
		return e.framing
	}
	p := e.stream.Peek()
	return p[:min(len(p), e.remaining)]
}

// startPart starts a chunk, or a part of a body without chunks, with the bytes that the stream holds.
// At the end of a complete stream it adds the last chunk.
func (e *BodyEncoder) startPart() {
	e.remaining = len(e.stream.Peek())
	switch {
	case e.remaining > 0 && e.chunked:
		e.framing = strconv.AppendInt(e.framing, int64(e.remaining), 16)
		e.framing = append(e.framing, lineEnd...)
	case e.remaining == 0 && e.stream.State() == bodystream.Complete:
		e.ended = true
		if e.chunked {
			e.framing = append(e.framing, lastChunk...)
		}
	}
}

// Advance records that the first n bytes of the slice that Next returned have been written.
func (e *BodyEncoder) Advance(n int) {
	if len(e.framing) > 0 {
		e.framing = e.framing[n:]
		return
	}
	e.remaining -= n
	if e.remaining == 0 && e.chunked {
		e.framing = append(e.framing, lineEnd...)
	}
	e.stream.Consume(n)
}

// Done reports whether the whole body has been written.
func (e *BodyEncoder) Done() bool { return e.ended && len(e.framing) == 0 }
