package driver

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/timer"
)

// Classes of testConfig.
const (
	idempotentClass    = 0
	nonIdempotentClass = 1
	zoneKeyClass       = 2 // idempotent by a key within a zone
)

// Upstreams that are ready at the start of a test.
const (
	firstUpstream = 1
	lastUpstream  = 3
)

// fixture is a driver with a fake clock. It is also the driver's Upstreams and the client of its exchanges.
type fixture struct {
	t        *testing.T
	driver   *Driver
	now      balance.Millis
	timers   timer.Heap
	counters counter.Set

	inFlight     []*exchange.Attempt
	cancelled    []*exchange.Attempt
	cancelUnsent []balance.UpstreamID // calls
	responses    map[*exchange.Exchange][]exchange.Response
	disconnected bool // all clients are, and Connected finds it

	onStart        func(*exchange.Attempt) // replaces Start
	onCancelUnsent func()
}

// newFixture returns a fixture with three ready upstreams.
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

// Start implements Upstreams: the request is written at once, and the attempt stays in flight.
func (f *fixture) Start(a *exchange.Attempt) {
	if f.onStart != nil {
		f.onStart(a)
		return
	}
	a.RequestComplete = true
	f.inFlight = append(f.inFlight, a)
}

// CancelUnsent implements Upstreams.
func (f *fixture) CancelUnsent(id balance.UpstreamID) {
	f.cancelUnsent = append(f.cancelUnsent, id)
	if f.onCancelUnsent != nil {
		f.onCancelUnsent()
	}
}

// Cancel implements Upstreams.
func (f *fixture) Cancel(a *exchange.Attempt) {
	f.cancelled = append(f.cancelled, a)
	f.remove(a)
}

// Connected implements exchange.Client.
func (f *fixture) Connected(x *exchange.Exchange) bool {
	if f.disconnected {
		f.driver.ClientDisconnected(x)
	}
	return !f.disconnected
}

// Respond implements exchange.Client.
func (f *fixture) Respond(x *exchange.Exchange, r exchange.Response) {
	f.responses[x] = append(f.responses[x], r)
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

// accept has the driver accept a request whose deadline is so much later.
func (f *fixture) accept(class uint8, deadline balance.Millis) *exchange.Exchange {
	x := exchange.New(f, nil)
	x.Class = class
	x.RespondBy = f.now + deadline
	x.ClientDeadline = x.RespondBy + 10
	f.driver.RequestArrived(x)
	return x
}

// end reports the end of an attempt.
func (f *fixture) end(a *exchange.Attempt, outcome balance.Outcome, body string) {
	f.remove(a)
	f.driver.AttemptEnded(a, exchange.Result{Outcome: outcome, Body: []byte(body)})
}

// serve accepts requests and serves each at once, which earns a budget for retries.
func (f *fixture) serve(requests int) {
	f.t.Helper()
	for range requests {
		f.accept(idempotentClass, 1000)
		f.end(f.inFlight[0], balance.OK, "")
	}
}

// advance advances the clock and runs the timers that are due on the way.
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

// disposition returns the disposition of an exchange's only response, or InProgress if it has not exactly one.
func (f *fixture) disposition(x *exchange.Exchange) exchange.Disposition {
	if len(f.responses[x]) != 1 {
		return exchange.InProgress
	}
	return f.responses[x][0].Disposition
}
