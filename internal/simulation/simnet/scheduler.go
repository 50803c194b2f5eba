package simnet

import "salttrack/internal/simulation/randstream"

// stepKind is the kind of a step of the simulation. Its value is mixed into the hash of the run.
type stepKind uint64

const (
	iterationStep stepKind = iota + 1 // an iteration of a process's event loop
	deliveryStep                      // the delivery of a segment to the receiver
	callbackStep                      // the call of a scheduled function
)

// event is an entry of the event queue.
// It is an iteration of a process, the delivery of the first segment of a pipe, or the call of a function.
// Exactly one of process, pipe and callback is set.
type event struct {
	at         float64 // ms
	tiebreaker uint64  // orders events that have the same time
	process    *Process
	iteration  uint64 // number of the process's iteration; the event is ignored if that was rescheduled
	pipe       *pipe
	callback   func()
}

// before reports whether e is to be handled before other.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.tiebreaker < other.tiebreaker
}

// eventQueue is a binary heap of events by time.
// It does not use container/heap, which would allocate memory for each event.
type eventQueue []event

// push adds an event.
func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !heap[i].before(&heap[parent]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	*q = heap
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	heap := *q
	first := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = event{} // releases the memory that the event refers to
	heap = heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if heap[child].before(&heap[least]) {
				least = child
			}
		}
		if least == i {
			break
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
	*q = heap
	return first
}

// Now returns the virtual time, in ms.
func (n *Network) Now() float64 { return n.now }

// Steps returns the number of steps so far. Iterations of processes, deliveries of segments and callbacks are steps.
func (n *Network) Steps() uint64 { return n.steps }

// Hash returns the hash of all steps so far.
// It covers the time and kind of each step, and its process or the connection and size of its segment.
func (n *Network) Hash() uint64 { return n.hash }

// enqueue adds an event to the queue. An event whose time is in the past is handled at the current time.
// source identifies the origin of the event, and count is the number of events of that origin.
// They determine the order of events at the same time.
// An additional event of another origin therefore does not change the order of the others.
func (n *Network) enqueue(e event, source uint64, count *uint64) {
	*count++
	e.at = max(e.at, n.now)
	e.tiebreaker = randstream.CombineHash(source, *count)
	n.queue.push(e)
}

// Schedule calls a function at a virtual time in ms, or at the current time if at is in the past.
// The name determines the order of events at the same time.
func (n *Network) Schedule(at float64, name string, callback func()) {
	var count uint64
	n.enqueue(event{at: at, callback: callback}, randstream.Hash(n.seed, name), &count)
}

// Run handles all events up to a virtual time in ms, and advances the clock to it.
func (n *Network) Run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := n.queue.pop()
		n.now = e.at
		n.handle(&e)
	}
	n.now = max(n.now, until)
}

// handle handles an event that is due.
func (n *Network) handle(e *event) {
	switch {
	case e.process != nil:
		if e.iteration == e.process.iteration && !e.process.exited {
			n.recordStep(iterationStep, e.process.id)
			e.process.runIteration()
		}
	case e.pipe != nil:
		e.pipe.deliver()
	default:
		n.recordStep(callbackStep, 0)
		e.callback()
	}
}

// recordStep counts a step and mixes it into the hash.
// detail identifies the process, or the connection and size of the segment; it is 0 for a callback.
func (n *Network) recordStep(kind stepKind, detail uint64) {
	n.steps++
	n.hash = randstream.CombineHash(randstream.CombineHash(n.hash, uint64(n.now*1e6)), uint64(kind)<<56^detail)
}
