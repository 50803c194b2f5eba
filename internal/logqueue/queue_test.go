package logqueue

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

const flushTimeout = 10 * time.Second

// output is a writer that blocks while the mutex blocked is locked, and fails while err is set.
type output struct {
	blocked sync.Mutex

	mu   sync.Mutex
	text bytes.Buffer
	err  error
}

func (o *output) Write(p []byte) (int, error) {
	o.blocked.Lock()
	defer o.blocked.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.text.Write(p)
}

func (o *output) setError(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// countInOrder returns the number of lines "line N" in a text. The test fails if they are not numbered from 0 without gaps.
func countInOrder(t *testing.T, text string) int {
	t.Helper()
	next := 0
	for line := range strings.Lines(text) {
		var n int
		if _, err := fmt.Sscanf(line, "line %d\n", &n); err != nil {
			continue
		}
		if n != next {
			t.Fatalf("line %d is written in place of line %d", n, next)
		}
		next++
	}
	return next
}

// A blocked output does not block callers of Write.
// Lines that exceed the bounds are dropped, counted and reported, and the other lines are written in order.
func TestBlockedOutput(t *testing.T) {
	o := &output{}
	o.blocked.Lock()
	q := New(o)
	const lines = 10 * maxQueuedLines
	fmt.Fprintf(q, "line %d\n", 0)
	waitForWriter(t, q) // otherwise the queue could report dropped lines in two parts, before and after the first line
	for i := 1; i < lines; i++ {
		fmt.Fprintf(q, "line %d\n", i)
	}
	if q.Flush(time.Millisecond) {
		t.Error("Flush reports success though the output is blocked")
	}
	dropped := q.Lost()
	if dropped < lines-maxQueuedLines-1 || dropped >= lines {
		t.Errorf("%d of %d lines dropped", dropped, lines)
	}
	o.blocked.Unlock()
	if !q.Flush(flushTimeout) {
		t.Fatal("Flush times out")
	}
	text := o.String()
	if !strings.Contains(text, fmt.Sprintf("lines=%d\n", dropped)) {
		t.Errorf("the output has no line that reports %d dropped lines", dropped)
	}
	if written := countInOrder(t, text); uint64(written)+dropped != lines {
		t.Errorf("%d lines written and %d dropped, of %d", written, dropped, lines)
	}
}

// waitForWriter waits until the queue is writing to its output.
func waitForWriter(t *testing.T, q *Queue) {
	t.Helper()
	for deadline := time.Now().Add(flushTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		q.mu.Lock()
		writing := q.writing
		q.mu.Unlock()
		if writing {
			return
		}
	}
	t.Fatal("the queue does not write to its output")
}

// The queue drops lines that exceed its bound in bytes.
func TestBytesAreBounded(t *testing.T) {
	o := &output{}
	o.blocked.Lock()
	defer o.blocked.Unlock()
	q := New(o)
	for range 100 {
		q.Write(make([]byte, maxQueuedBytes/10))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedBytes > maxQueuedBytes {
		t.Errorf("%d bytes queued, at most %d allowed", q.queuedBytes, maxQueuedBytes)
	}
}

// Lines for which the output returns an error are counted as lost. Later lines are written once the output works again.
func TestFailingOutput(t *testing.T) {
	o := &output{err: errors.New("broken pipe")}
	q := New(o)
	fmt.Fprintln(q, "lost")
	if !q.Flush(flushTimeout) || q.Lost() != 1 {
		t.Errorf("%d lines lost, want 1", q.Lost())
	}
	o.setError(nil)
	fmt.Fprintln(q, "written")
	if !q.Flush(flushTimeout) || o.String() != "written\n" {
		t.Errorf("wrote %q", o.String())
	}
}
