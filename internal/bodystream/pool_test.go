package bodystream

import "testing"

// A stream that waits for a buffer must be notified when the stream that holds the buffer returns it,
// whether that stream was read, aborted or abandoned.
func TestWaitForBuffer(t *testing.T) {
	for name, release := range map[string]func(*Stream){
		"consumed":  func(s *Stream) { s.Consume(1) },
		"aborted":   (*Stream).Abort,
		"abandoned": (*Stream).Abandon,
	} {
		p := NewBufferPool(1, nil)
		first, second := New(p, -1), New(p, -1)
		notified := 0
		second.OnWritable(func() { notified++ })
		if first.Available() == 0 || second.Available() != 0 {
			t.Fatal("two streams hold the pool's only buffer")
		}
		first.Write([]byte("x"))
		release(first)
		if notified != 1 || second.Available() == 0 {
			t.Errorf("%s: the waiting stream was notified %d times, want 1", name, notified)
		}
		second.Flush()
		checkOfferedBufferPassedOn(t, name, p)
	}
}

// checkOfferedBufferPassedOn checks that a buffer which was offered to a waiting stream is offered to the next one
// if the first stream is abandoned before it takes the buffer. The pool p has only one buffer.
func checkOfferedBufferPassedOn(t *testing.T, name string, p *BufferPool) {
	t.Helper()
	holder := New(p, -1)
	if holder.Available() == 0 {
		t.Fatal("the pool's only buffer is not free")
	}
	abandoned, next := New(p, -1), New(p, -1)
	notified := 0
	next.OnWritable(func() { notified++ })
	if abandoned.Available() != 0 || next.Available() != 0 {
		t.Fatal("several streams hold the pool's only buffer")
	}
	holder.Abort()
	abandoned.Abandon()
	if notified != 1 {
		t.Errorf("%s: the next stream was notified %d times, want 1", name, notified)
	}
	if p.InUse() != 0 {
		t.Errorf("%s: %d buffers are in use, want 0", name, p.InUse())
	}
}
