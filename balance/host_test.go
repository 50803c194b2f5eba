package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fakeHost is the host of one instance. It draws the outcomes of attempts and their durations at random,
// and checks that the actions of the instance obey the rules of the service. It does not simulate upstreams.
type fakeHost struct {
	t         *testing.T
	cfg       Config
	b         *Balancer
	rng       *rand.Rand
	now       Millis
	nextID    RequestID
	requests  map[RequestID]*hostRequest
	arrivals  []*hostRequest
	endpoints map[UpstreamID]*hostEndpoint
	timers    []hostTimer
	forwarded int
	log       []string // every action, for the comparison of two runs
}

// hostRequest is the state of a request at the host.
type hostRequest struct {
	id        RequestID
	class     Class
	expiresAt Millis
	responded bool
	attempts  []*hostAttempt
}

// hostAttempt is the state of an attempt at the host.
type hostAttempt struct {
	upstream UpstreamID
	sentTo   Endpoint // the endpoint as it was reported when the attempt was sent
	sentAt   Millis
	endsAt   Millis
	outcome  Outcome
	ended    bool
	neverRan bool // its outcome proves that it was not executed
}

// hostEndpoint is an endpoint as the host last reported it.
type hostEndpoint struct {
	Endpoint
	unavailableSince Millis // when it was reported as draining or removed; 0 if it is ready
}

// hostTimer is a timer that the instance has set and that has not fired.
type hostTimer struct {
	at    Millis
	timer TimerID
}

func newFakeHost(t *testing.T, cfg Config, seed uint64) *fakeHost {
	f := &fakeHost{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: 1e6, nextID: 1,
		requests: map[RequestID]*hostRequest{}, endpoints: map[UpstreamID]*hostEndpoint{}}
	f.b = New(cfg, seed, f.now)
	f.executeActions()
	return f
}

func (f *fakeHost) fail(format string, args ...any) {
	f.t.Helper()
	f.t.Fatalf("at %.0f ms: %s", f.now, fmt.Sprintf(format, args...))
}

// executeActions executes the pending actions of the instance.
func (f *fakeHost) executeActions() {
	for action, more := f.b.NextAction(); more; action, more = f.b.NextAction() {
		f.log = append(f.log, fmt.Sprintf("%.0f %T %v", f.now, action, action))
		switch a := action.(type) {
		case *ForwardRequest:
			f.forward(a)
		case *RejectRequest:
			f.reject(a.Request)
		case *FailRequest:
			f.respond(a.Request)
		case *CancelAttempt:
			req := f.requests[a.Request]
			if req == nil || a.Attempt >= len(req.attempts) {
				f.fail("cancels an attempt that was never sent: %v", a)
			}
			if attempt := req.attempts[a.Attempt]; !attempt.ended {
				attempt.endsAt, attempt.outcome = f.now, Cancelled
			}
		case *SetTimer:
			f.timers = append(f.timers, hostTimer{f.now + max(a.After, f.cfg.Granularity), a.Timer})
		}
	}
}

func (req *hostRequest) firstMayHaveRun() (*hostAttempt, bool) {
	for _, attempt := range req.attempts {
		if !attempt.neverRan {
			return attempt, true
		}
	}
	return nil, false
}

// forward checks that an attempt obeys the rules, and draws its outcome and its end.
func (f *fakeHost) forward(a *ForwardRequest) {
	f.forwarded++
	r, u := f.requests[a.Request], f.endpoints[a.Upstream]
	f.checkForward(a, r, u)
	f.checkRetry(a, r, u)
	attempt := &hostAttempt{upstream: a.Upstream, sentTo: u.Endpoint, sentAt: f.now}
	limit := r.expiresAt
	if a.Timeout > 0 {
		limit = min(limit, f.now+a.Timeout)
	}
	attempt.endsAt, attempt.outcome = f.drawOutcome(limit)
	r.attempts = append(r.attempts, attempt)
}

// checkForward checks that a request may get another attempt now and that its upstream may be used.
func (f *fakeHost) checkForward(a *ForwardRequest, r *hostRequest, u *hostEndpoint) {
	switch {
	case r == nil || r.responded:
		f.fail("forwards a request that already has its response: %v", a)
	case u == nil:
		f.fail("forwards to an unknown upstream: %v", a)
	case u.unavailableSince > 0:
		f.fail("forwards to an upstream that is draining or removed since %.0f", u.unavailableSince)
	case f.now >= r.expiresAt:
		f.fail("forwards a request after the client's deadline")
	case len(r.attempts) >= f.cfg.MaxAttempts:
		f.fail("sends attempt %d of a request, at most %d are allowed", len(r.attempts)+1, f.cfg.MaxAttempts)
	}
	for _, earlier := range r.attempts {
		if !earlier.ended && !f.cfg.Hedging {
			f.fail("two attempts of request %d in flight at once", r.id)
		}
	}
}

// checkRetry checks that a request that may have been executed may be sent again to an upstream, and that the host is told
// until when.
func (f *fakeHost) checkRetry(a *ForwardRequest, r *hostRequest, u *hostEndpoint) {
	first, ran := r.firstMayHaveRun()
	if hasLimit := a.SendWithin > 0; hasLimit != (ran && r.class.Idempotency == WithIdempotencyKey) {
		f.fail("the time in which the request %d has to be sent is %.0f ms", r.id, a.SendWithin)
	}
	if !ran {
		return
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		f.fail("sends the non-idempotent request %d again", r.id)
	case WithIdempotencyKey:
		if f.now+a.SendWithin > first.sentAt+r.class.DeduplicationWindow {
			f.fail("sends the request %d with an idempotency key again after its deduplication window", r.id)
		}
		previous := first.sentTo
		otherZone := r.class.DeduplicationScope != ScopeAll && previous.Zone != u.Zone
		otherCell := r.class.DeduplicationScope == ScopeCell && previous.Cell != u.Cell
		if otherZone || otherCell {
			f.fail("sends the request %d with an idempotency key again outside its deduplication scope", r.id)
		}
	}
}

// drawOutcome draws the end of an attempt, which is not after limit, and its outcome.
func (f *fakeHost) drawOutcome(limit Millis) (Millis, Outcome) {
	outcome := []Outcome{OK, OK, OK, OK, OK, OK, OK, OK, OK, UpstreamError, Overloaded, ConnectFailed, ConnectionReset, TimedOut}[f.rng.IntN(14)]
	at := f.now + 5 + f.rng.Float64()*400
	if outcome == TimedOut || at >= limit {
		return limit, TimedOut
	}
	return at, outcome
}

// reject checks that a rejected request may safely be sent again, and records its response.
func (f *fakeHost) reject(id RequestID) {
	if r := f.requests[id]; r != nil && !r.responded {
		_, ran := r.firstMayHaveRun()
		outsideScope := r.class.Idempotency == WithIdempotencyKey && r.class.DeduplicationScope != ScopeAll
		if ran && (r.class.Idempotency == NonIdempotent || outsideScope) {
			f.fail("rejects the request %d, which may have been executed", r.id)
		}
	}
	f.respond(id)
}

// respond checks that a final response is the first one of its request and in time, and records it.
func (f *fakeHost) respond(id RequestID) {
	r := f.requests[id]
	if r == nil || r.responded {
		f.fail("second response to the request %d", id)
	}
	if f.now > r.expiresAt+2*f.cfg.Granularity {
		f.fail("response to the request %d is %.0f ms late", r.id, f.now-r.expiresAt)
	}
	r.responded = true
}

func (f *fakeHost) submit(class int, expiresIn Millis) *hostRequest {
	req := &hostRequest{id: f.nextID, class: f.cfg.Classes[class], expiresAt: f.now + expiresIn}
	f.nextID++
	f.requests[req.id] = req
	f.arrivals = append(f.arrivals, req)
	f.b.OnRequest(f.now, &RequestArrived{Request: req.id, Class: uint8(class), ExpiresIn: expiresIn})
	f.executeActions()
	return req
}

// sendSnapshot reports the whole endpoint list to the instance.
func (f *fakeHost) sendSnapshot(endpoints ...Endpoint) {
	listed := f.recordEndpoints(endpoints)
	for id, u := range f.endpoints {
		if !listed[id] {
			u.unavailableSince = f.now
		}
	}
	f.b.OnEndpointUpdate(f.now, EndpointUpdate{Endpoints: endpoints, Snapshot: true})
	f.executeActions()
}

// sendDelta reports changed endpoints to the instance.
func (f *fakeHost) sendDelta(endpoints ...Endpoint) {
	f.recordEndpoints(endpoints)
	f.b.OnEndpointUpdate(f.now, EndpointUpdate{Endpoints: endpoints})
	f.executeActions()
}

// recordEndpoints records endpoints that the host is about to report, and returns their ids.
func (f *fakeHost) recordEndpoints(endpoints []Endpoint) map[UpstreamID]bool {
	listed := map[UpstreamID]bool{}
	for _, e := range endpoints {
		listed[e.ID] = true
		u := f.endpoints[e.ID]
		if u == nil {
			u = &hostEndpoint{}
			f.endpoints[e.ID] = u
		}
		u.Endpoint = e
		u.unavailableSince = 0
		if e.State != Ready {
			u.unavailableSince = f.now
		}
	}
	return listed
}

// endAttempt ends the n-th attempt of a request, counted from 0.
func (f *fakeHost) endAttempt(req *hostRequest, n int, outcome Outcome) {
	attempt := req.attempts[n]
	attempt.ended, attempt.neverRan = true, outcome.NeverRan()
	if outcome == OK {
		req.responded = true
	}
	f.b.OnAttemptEnded(f.now, &AttemptEnded{Request: req.id, Attempt: n, Outcome: outcome,
		Elapsed: f.now - attempt.sentAt, RequestDone: req.responded})
	f.executeActions()
}

// step advances the clock by Granularity, then fires the timers and ends the attempts that are due.
func (f *fakeHost) step() {
	f.now += f.cfg.Granularity
	due := f.timers
	f.timers = nil
	for _, x := range due {
		if x.at <= f.now {
			f.b.OnTimer(f.now, x.timer)
			f.executeActions()
		} else {
			f.timers = append(f.timers, x)
		}
	}
	kept := f.arrivals[:0]
	for _, req := range f.arrivals {
		open := false
		for n := 0; n < len(req.attempts); n++ {
			if attempt := req.attempts[n]; !attempt.ended && attempt.endsAt <= f.now {
				f.endAttempt(req, n, attempt.outcome)
			}
		}
		for _, attempt := range req.attempts {
			open = open || !attempt.ended
		}
		if !req.responded && f.now > req.expiresAt+2*f.cfg.Granularity {
			f.fail("the request %d got no response by its deadline", req.id)
		}
		if !req.responded || open {
			kept = append(kept, req)
		} else {
			delete(f.requests, req.id)
		}
	}
	f.arrivals = kept
}

// newWarmHost returns a host whose instance has served enough requests to have meaningful counts.
func newWarmHost(t *testing.T, cfg Config, upstreams int) *fakeHost {
	f := newFakeHost(t, cfg, 3)
	f.sendSnapshot(testEndpoints(upstreams)...)
	for range 150 {
		req := f.submit(0, 2000)
		if len(req.attempts) > 0 {
			f.now += 20
			f.endAttempt(req, 0, OK)
		}
		f.step()
	}
	return f
}
