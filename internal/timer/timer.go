// Package timer is a heap of things to do at a time. It reads no clock: whoever runs it passes the time in.
package timer

import "container/heap"

// Timer is one thing to do. It may be stopped for as long as it has not run.
type Timer struct {
	at    float64
	order uint64
	place int // in the heap, -1 when out of it
	do    func()
}

// Heap holds timers. Its zero value is empty and ready.
type Heap struct {
	items items
	order uint64
}

// Set runs do at the given time, in milliseconds. Timers of one time run in the order of their setting.
func (h *Heap) Set(at float64, do func()) *Timer {
	h.order++
	t := &Timer{at: at, order: h.order, do: do}
	heap.Push(&h.items, t)
	return t
}

// Stop takes a timer out. A nil timer, or one that has run or was stopped, is left alone.
func (h *Heap) Stop(t *Timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&h.items, t.place)
		t.do = nil
	}
}

// Next returns the time of the next timer, and whether there is one.
func (h *Heap) Next() (float64, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// Run runs all that is due. What is set meanwhile waits for the next call, even if due: a timer that sets
// itself anew can't keep the caller from its other work.
func (h *Heap) Run(now float64) {
	for last := h.order; len(h.items) > 0 && h.items[0].at <= now && h.items[0].order <= last; {
		do := heap.Pop(&h.items).(*Timer).do
		do()
	}
}

// Len is the number of timers that wait.
func (h *Heap) Len() int { return len(h.items) }

type items []*Timer

func (x items) Len() int { return len(x) }
func (x items) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].order < x[j].order
}
func (x items) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].place, x[j].place = i, j
}
func (x *items) Push(v any) {
	t := v.(*Timer)
	t.place = len(*x)
	*x = append(*x, t)
}
func (x *items) Pop() any {
	last := len(*x) - 1
	t := (*x)[last]
	(*x)[last] = nil
	*x = (*x)[:last]
	t.place = -1
	return t
}
