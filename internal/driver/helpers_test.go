package driver

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/timer"
)

// Class numbers of testConfig.
const (
	idempotentClass    = 0
	nonIdempotentClass = 1
	zoneKeyClass       = 2 // requests with an idempotency key; upstreams of the same zone deduplicate them
)

// The upstreams with ids from firstUpstream to lastUpstream are ready at the start of a test.
const (
	firstUpstream = 1
	lastUpstream  = 3
)

// fixture holds a driver with a fake clock. It implements the driver's Upstreams and the client of every exchange.
type fixture struct {
	t        *testing.T
	driver   *Driver
	now      balance.Millis
	timers   timer.Heap
	counters counter.Set

	inFlight     []*exchange.Attempt
	cancelled    []*exchange.Attempt  // arguments of the calls of Cancel
	cancelUnsent []balance.UpstreamID // arguments of the calls of CancelUnsent
	responses    map[*exchange.Exchange][]exchange.Response
	stillSending bool // whether upstreams are sending responses of unknown length
	disconnected bool // whether all clients have disconnected; the driver learns of it when it calls Connected

	onStart        func(*exchange.Attempt) // called in place of Start's normal behavior unless nil
	onCancelUnsent func()                  // called by CancelUnsent unless nil
	onRespond      func()                  // called by Respond unless nil
}

// newFixture returns a fixture whose driver has been started and has three ready upstreams.
func newFixture(t *testing.T, config balance.Config) *fixture {
	t.Helper()
	f := &fixture{t: t, now: 1e12, responses: map[*exchange.Exchange][]exchange.Response{}}
	f.driver = New(Options{
		Config:    config,
		Seed:      1,
		Now:       func() balance.Millis { return f.now },
		Timers:    &f.timers,
		Upstreams: f,
		Counters:  &f.counters,
	})
	f.driver.Start()
	update := balance.EndpointUpdate{Snapshot: true}
	for id := balance.UpstreamID(firstUpstream); id <= lastUpstream; id++ {
		update.Endpoints = append(update.Endpoints, balance.Endpoint{ID: id, State: balance.Ready})
	}
	f.driver.UpdateEndpoints(update)
	return f
}

// testConfig returns a configuration with one class of each kind of idempotency.
func testConfig() balance.Config {
	return balance.Config{
		Replicas: 1, TierCount: 1, Granularity: 5,
		SlowStartCapacity: 0.3, SlowStartDuration: 9000, OverloadMultiple: 3, OverloadDuration: 1500,
		MaxAttempts: 4, CanCancel: true, Hedging: true, MaxRetryAfter: 1000,
		Classes: []balance.Class{
			idempotentClass:    {LatencyObjective: 800, Deadline: 2000, PriorityWeight: 12, Idempotency: balance.Idempotent},
			nonIdempotentClass: {LatencyObjective: 1200, Deadline: 3000, PriorityWeight: 1, Idempotency: balance.NonIdempotent},
			zoneKeyClass: {LatencyObjective: 1200, Deadline: 3000, PriorityWeight: 1, Idempotency: balance.WithIdempotencyKey,
				DeduplicationScope: balance.ScopeZone, DeduplicationWindow: 5000},
		},
	}
}

// Start implements Upstreams. It marks the request as written completely and keeps the attempt in flight.
func (f *fixture) Start(a *exchange.Attempt) {
	if f.onStart != nil {
		f.onStart(a)
		return
	}
	a.RequestComplete = true
	f.inFlight = append(f.inFlight, a)
}

// CancelUnsent implements Upstreams. It records the call.
func (f *fixture) CancelUnsent(id balance.UpstreamID) {
	f.cancelUnsent = append(f.cancelUnsent, id)
	if f.onCancelUnsent != nil {
		f.onCancelUnsent()
	}
}

// Cancel implements Upstreams. It records the call and removes the attempt from those in flight.
func (f *fixture) Cancel(a *exchange.Attempt) {
	f.cancelled = append(f.cancelled, a)
	f.remove(a)
}

// StreamResponse implements Upstreams.
func (f *fixture) StreamResponse(a *exchange.Attempt) bool {
	if !f.stillSending {
		return false
	}
	f.driver.ResponseStarted(a, bodystream.New(bodystream.NewBufferPool(1, nil), -1))
	return true
}

// Connected implements exchange.Client. It reports a disconnection to the driver before it returns false.
func (f *fixture) Connected(x *exchange.Exchange) bool {
	if f.disconnected {
		f.driver.ClientDisconnected(x)
	}
	return !f.disconnected
}

// Deadline implements exchange.Client.
func (f *fixture) Deadline(x *exchange.Exchange) balance.Millis { return x.RespondBy }

// Respond implements exchange.Client. It records the response.
func (f *fixture) Respond(x *exchange.Exchange, r exchange.Response) {
	f.responses[x] = append(f.responses[x], r)
	if f.onRespond != nil {
		f.onRespond()
	}
}

// remove removes an attempt from those in flight.
func (f *fixture) remove(a *exchange.Attempt) {
	for i := range f.inFlight {
		if f.inFlight[i] == a {
			f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
			return
		}
	}
}

// receive reports a new request to the driver. Its response is due after the given time in ms, and its client stops
// waiting 10 ms later.
func (f *fixture) receive(class uint8, deadline balance.Millis) *exchange.Exchange {
	x := exchange.New(f, nil)
	x.Class = class
	x.RespondBy = f.now + deadline
	x.ClientDeadline = x.RespondBy + 10
	f.driver.HandleRequest(x)
	return x
}

// end reports the end of an attempt to the driver.
func (f *fixture) end(a *exchange.Attempt, outcome balance.Outcome, body string) {
	f.remove(a)
	f.driver.AttemptEnded(a, exchange.Result{Outcome: outcome, Body: []byte(body)})
}

// serve sends a number of requests through the driver and lets each succeed at once, which fills the retry budget.
func (f *fixture) serve(requests int) {
	f.t.Helper()
	for range requests {
		f.receive(idempotentClass, 1000)
		f.end(f.inFlight[0], balance.OK, "")
	}
}

// advance advances the clock by a duration in ms and runs each timer that becomes due at its own time.
func (f *fixture) advance(duration balance.Millis) {
	for end := f.now + duration; f.now < end; {
		due, ok := f.timers.Next()
		if !ok || due > end {
			due = end
		}
		f.now = max(f.now, due)
		f.timers.Run(f.now)
	}
}

// value returns the value of a counter.
func (f *fixture) value(name string) uint64 {
	f.t.Helper()
	v, ok := f.counters.Value(name)
	if !ok {
		f.t.Fatalf("no counter %s", name)
	}
	return v
}

// disposition returns the disposition of the response to an exchange, or InProgress if the number of responses is not 1.
func (f *fixture) disposition(x *exchange.Exchange) exchange.Disposition {
	if len(f.responses[x]) != 1 {
		return exchange.InProgress
	}
	return f.responses[x][0].Disposition
}
