// Package logqueue provides a bounded queue of log lines, so that logging never blocks on a slow or failed output.
// Lines that exceed the bounds are dropped and counted.
// As soon as the output accepts lines again, the number of dropped lines is written to it.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the queue: number of lines, and their total size in bytes.
const (
	maxQueuedLines = 512
	maxQueuedBytes = 256 << 10
)

// droppedFormat is the format of the log line that reports the number of dropped lines.
const droppedFormat = "level=warning msg=\"log lines dropped, output too slow\" lines=%d\n"

// Queue is a bounded queue of log lines for an output. Its methods are safe for concurrent use.
type Queue struct {
	output io.Writer // only the goroutine that New starts uses it

	mu          sync.Mutex
	changed     *sync.Cond // signals changes of lines and writing
	lines       [][]byte
	queuedBytes int    // total size of lines, in bytes
	maxBytes    int    // bound of queuedBytes; maxQueuedBytes or less
	writing     bool   // whether a write to the output is in progress
	dropped     uint64 // number of lines dropped since the start
	unreported  uint64 // number of dropped lines that have not been reported to the output
	failed      uint64 // number of lines for which the output returned an error
}

// New returns a queue for an output. It starts a goroutine that writes to the output until the process exits.
func New(output io.Writer) *Queue {
	q := &Queue{output: output, maxBytes: maxQueuedBytes}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// LimitBytes lowers the bound on the total size of the queued lines to a number of bytes, if it is higher.
func (q *Queue) LimitBytes(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxBytes = min(bytes, q.maxBytes)
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lines) >= maxQueuedLines || q.queuedBytes+len(line) > q.maxBytes {
		q.dropped++
		q.unreported++
		return len(line), nil
	}
	q.lines = append(q.lines, append([]byte(nil), line...))
	q.queuedBytes += len(line)
	q.changed.Broadcast()
	return len(line), nil
}

// Lost returns the number of lines that were dropped or for which the output returned an error.
func (q *Queue) Lost() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped + q.failed
}

// Flush waits until all queued lines are written or the timeout has passed. It reports whether all lines were written.
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

// flushed reports whether all lines are written. The caller has to hold the mutex.
func (q *Queue) flushed() bool { return len(q.lines) == 0 && !q.writing }

// run writes the queued lines to the output.
func (q *Queue) run() {
	for {
		line := q.next()
		_, err := q.output.Write(line)
		q.finishWrite(err)
	}
}

// next waits until a line is queued, and returns the line to write.
// If lines were dropped, it first returns a line that reports their number.
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

// finishWrite records the end of a write to the output, and its error.
func (q *Queue) finishWrite(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	if err != nil {
		q.failed++
	}
	q.changed.Broadcast()
}
