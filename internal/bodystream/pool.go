package bodystream

import "salttrack/internal/memory"

// BufferSize is the size of a buffer in bytes.
const BufferSize = 32 << 10

// BufferPool lends buffers to streams, up to a limit. It is not safe for concurrent use: it belongs to one event loop.
type BufferPool struct {
	account *memory.Account // counts the allocated buffers; nil for no limit
	limit   int             // number of buffers that may be in use
	inUse   int             // number of buffers that streams hold
	free    [][]byte        // allocated buffers that no stream holds
	waiting []*Stream       // streams that wait for a buffer, the longest waiting first
}

// NewBufferPool returns a pool with the given number of buffers, at least one. Each buffer is allocated when it is first needed,
// and counted in the account.
func NewBufferPool(buffers int, account *memory.Account) *BufferPool {
	return &BufferPool{limit: max(1, buffers), account: account}
}

// SetLimit changes the number of buffers. If more are in use, they stay with their streams and are freed when they are returned.
func (p *BufferPool) SetLimit(buffers int) {
	p.limit = max(1, buffers)
	p.keepFree(p.limit - p.inUse)
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
	p.account.Add(memory.Streams, BufferSize)
	return make([]byte, BufferSize)
}

// put returns a buffer to the pool and notifies waiting streams. Buffers that no stream holds are kept: buffers that are freed and
// allocated again would be garbage of many times their size.
func (p *BufferPool) put(buffer []byte) {
	p.inUse--
	p.free = append(p.free, buffer)
	p.keepFree(p.limit - p.inUse)
	p.notifyWaiting()
}

// Release frees the buffers that no stream holds.
func (p *BufferPool) Release() { p.keepFree(0) }

// keepFree frees the buffers that no stream holds, except for a number of them.
func (p *BufferPool) keepFree(buffers int) {
	for len(p.free) > max(0, buffers) {
		last := len(p.free) - 1
		p.free[last] = nil
		p.free = p.free[:last]
		p.account.Add(memory.Streams, -BufferSize)
	}
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
