package logqueue

import (
	"strings"
	"testing"
)

// blockedOutput accepts nothing until it is released.
type blockedOutput struct{ released chan struct{} }

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.released
	return len(p), nil
}

// Guards against more memory than the limit: under a small memory limit, less is queued for an output that has stopped.
func TestLimitOfBytes(t *testing.T) {
	const limit, lineBytes = 4 << 10, 1 << 10
	output := blockedOutput{make(chan struct{})}
	defer close(output.released)
	q := New(output)
	q.LimitBytes(limit)
	q.LimitBytes(2 * limit) // the lower bound stays
	for range 100 {
		q.Write([]byte(strings.Repeat("a", lineBytes)))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedBytes > limit || q.dropped == 0 {
		t.Errorf("%d bytes are queued, %d lines dropped; the limit is %d bytes", q.queuedBytes, q.dropped, limit)
	}
}
