package balance

// Admission queue: requests that wait for a short time until the concurrency limit has capacity.

import "slices"

// maxQueueFraction is the longest time in the queue, as a fraction of the latency objective.
const maxQueueFraction = 0.35

// admissionQueue holds the waiting requests, sorted by descending priority weight and then by arrival.
type admissionQueue []*request

// insert adds a request behind all requests of the same or a higher weight.
func (q *admissionQueue) insert(r *request) {
	at := len(*q)
	for at > 0 && (*q)[at-1].weight < r.weight {
		at--
	}
	*q = slices.Insert(*q, at, r)
	r.queued = true
}

// remove removes a request if it is in the queue.
func (q *admissionQueue) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if at := slices.Index(*q, r); at >= 0 {
		*q = slices.Delete(*q, at, at+1)
	}
}

// enqueue adds a request to the queue.
// If the queue is then longer than the number of attempts that may be in flight, the last request,
// which is one of the lowest weight, is rejected.
func (b *Balancer) enqueue(r *request) {
	b.queue.insert(r)
	if float64(len(b.queue)) > b.totalCapacity() {
		lowest := b.queue[len(b.queue)-1]
		b.reject(lowest, ReasonQueueFull)
		if lowest == r {
			return
		}
	}
	b.limitQueueing(r)
}

// limitQueueing sets the timer of a queued request. It has no effect on a request that is not queued.
// It is called again when the deadline of the request changes.
func (b *Balancer) limitQueueing(r *request) {
	if r.queued {
		b.outbox.setTimer(SetTimer{Timer: TimerID(r.id), After: b.queueTimeout(r)})
	}
}

// queueTimeout returns how long a request may wait from now on, so that it can still be served in time.
func (b *Balancer) queueTimeout(r *request) Millis {
	longest := r.classRules().LatencyObjective * maxQueueFraction
	untilTooLate := r.usefulUntil - b.serviceTimes.byClass[r.class].value/2 - b.now
	return max(0, min(longest, (r.expiresAt-b.now)/2, untilTooLate))
}

// admitQueued forwards queued requests while there is capacity.
func (b *Balancer) admitQueued() {
	for len(b.queue) > 0 && b.hasCapacity(b.queue[0]) {
		r := b.queue[0]
		b.queue.remove(r)
		b.forwardOrGiveUp(r)
	}
}
