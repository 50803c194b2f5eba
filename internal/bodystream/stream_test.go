package bodystream

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// stream is a Stream that records the bytes that were written to it and read from it.
type stream struct {
	*Stream
	written  []byte
	read     []byte
	writable bool // the writer may call Available: its last call did not return 0, or OnWritable's function was called since
}

// newStream returns a stream with 0 to 5 random prepended bytes.
func newStream(t *rapid.T, p *BufferPool) *stream {
	s := &stream{Stream: New(p, -1), writable: true}
	s.OnWritable(func() { s.writable = true })
	prepended := rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "prepended")
	if len(prepended) > 0 {
		s.Prepend(prepended, nil)
		s.written = bytes.Clone(prepended)
	}
	return s
}

// write writes up to n bytes, as many as are available. Their values count up from last+1; it returns the last value written.
func (s *stream) write(n int, last byte) byte {
	available := 0
	if s.writable {
		available = s.Available()
	}
	s.writable = available > 0
	if !s.writable {
		return last
	}
	start := len(s.written)
	for range min(available, n) {
		last++
		s.written = append(s.written, last)
	}
	s.Write(s.written[start:])
	s.Flush()
	return last
}

// consume reads up to n bytes.
func (s *stream) consume(n int) {
	p := s.Peek()
	p = p[:min(len(p), n)]
	s.read = append(s.read, p...)
	s.Consume(len(p))
}

// For all sizes of writes and reads, and for one or more streams on one pool, each stream has to return the bytes that
// were written to it in order, the number of buffers in use must not exceed the pool's limit, and all buffers have to be returned.
func TestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buffers := rapid.IntRange(1, 3).Draw(t, "buffers")
		p := NewBufferPool(buffers, nil)
		var streams []*stream
		for range rapid.IntRange(1, 4).Draw(t, "streams") {
			streams = append(streams, newStream(t, p))
		}
		last := byte(0)
		for range 60 {
			s := streams[rapid.IntRange(0, len(streams)-1).Draw(t, "stream")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				last = s.write(rapid.SampledFrom([]int{0, 1, 100, BufferSize / 2, BufferSize}).Draw(t, "write"), last)
			case 3, 4:
				s.consume(rapid.SampledFrom([]int{1, 1000, BufferSize}).Draw(t, "read"))
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "finish") == 0 {
					s.Finish()
				}
			}
			if p.InUse() > buffers {
				t.Fatalf("%d buffers are in use, the limit is %d", p.InUse(), buffers)
			}
		}
		for _, s := range streams { // each stream that is read to its end frees its buffer for the next one
			s.Finish()
			for len(s.Peek()) > 0 {
				s.consume(BufferSize)
			}
			if !bytes.Equal(s.written, s.read) {
				t.Fatalf("%d bytes were written and %d were read, or their contents differ", len(s.written), len(s.read))
			}
		}
		if p.InUse() != 0 || len(p.waiting) != 0 {
			t.Fatalf("at the end %d buffers are in use and %d streams wait for one, want none", p.InUse(), len(p.waiting))
		}
	})
}

// Guards against streams that stand still: a stream whose reader is blocked must not hold a buffer that another one needs.
func TestBlockedReaderHoldsNoBuffer(t *testing.T) {
	p := NewBufferPool(1, nil)
	blocked, other := New(p, -1), New(p, -1)
	notified := 0
	blocked.OnWritable(func() { notified++ })
	blocked.BlockReader()
	if blocked.Available() != 0 || other.Available() == 0 {
		t.Error("a stream whose reader is blocked takes the pool's only buffer")
	}
	other.Abandon()
	if blocked.UnblockReader(); notified != 1 || blocked.Available() == 0 {
		t.Errorf("the writer was notified %d times, want 1, or has no buffer", notified)
	}
}
