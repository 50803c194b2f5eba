package balance

// Action is an instruction of an instance to its host: a pointer to one of the types below.
// It is valid until the next call of NextAction.
type Action interface{ isAction() }

// ForwardRequest sends a request to an upstream as the next attempt of the request.
type ForwardRequest struct {
	Request    RequestID
	Upstream   UpstreamID
	Timeout    Millis // timeout of the attempt; 0 if it may take until the client gives up
	SendWithin Millis // time from now in which the whole request has to be sent, or it must not be sent; 0 for no limit
}

// RejectRequest gives a request its final response: it was not served, and it is safe to send it again.
type RejectRequest struct {
	Request    RequestID
	RetryAfter Millis // delay after which the client should send the request again; 0 for no advice
	Reason     GiveUpReason
}

// FailRequest gives a request its final response: it was not served, but an upstream may have executed it.
type FailRequest struct {
	Request RequestID
	Reason  GiveUpReason
}

// CancelAttempt cancels an attempt in flight.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer asks the host to call OnTimer after a delay. A timer cannot be stopped.
type SetTimer struct {
	Timer TimerID
	After Millis
}

// WatchEndpoints asks the host to watch the endpoint list and to report its updates by OnEndpointUpdate.
type WatchEndpoints struct{}

// SetAttemptTimeout replaces the timeout of an attempt in flight.
type SetAttemptTimeout struct {
	Request RequestID
	Attempt int
	Timeout Millis // counted from now; 0 if the attempt may take until the client gives up
}

func (*ForwardRequest) isAction()    {}
func (*RejectRequest) isAction()     {}
func (*FailRequest) isAction()       {}
func (*CancelAttempt) isAction()     {}
func (*SetTimer) isAction()          {}
func (*WatchEndpoints) isAction()    {}
func (*SetAttemptTimeout) isAction() {}

// GiveUpReason is the reason why a request was not served.
type GiveUpReason string

// Reasons why a request was not served.
const (
	ReasonThrottled        GiveUpReason = "throttled"
	ReasonQueueTimeout     GiveUpReason = "queue timeout"
	ReasonQueueFull        GiveUpReason = "admission queue full"
	ReasonNoUpstream       GiveUpReason = "no usable upstream"
	ReasonDeadline         GiveUpReason = "deadline too close"
	ReasonRetriesExhausted GiveUpReason = "no retry allowed or of use"
)

// TimerID identifies a timer of an instance. Its value means nothing to the host.
type TimerID uint64

// outbox is the queue of the actions that the host has not yet carried out.
// Each type of action has a slice of its own, so that adding an action to the queue does not allocate.
// The slices are reused when the queue is empty.
type outbox struct {
	queue    []Action
	next     int // index in queue of the next action
	forwards []ForwardRequest
	rejects  []RejectRequest
	fails    []FailRequest
	cancels  []CancelAttempt
	timers   []SetTimer
	timeouts []SetAttemptTimeout
}

// add appends an action to the slice of its type and returns a pointer to it. The pointer stays usable
// when a later append moves the slice, because actions are not modified after they are added.
func add[T any](actions *[]T, a T) *T {
	*actions = append(*actions, a)
	return &(*actions)[len(*actions)-1]
}

func (o *outbox) forward(a ForwardRequest)       { o.queue = append(o.queue, add(&o.forwards, a)) }
func (o *outbox) reject(a RejectRequest)         { o.queue = append(o.queue, add(&o.rejects, a)) }
func (o *outbox) fail(a FailRequest)             { o.queue = append(o.queue, add(&o.fails, a)) }
func (o *outbox) cancel(a CancelAttempt)         { o.queue = append(o.queue, add(&o.cancels, a)) }
func (o *outbox) setTimer(a SetTimer)            { o.queue = append(o.queue, add(&o.timers, a)) }
func (o *outbox) setTimeout(a SetAttemptTimeout) { o.queue = append(o.queue, add(&o.timeouts, a)) }
func (o *outbox) watchEndpoints()                { o.queue = append(o.queue, &WatchEndpoints{}) }

// pop returns the next action. If there is none, it clears the outbox and returns false.
func (o *outbox) pop() (Action, bool) {
	if o.next == len(o.queue) {
		if o.next > 0 {
			o.clear()
		}
		return nil, false
	}
	a := o.queue[o.next]
	o.next++
	return a, true
}

// clear empties the outbox and keeps the memory of its slices for reuse.
func (o *outbox) clear() {
	o.queue = o.queue[:0]
	o.next = 0
	o.forwards = o.forwards[:0]
	o.rejects = o.rejects[:0]
	o.fails = o.fails[:0]
	o.cancels = o.cancels[:0]
	o.timers = o.timers[:0]
	o.timeouts = o.timeouts[:0]
}
