package simnet

import "salttrack/internal/simulation/randstream"

// stepKind is the kind of a step, as it enters the hash.
type stepKind uint64

const (
	iterationStep stepKind = iota + 1 // an iteration of a process's loop
	deliveryStep                      // the delivery of a segment
	callbackStep                          // a scheduled call
)

// event is something that happens at a time: an iteration of a process, the delivery of a pipe's first segment, or a
// call. One of process, pipe and callback is set.
type event struct {
	at         float64
	tiebreaker uint64 // orders events of the same time
	process    *Process
	iteration  uint64 // of the process; an event for an iteration that was rescheduled is ignored
	pipe       *pipe
	callback   func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.tiebreaker < other.tiebreaker
}

// eventQueue is a heap of events by time. It is not a container/heap, which would allocate for each event.
type eventQueue []event

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

func (q *eventQueue) pop() event {
	heap := *q
	first := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = event{} // releases what it refers to
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

// Now returns the time of the present step, in ms.
func (n *Network) Now() float64 { return n.now }

// Steps returns the number of steps so far.
func (n *Network) Steps() uint64 { return n.steps }

// Hash returns a running hash of all steps: of their times, processes and segments.
func (n *Network) Hash() uint64 { return n.hash }

// enqueue adds an event. The order of events of the same time depends on their source and on how many events the source
// has added before, so that an additional event of another source does not change it.
func (n *Network) enqueue(e event, source uint64, count *uint64) {
	*count++
	e.at = max(e.at, n.now)
	e.tiebreaker = randstream.CombineHash(source, *count)
	n.queue.push(e)
}

// Schedule makes a call at a time, or now if that is past. The name orders events of the same time.
func (n *Network) Schedule(at float64, name string, callback func()) {
	var count uint64
	n.enqueue(event{at: at, callback: callback}, randstream.Hash(n.seed, name), &count)
}

// Run takes all steps until the given time.
func (n *Network) Run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := n.queue.pop()
		n.now = e.at
		n.handle(&e)
	}
	n.now = max(n.now, until)
}

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

// recordStep counts a step and folds it into the hash.
func (n *Network) recordStep(kind stepKind, detail uint64) {
	n.steps++
	n.hash = randstream.CombineHash(randstream.CombineHash(n.hash, uint64(n.now*1e6)), uint64(kind)<<56^detail)
}
