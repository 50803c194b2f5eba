// Package bodystream passes the body of a message from the connection that receives it to the connection that sends it, through
// one buffer of fixed size. It provides backpressure in both directions: a side that can't continue is called back when it can.
// The package does no I/O. A stream is not safe for concurrent use: all its methods have to be called on one event loop.
package bodystream

import "salttrack/internal/invariant"

// State is the state of a stream.
type State uint8

// The states of a stream.
const (
	Streaming  State = iota // the writer has not ended the body yet
	Complete                // the writer has written the whole body; the reader may not have read all of it
	Incomplete              // the writer has ended the stream before the end of the body
	Abandoned               // the reader has ended the stream and discards the rest of the body
)

// Stream passes a body from one writer to one reader.
type Stream struct {
	Length int64 // length of the body in bytes, -1 if unknown

	pool           *BufferPool
	prepended      []byte // bytes that were received before the stream was created; they are read first
	onPrependedEnd func() // is called once when prepended is read or discarded
	buffer         []byte // borrowed from the pool; nil while the stream has no unread bytes in it
	start          int    // index of the first unread byte in buffer
	end            int    // index after the last unread byte in buffer
	state          State
	awaitingBuffer bool   // the stream is in the pool's queue
	bufferOffered  bool   // the pool has offered a buffer that the stream has not taken yet
	readerBlocked  bool   // the reader can't pass on any bytes at present
	onReadable     func() // may be nil
	onWritable     func() // may be nil
}

// New returns a stream for a body of the given length in bytes, -1 if unknown.
func New(p *BufferPool, length int64) *Stream { return &Stream{Length: length, pool: p} }

// Prepend sets the part of the body that was received before the stream was created. The stream takes ownership of p, and calls
// the function once p is read or discarded.
func (s *Stream) Prepend(p []byte, end func()) {
	s.prepended = p
	s.onPrependedEnd = end
	if len(p) == 0 {
		s.endPrepended()
	}
}

func (s *Stream) endPrepended() {
	s.prepended = nil
	if end := s.onPrependedEnd; end != nil {
		s.onPrependedEnd = nil
		end()
	}
}

// OnWritable sets the function that is called when Available may return more than before,
// or when the reader has abandoned the stream.
func (s *Stream) OnWritable(notify func()) { s.onWritable = notify }

// OnReadable sets the function that is called when there are bytes to read or the writer has ended the stream.
// A nil function removes the callback.
func (s *Stream) OnReadable(notify func()) { s.onReadable = notify }

func (s *Stream) notifyReader() {
	if s.onReadable != nil {
		s.onReadable()
	}
}

func (s *Stream) notifyWriter() {
	if s.onWritable != nil {
		s.onWritable()
	}
}

// State returns the state of the stream.
func (s *Stream) State() State { return s.state }

// BlockReader tells that the reader can't pass on bytes at present. Until UnblockReader, the stream takes no more bytes, so
// that a slow reader holds no buffer of the pool, which other streams may need.
func (s *Stream) BlockReader() { s.readerBlocked = true }

// UnblockReader tells that the reader can pass on bytes again. The writer is notified if the reader was blocked.
func (s *Stream) UnblockReader() {
	wasBlocked := s.readerBlocked
	s.readerBlocked = false
	if wasBlocked && s.state == Streaming && !s.awaitingBuffer {
		s.notifyWriter()
	}
}

// Available returns how many bytes may be written now.
// If it returns 0 while the stream is in the state Streaming, the OnWritable function is called when there may be space again.
func (s *Stream) Available() int {
	if s.state != Streaming || len(s.prepended) > 0 || s.readerBlocked {
		return 0
	}
	if s.buffer == nil {
		s.acquireBuffer()
	} else {
		s.compact()
	}
	return len(s.buffer) - s.end
}

// acquireBuffer takes a buffer from the pool. If the pool has none left, it enters the stream into the pool's queue.
func (s *Stream) acquireBuffer() {
	s.bufferOffered = false
	s.buffer = s.pool.get()
	if s.buffer == nil && !s.awaitingBuffer {
		s.awaitingBuffer = true
		s.pool.enqueue(s)
	}
}

// compact moves the unread bytes to the front of the buffer if they fill at most half of it and end in its second half.
func (s *Stream) compact() {
	half := len(s.buffer) / 2
	if s.start > 0 && s.end >= half && s.end-s.start <= half {
		s.end = copy(s.buffer, s.buffer[s.start:s.end])
		s.start = 0
	}
}

// Write appends p, which must not be longer than Available has returned.
// The reader is notified by Flush, not by Write. Write does nothing after the stream has ended.
func (s *Stream) Write(p []byte) {
	if s.state != Streaming {
		return
	}
	invariant.Check(s.buffer != nil && len(p) <= len(s.buffer)-s.end, "no more bytes are written to a stream than are available")
	s.end += copy(s.buffer[s.end:], p)
}

// Flush notifies the reader if there are bytes to read. Otherwise it returns the buffer to the pool.
func (s *Stream) Flush() {
	if s.end > s.start || len(s.prepended) > 0 {
		s.notifyReader()
	} else {
		s.releaseBuffer()
	}
}

// Finish ends the stream after the last byte of the body.
func (s *Stream) Finish() { s.endWriting(Complete) }

// Abort ends the stream before the last byte of the body and discards the unread bytes.
func (s *Stream) Abort() {
	if s.state == Streaming {
		s.discard()
	}
	s.endWriting(Incomplete)
}

// Truncate ends the stream before the last byte of the body. Bytes that have been written can still be read.
func (s *Stream) Truncate() { s.endWriting(Incomplete) }

// endWriting ends the stream for the writer in the given state. It does nothing if the stream has already ended.
func (s *Stream) endWriting(final State) {
	if s.state != Streaming {
		return
	}
	s.state = final
	s.stopWaiting()
	s.onWritable = nil
	if s.end == s.start {
		s.releaseBuffer()
	}
	s.notifyReader()
}

// Abandon ends the stream on behalf of the reader and discards the unread bytes.
func (s *Stream) Abandon() {
	previous := s.state
	s.state = Abandoned
	s.onReadable = nil
	s.discard()
	s.stopWaiting()
	s.releaseBuffer()
	if previous == Streaming {
		s.notifyWriter()
	}
	s.onWritable = nil
}

// discard drops the unread bytes but keeps the buffer.
func (s *Stream) discard() {
	s.endPrepended()
	s.start = 0
	s.end = 0
}

// Peek returns bytes that can be read now, or an empty slice. The slice is valid until the next call of another method.
func (s *Stream) Peek() []byte {
	if len(s.prepended) > 0 {
		return s.prepended
	}
	return s.buffer[s.start:s.end]
}

// Consume removes the first n bytes of the slice that Peek returned, and notifies the writer if it may be able to continue.
func (s *Stream) Consume(n int) {
	if len(s.prepended) > 0 {
		s.prepended = s.prepended[n:]
		if len(s.prepended) > 0 {
			return
		}
		s.endPrepended()
	} else {
		s.start += n
		if s.start == s.end {
			s.releaseBuffer()
		}
	}
	if s.state == Streaming && !s.awaitingBuffer && !s.readerBlocked {
		s.notifyWriter()
	}
}

// releaseBuffer returns the buffer, if the stream has one, to the pool.
func (s *Stream) releaseBuffer() {
	s.start = 0
	s.end = 0
	if buffer := s.buffer; buffer != nil {
		s.buffer = nil
		s.pool.put(buffer)
	}
}

// stopWaiting removes the stream from the pool's queue. A buffer that was offered but not taken is offered to the next stream.
func (s *Stream) stopWaiting() {
	if s.bufferOffered {
		s.bufferOffered = false
		s.pool.notifyWaiting()
	}
	if s.awaitingBuffer {
		s.awaitingBuffer = false
		s.pool.dequeue(s)
	}
}
