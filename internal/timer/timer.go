// Package timer implements timers as a heap of callbacks that is ordered by time. The package does not read a clock: the
// caller passes the current time to Heap.Run. It is not safe for concurrent use.
package timer

import "container/heap"

// notInHeap is the index of a timer that is not pending because it has fired or was stopped.
const notInHeap = -1

// Timer is a callback that is run at a set time. The code that sets a timer must stop it when it is no longer needed.
type Timer struct {
	due      float64 // time at which the callback is run, in ms
	sequence uint64  // increases with each timer that is set, which orders timers with the same due time
	index    int     // position in the heap, or notInHeap
	callback func()
}

// Heap holds pending timers. The zero value is an empty heap that is ready for use.
type Heap struct {
	pending      timerHeap
	lastSequence uint64 // sequence number of the timer that was set last
}

// New returns a timer that is not pending. Heap.Start sets its time, any number of times.
func New(callback func()) *Timer { return &Timer{index: notInHeap, callback: callback} }

// Set returns a new timer that runs a callback at a time, in ms by the caller's clock.
// Timers with the same time run in the order in which they were set.
func (h *Heap) Set(due float64, callback func()) *Timer {
	t := New(callback)
	h.Start(t, due)
	return t
}

// Start makes a timer run its callback at a time, in ms by the caller's clock. It replaces a time that was set before.
func (h *Heap) Start(t *Timer, due float64) {
	h.Stop(t)
	h.lastSequence++
	t.due = due
	t.sequence = h.lastSequence
	heap.Push(&h.pending, t)
}

// Stop removes a pending timer. It has no effect if the timer is nil, has fired or was stopped.
func (h *Heap) Stop(t *Timer) {
	if t == nil || t.index == notInHeap {
		return
	}
	heap.Remove(&h.pending, t.index)
}

// Pending reports whether the timer is going to run.
func (t *Timer) Pending() bool { return t.index != notInHeap }

// Next returns the time of the earliest pending timer in ms, and whether any timer is pending.
func (h *Heap) Next() (float64, bool) {
	if len(h.pending) == 0 {
		return 0, false
	}
	return h.pending[0].due, true
}

// Run runs the callbacks of all timers that are due. Timers that these callbacks set are left for the next call, even if
// they are due. Otherwise a callback that sets itself again without a delay would keep Run from returning.
// If such a timer has an earlier time than other timers that are due, these are left for the next call too.
func (h *Heap) Run(now float64) {
	limit := h.lastSequence
	for len(h.pending) > 0 && h.pending[0].due <= now && h.pending[0].sequence <= limit {
		t := heap.Pop(&h.pending).(*Timer)
		t.callback()
	}
}

// Len returns the number of pending timers.
func (h *Heap) Len() int { return len(h.pending) }

// timerHeap implements heap.Interface. It orders timers by time, then by sequence number.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a timer. Only package heap calls it.
func (h *timerHeap) Push(v any) {
	t := v.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes and returns the last timer of the slice. Only package heap calls it.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notInHeap
	return t
}
