package http1

// overBudgetReadBytes is the number of bytes that are read from a connection at once while the budget is used up.
const overBudgetReadBytes = 4 << 10

// BufferBudget limits the memory of received bytes that wait in the process: bodies that are buffered as a whole, the received
// part of streamed ones, and bytes behind a request. While it is used up, bodies are streamed earlier and less is read at once.
// Its methods accept a nil receiver, which stands for no limit. It is not safe for concurrent use: it belongs to one event loop.
type BufferBudget struct {
	limit int // bytes
	used  int // bytes
}

// NewBufferBudget returns a budget of the given number of bytes.
func NewBufferBudget(limit int) *BufferBudget { return &BufferBudget{limit: limit} }

// SetLimit changes the limit, in bytes. What is buffered already stays buffered.
func (b *BufferBudget) SetLimit(limit int) { b.limit = limit }

// Used returns the number of bytes that are in use.
func (b *BufferBudget) Used() int { return b.used }

// Add records that the memory in use has grown by a number of bytes, which may be negative.
func (b *BufferBudget) Add(bytes int) {
	if b != nil {
		b.used += bytes
	}
}

// ReadBuffer returns the part of a buffer that the next read from a connection may fill.
func (b *BufferBudget) ReadBuffer(buffer []byte) []byte {
	if b.Exceeded() {
		return buffer[:min(len(buffer), overBudgetReadBytes)]
	}
	return buffer
}

// HalfUsed reports whether at least half of the limit is in use.
func (b *BufferBudget) HalfUsed() bool { return b != nil && 2*b.used >= b.limit }

// Exceeded reports whether more than the limit is in use.
func (b *BufferBudget) Exceeded() bool { return b != nil && b.used > b.limit }
