// Package logqueue is a bounded queue of log lines in front of an output that may be slow, blocked or broken, so that
// whoever logs is never blocked. Lines beyond the bound are dropped and counted, and a line with the number of
// dropped ones is written as soon as the output accepts lines again.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the queue.
const (
	maxQueuedLines = 512
	maxQueuedBytes = 256 << 10
)

// droppedFormat is the line that reports dropped lines to the output.
const droppedFormat = "level=warning msg=\"log lines dropped, output too slow\" lines=%d\n"

// Queue is a bounded queue of log lines in front of an output. Its methods are safe for concurrent use.
type Queue struct {
	output io.Writer // used by the goroutine of New only

	mu          sync.Mutex
	changed     *sync.Cond
	lines       [][]byte
	queuedBytes int    // total size of lines
	writing     bool   // the output is being written to
	dropped     uint64 // lines dropped since the start
	unreported  uint64 // dropped lines that the output has not been told about
	failed      uint64 // lines that the output returned an error for
}

// New returns a queue in front of an output. The goroutine that it starts writes to the output for as long as the
// process lives.
func New(output io.Writer) *Queue {
	q := &Queue{output: output}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines) >= maxQueuedLines || q.queuedBytes+len(line) > maxQueuedBytes {
		q.dropped++
		q.unreported++
		return len(line), nil
	}
	q.lines = append(q.lines, append([]byte(nil), line...))
	q.queuedBytes += len(line)
	q.changed.Broadcast()
	return len(line), nil
}

// Lost returns the number of lines that were lost: dropped, or failed by the output.
func (q *Queue) Lost() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped + q.failed
}

// Flush waits until every queued line is written or the timeout has passed, and reports whether all were written.
func (q *Queue) Flush(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	wakeUp := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.changed.Broadcast()
	})
	defer wakeUp.Stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.flushed() && time.Now().Before(deadline) {
		q.changed.Wait()
	}
	return q.flushed()
}

// flushed reports whether every line is written. Its caller holds the mutex.
func (q *Queue) flushed() bool { return len(q.lines) == 0 && !q.writing }

// run writes the queued lines to the output.
func (q *Queue) run() {
	for {
		line := q.next()
		_, err := q.output.Write(line)
		q.finishWrite(err)
	}
}

// next waits for a line to write. If lines were dropped, the line that reports them comes first.
func (q *Queue) next() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.lines) == 0 {
		q.changed.Wait()
	}
	q.writing = true
	if n := q.unreported; n > 0 {
		q.unreported = 0
		return fmt.Appendf(nil, droppedFormat, n)
	}
	line := q.lines[0]
	q.lines[0] = nil
	q.lines = q.lines[1:]
	q.queuedBytes -= len(line)
	return line
}

// finishWrite records the result of a write to the output.
func (q *Queue) finishWrite(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	if err != nil {
		q.failed++
	}
	q.changed.Broadcast()
}
