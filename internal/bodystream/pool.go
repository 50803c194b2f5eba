package bodystream

// BufferSize is the size of a buffer in bytes.
const BufferSize = 32 << 10

// BufferPool lends buffers to streams, up to a limit. It is not safe for concurrent use: it belongs to one event loop.
type BufferPool struct {
	limit   int       // number of buffers that may be in use
	inUse   int       // number of buffers that streams hold
	free    [][]byte  // allocated buffers that no stream holds
	waiting []*Stream // streams that wait for a buffer, the longest waiting first
}

// NewBufferPool returns a pool with the given number of buffers, at least one. Each buffer is allocated when it is first needed.
func NewBufferPool(buffers int) *BufferPool { return &BufferPool{limit: max(1, buffers)} }

// SetLimit changes the number of buffers. If more are in use, they stay with their streams and are freed when they are returned.
func (p *BufferPool) SetLimit(buffers int) {
	p.limit = max(1, buffers)
	p.free = p.free[:min(len(p.free), p.limit)]
	p.notifyWaiting()
}

// InUse returns the number of buffers that streams hold.
func (p *BufferPool) InUse() int { return p.inUse }

// get returns a buffer, or nil if all of them are in use.
func (p *BufferPool) get() []byte {
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		return buffer
	}
	return make([]byte, BufferSize)
}

// put returns a buffer to the pool and notifies waiting streams.
func (p *BufferPool) put(buffer []byte) {
	p.inUse--
	if p.inUse+len(p.free) < p.limit {
		p.free = append(p.free, buffer)
	}
	p.notifyWaiting()
}

// enqueue adds a stream to the end of the queue for buffers.
func (p *BufferPool) enqueue(s *Stream) { p.waiting = append(p.waiting, s) }

// dequeue removes a stream from the queue for buffers.
func (p *BufferPool) dequeue(s *Stream) {
	for i, waiting := range p.waiting {
		if waiting == s {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			return
		}
	}
}

// notifyWaiting offers the available buffers to the waiting streams, the longest waiting first.
// The callback of a stream may call methods of the pool.
func (p *BufferPool) notifyWaiting() {
	for n := p.limit - p.inUse; n > 0 && len(p.waiting) > 0; n-- {
		s := p.waiting[0]
		p.waiting = p.waiting[1:]
		s.awaitingBuffer = false
		s.bufferOffered = true
		s.notifyWriter()
	}
}
