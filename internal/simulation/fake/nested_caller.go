package fake

import (
	"salttrack/balance"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// minNestedCallTime is the time to the deadline, in ms, below which no call to the next tier is made.
const minNestedCallTime = 5

// NestedCaller makes the calls of an upstream to the next tier, through one balancer. It implements NextTier.
type NestedCaller struct {
	client    *client
	balancer  BalancerAddress
	callCount int
	open      map[string]*call // calls without an outcome, by ID of the upstream's request
}

// NestedCallerOptions are the parameters of a nested caller.
type NestedCallerOptions struct {
	Host      Host
	Recorder  Recorder
	Classes   []Class
	Balancer  BalancerAddress
	CallCount int // calls per request, which are made sequentially
	Seed      uint64
}

// NewNestedCaller returns a nested caller for an upstream.
func NewNestedCaller(o NestedCallerOptions) *NestedCaller {
	rng := randstream.New(o.Seed, names.NestedCallerStream+o.Balancer.Name)
	return &NestedCaller{
		client:    newClient(o.Host, o.Recorder, o.Classes, rng),
		balancer:  o.Balancer,
		callCount: o.CallCount,
		open:      map[string]*call{},
	}
}

// Call makes the calls for a request whose deadline is in remaining ms. It calls onDone when all calls were served, or
// when one was not served or not made for lack of time; no further calls are made then.
func (n *NestedCaller) Call(requestID string, remaining float64, onDone func(served bool)) {
	n.callNext(requestID, n.client.now()+remaining, n.callCount, onDone)
}

// callNext makes one call and, once it is served, the others of callsToMake.
func (n *NestedCaller) callNext(requestID string, deadline float64, callsToMake int, onDone func(served bool)) {
	remaining := deadline - n.client.now()
	if callsToMake == 0 || remaining < minNestedCallTime {
		delete(n.open, requestID)
		onDone(callsToMake == 0)
		return
	}
	class := drawClass(n.client.rng, n.client.classes)
	c := &call{id: n.client.newID(), class: class, remaining: remaining, balancer: n.balancer}
	c.rootID = c.id
	if n.client.classes[class].Idempotency == balance.WithIdempotencyKey {
		c.idempotencyKey = n.client.newID()
	}
	c.onDone = func(outcome callOutcome) {
		if outcome != callServed {
			delete(n.open, requestID)
			onDone(false)
			return
		}
		n.callNext(requestID, deadline, callsToMake-1, onDone)
	}
	n.open[requestID] = c
	n.client.start(c)
}

// Abandon cancels the open call for a request whose connection has closed. Its onDone is not called.
func (n *NestedCaller) Abandon(requestID string) {
	c := n.open[requestID]
	if c == nil {
		return
	}
	delete(n.open, requestID)
	c.onDone = nil
	if c.conn != nil && !c.finished {
		c.cancel()
	}
}
