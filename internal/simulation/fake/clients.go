package fake

import (
	"math"
	"strings"

	"salttrack/balance"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// ClientBehavior is the current behavior of clients. Faults change it.
type ClientBehavior struct {
	RateFactor            float64 // multiple of ClientsOptions.RequestRate
	CancelFraction        float64 // fraction of requests that are cancelled unless the response is received first
	SlowReadFraction      float64 // fraction of responses that are read slowly
	SlowWriteFraction     float64 // fraction of requests that are written slowly
	PipelinedFraction     float64 // fraction of requests that are followed by a pipelined request
	NewConnectionFraction float64 // fraction of requests that are sent on a new connection
	DelayedFraction       float64 // fraction of requests that are sent with a delay after opening a new connection
	MalformedRate         float64 // connections per second that send malformed input
}

const (
	minRateFactor        = 0.01   // lower limit of RateFactor; lower values count as this one
	minFirstRequestDelay = 20.0   // ms, shortest delay from opening a connection to its first request
	maxFirstRequestDelay = 1800.0 // ms, longest delay from opening a connection to its first request
	minRetryTime         = 50.0   // ms; a client sends no retry with less time to the deadline
	maxBodyPadding       = 300    // bytes; upper bound, exclusive, of the padding of a request body
)

// ClientsOptions are the parameters of the clients of one zone.
type ClientsOptions struct {
	Host        Host
	Zone        string
	Balancers   *BalancerPool
	Classes     []Class
	RequestRate float64 // requests per second, without retries
	Seed        uint64
	Retries     int     // maximum number of retries of a request
	Backoff     float64 // mean delay of a retry, in ms; the delay is jittered by up to 50%
	Until       float64 // time in ms at which the clients stop sending new requests; they still send retries
	Recorder    Recorder
	Behavior    *ClientBehavior
}

// Clients are the clients of one zone. New requests are sent as a Poisson process, at a rate that does not depend on the
// responses. Rejected requests and failed idempotent requests are retried.
type Clients struct {
	ClientsOptions
	client       *client
	rng          Stream
	malformedRNG Stream
	openCount    int // requests without an outcome
}

// NewClients starts the clients of a zone.
func NewClients(o ClientsOptions) *Clients {
	c := &Clients{
		ClientsOptions: o,
		client:         newClient(o.Host, o.Recorder, o.Classes, randstream.New(o.Seed, names.ClientRequestStream+o.Zone)),
		rng:            randstream.New(o.Seed, names.ClientArrivalStream+o.Zone),
		malformedRNG:   randstream.New(o.Seed, names.MalformedInputStream+o.Zone),
	}
	c.scheduleRequest()
	c.scheduleMalformed()
	return c
}

// OpenRequests returns the number of requests that have no final outcome yet. A request and its retries count as one.
func (c *Clients) OpenRequests() int { return c.openCount }

// drawInterarrivalTime draws the time in ms to the next arrival of a Poisson process.
func drawInterarrivalTime(rng Stream, perSecond float64) float64 {
	return -math.Log(1-rng.Float64()) * 1000 / perSecond
}

func (c *Clients) scheduleRequest() {
	lp := c.Host.Loop()
	if lp.Now() >= c.Until {
		return
	}
	gap := drawInterarrivalTime(c.rng, c.RequestRate*max(minRateFactor, c.Behavior.RateFactor))
	lp.After(gap, func() {
		if lp.Now() < c.Until {
			c.sendRequest()
		}
		c.scheduleRequest()
	})
}

// sendRequest sends a new request, or two pipelined ones.
func (c *Clients) sendRequest() {
	first := c.newCall()
	if first == nil {
		return
	}
	pipelined := c.drawBehavior(first)
	c.openCount++
	if pipelined {
		if second := c.newCall(); second != nil && second.balancer == first.balancer {
			c.openCount++
			c.client.startPair(first, second)
			return
		}
	}
	c.client.start(first)
}

// drawBehavior draws how a client sends a call, and reports whether it pipelines another request behind the call.
// All draws but those for DelayedFraction are made for any behavior, so that a fault that changes the behavior does not
// shift the draws of later requests.
func (c *Clients) drawBehavior(call *call) (pipelined bool) {
	behavior := c.Behavior
	cancelDraw := c.rng.Float64()
	readDraw := c.rng.Float64()
	writeDraw := c.rng.Float64()
	pipelineDraw := c.rng.Float64()
	connectionDraw := c.rng.Float64()
	cancelTimeDraw := c.rng.Float64()
	call.readSlowly = readDraw < behavior.SlowReadFraction
	call.writeSlowly = writeDraw < behavior.SlowWriteFraction
	call.newConnection = connectionDraw < behavior.NewConnectionFraction
	if c.rng.Chance(behavior.DelayedFraction) {
		call.newConnection = true
		call.firstRequestDelay = c.rng.Between(minFirstRequestDelay, maxFirstRequestDelay)
	}
	if cancelDraw < behavior.CancelFraction { // the cube of the draw makes most cancellations early
		call.cancelAfter = 1 + cancelTimeDraw*cancelTimeDraw*cancelTimeDraw*call.remaining*0.9
	}
	mayPipeline := !call.writeSlowly && call.cancelAfter == 0 && call.firstRequestDelay == 0
	return mayPipeline && pipelineDraw < behavior.PipelinedFraction
}

// newCall returns a call for a new request, nil if no balancer is in rotation.
func (c *Clients) newCall() *call {
	balancer, inRotation := c.Balancers.Select()
	class := drawClass(c.rng, c.Classes)
	call := &call{id: c.client.newID(), class: class, remaining: c.Classes[class].Deadline, balancer: balancer}
	call.rootID = call.id
	idempotency := c.Classes[class].Idempotency
	if idempotency == balance.WithIdempotencyKey {
		call.idempotencyKey = c.client.newID()
	}
	if idempotency != balance.Idempotent {
		call.body = []byte("order " + call.rootID + strings.Repeat(".", c.rng.IntN(maxBodyPadding)))
	}
	if !inRotation {
		return nil
	}
	c.retryOnFailure(call, c.Retries, c.Host.Loop().Now()+call.remaining)
	return call
}

// retryOnFailure sets onDone of a call. If the call ends with an outcome that allows a retry, onDone sends a retry after a
// backoff, while retries and time to the deadline remain.
func (c *Clients) retryOnFailure(first *call, retries int, deadline float64) {
	first.onDone = func(outcome callOutcome) {
		lp := c.Host.Loop()
		backoff := c.Backoff * (0.5 + c.rng.Float64())
		balancer, inRotation := c.Balancers.Select()
		if !c.mayRetry(first, outcome) || retries == 0 || !inRotation || deadline-lp.Now()-backoff < minRetryTime {
			c.openCount--
			return
		}
		lp.After(backoff, func() {
			retry := &call{
				id:             c.client.newID(),
				rootID:         first.rootID,
				class:          first.class,
				idempotencyKey: first.idempotencyKey,
				body:           first.body,
				balancer:       balancer,
				remaining:      deadline - lp.Now(),
			}
			c.retryOnFailure(retry, retries-1, deadline)
			c.client.start(retry)
		})
	}
}

// mayRetry reports whether a call that ended with an outcome may be retried. Rejected and unsent requests may be, and failed
// requests only if they are idempotent.
func (c *Clients) mayRetry(call *call, outcome callOutcome) bool {
	switch outcome {
	case callRejected, callUnsent:
		return true
	case callFailed:
		return c.Classes[call.class].Idempotency == balance.Idempotent
	}
	return false
}
