package balance

// Requests in progress: their attempts and their final responses.

// noAttempt stands for no attempt where the index of an attempt is expected.
const noAttempt = -1

// request is the state of a request from its arrival until its last attempt has ended.
type request struct {
	id              RequestID
	settings        *Config // settings at the arrival of the request, which apply until its end
	class           uint8
	concluded       bool    // it has its final response or needs none, so nothing more is forwarded for it
	queued          bool    // it is in the admission queue
	bodyIncomplete  bool    // the last byte of its body has not arrived yet
	bodySent        bool    // part of its body was sent and is no longer stored, so it cannot be retried
	weight          float64 // PriorityWeight of its class, reduced if its tenant is over quota
	arrivedAt       Millis
	usefulUntil     Millis // a later response earns nothing, or the client no longer waits for it
	expiresAt       Millis // the client gives up at this time
	attempts        []attempt
	openAttempts    int // number of attempts that have not ended
	firstMayHaveRun int // index of the first attempt that an upstream may have executed, or noAttempt
}

// attempt is one try to get a request served by an upstream.
type attempt struct {
	upstream     *upstream
	sentTo       Endpoint // the upstream when the attempt was sent; its id may be that of another process now
	sentAt       Millis
	ended        bool
	notSent      bool       // it ended with the outcome NotSent
	countsAsLoad bool       // the upstream has the complete request and has not started to respond
	loadedZone   *zoneClass // where it counts as load
}

// classRules returns the settings of the request's class.
func (r *request) classRules() *Class { return &r.settings.Classes[r.class] }

func (r *request) triedAt(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// requestTable holds the requests in progress, and the memory of finished ones for reuse.
type requestTable struct {
	byID     map[RequestID]*request
	arrivals []*request // sorted by arrival; finished requests are removed at the next tick or at sweepAt
	free     []*request // finished requests whose memory can be reused
	sweepAt  int        // length of arrivals at which the finished requests are removed before the next tick
}

// minSweep is how many requests arrivals may have, beside twice those in progress, until a sweep.
// It bounds the memory of a flood of requests that are rejected at once, before the next tick.
const minSweep = 128

func newRequestTable() requestTable {
	return requestTable{byID: map[RequestID]*request{}, sweepAt: minSweep}
}

// acquire returns a request to be filled in.
// It reuses a finished one with the memory of its attempts if there is one.
func (t *requestTable) acquire() *request {
	n := len(t.free)
	if n == 0 {
		return new(request)
	}
	r := t.free[n-1]
	t.free = t.free[:n-1]
	return r
}

func (t *requestTable) add(r *request) {
	t.byID[r.id] = r
	t.arrivals = append(t.arrivals, r)
}

// dropFinished removes the finished requests from the table and keeps their memory for reuse.
func (t *requestTable) dropFinished() {
	kept := t.arrivals[:0]
	for _, r := range t.arrivals {
		if r.concluded && r.openAttempts == 0 {
			t.free = append(t.free, r)
		} else {
			kept = append(kept, r)
		}
	}
	clear(t.arrivals[len(kept):])
	t.arrivals = kept
	t.sweepAt = 2*len(kept) + minSweep
}

// addRequest adds a request that has arrived to the requests in progress.
func (b *Balancer) addRequest(e *RequestArrived) *request {
	if len(b.requests.arrivals) >= b.requests.sweepAt {
		b.requests.dropFinished()
	}
	r := b.requests.acquire()
	c := &b.settings.Classes[e.Class]
	*r = request{
		id:              e.Request,
		settings:        b.settings,
		class:           e.Class,
		bodyIncomplete:  e.BodyIncomplete,
		weight:          c.PriorityWeight * b.tenantWeightFactor(int(e.Tenant)),
		arrivedAt:       b.now,
		expiresAt:       b.now + e.ExpiresIn,
		attempts:        r.attempts[:0],
		firstMayHaveRun: noAttempt,
	}
	r.usefulUntil = b.usefulDeadline(r)
	b.requests.add(r)
	return r
}

// usefulDeadline returns the time after which a response to the request earns nothing.
// This is the time at which the client gives up.
// If a late response earns nothing, it is no later than two granularities before the end of the latency
// objective, counted from the arrival.
// The objective is not used at inner tiers, which do not know it, nor for streamed responses and
// incomplete bodies.
func (b *Balancer) usefulDeadline(r *request) Millis {
	c := r.classRules()
	if b.settings.Tier > 0 || c.LateWeight > 0 || c.Streaming || r.bodyIncomplete {
		return r.expiresAt
	}
	return min(r.expiresAt, r.arrivedAt+c.LatencyObjective-2*b.settings.Granularity)
}

// startLoad counts an attempt as load of its upstream and zone class.
func (b *Balancer) startLoad(r *request, a *attempt) {
	a.countsAsLoad = true
	a.upstream.inFlight++
	a.loadedZone = b.zoneOf(a.upstream)
	a.loadedZone.addInFlight(r.class, 1)
}

// endLoad stops counting an attempt as load. It does nothing if the attempt does not count as load.
func (b *Balancer) endLoad(r *request, a *attempt) {
	if !a.countsAsLoad {
		return
	}
	a.countsAsLoad = false
	a.upstream.inFlight--
	a.loadedZone.addInFlight(r.class, -1)
}

// endAttempt records the end of an attempt.
// The request is retried or given up if it has no final response and no other attempt in flight.
func (b *Balancer) endAttempt(r *request, a *attempt, e *AttemptEnded) {
	wasConcluded := r.concluded
	recordedAtStart := !a.countsAsLoad && wasConcluded && e.Outcome == OK // see startStreaming
	a.ended = true
	a.notSent = e.Outcome == NotSent
	r.openAttempts--
	r.bodySent = r.bodySent || e.BodySent
	b.endLoad(r, a)
	if e.LoadReported {
		a.upstream.reportedInFlight = e.ReportedInFlight
		a.upstream.reportedAt = b.now
	}
	if !recordedAtStart {
		b.recordOutcome(r, a, e.Outcome, e.Elapsed)
	}
	if !wasConcluded {
		b.countOutcome(r, a, e.Outcome, e.Elapsed)
	}
	if e.Outcome.NeverRan() && r.firstMayHaveRun == e.Attempt {
		r.firstMayHaveRun = noAttempt
	}
	switch {
	case e.RequestDone && !wasConcluded:
		b.conclude(r)
	case !r.concluded && r.openAttempts == 0:
		b.retryOrGiveUp(r, a, e.Outcome, e.Elapsed)
	}
	if r.concluded && r.openAttempts == 0 {
		delete(b.requests.byID, r.id)
	}
}

// startStreaming records the outcome of an attempt when its response starts to be streamed,
// and concludes the request, since this is its final response.
func (b *Balancer) startStreaming(r *request, a *attempt, elapsed Millis) {
	b.endLoad(r, a)
	b.recordOutcome(r, a, OK, elapsed)
	if !r.concluded {
		b.countOutcome(r, a, OK, elapsed)
		b.conclude(r)
	}
}

// completeBody handles the arrival of the last byte of a request body.
// The latencies of the request and of its attempts in flight are measured from now on.
// The attempts count as load and get new timeouts, and a queued request gets a new queue timeout.
func (b *Balancer) completeBody(r *request, expiresIn Millis) {
	r.bodyIncomplete = false
	r.arrivedAt = b.now
	r.expiresAt = b.now + expiresIn
	r.usefulUntil = b.usefulDeadline(r)
	b.limitQueueing(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.ended {
			continue
		}
		a.sentAt = b.now
		b.startLoad(r, a)
		b.outbox.setTimeout(SetAttemptTimeout{Request: r.id, Attempt: i, Timeout: b.attemptTimeout(r)})
	}
}

// shortenDeadline moves the deadline of a request in progress to an earlier time.
func (b *Balancer) shortenDeadline(r *request, expiresIn Millis) {
	r.expiresAt = min(r.expiresAt, b.now+expiresIn)
	r.usefulUntil = min(r.usefulUntil, r.expiresAt)
	b.limitQueueing(r)
}

// conclude records that a request has its final response or needs none.
// Attempts in flight are cancelled where allowed, since the client no longer waits for them.
func (b *Balancer) conclude(r *request) {
	r.concluded = true
	b.queue.remove(r)
	for i := range r.attempts {
		if r.cancellable(&r.attempts[i]) {
			b.outbox.cancel(CancelAttempt{Request: r.id, Attempt: i})
		}
	}
	if r.openAttempts == 0 {
		delete(b.requests.byID, r.id)
	}
}

// cancellable reports whether an attempt may be cancelled once the request is concluded.
// A response that has started to be streamed continues.
// An attempt whose request will never be complete is ended even if the settings do not allow to cancel:
// its upstream has nothing to execute, and it would hold its connection until the upstream closes it.
func (r *request) cancellable(a *attempt) bool {
	switch {
	case a.ended:
		return false
	case r.bodyIncomplete:
		return true
	case !r.settings.CanCancel || r.classRules().Streaming:
		return false
	}
	return a.countsAsLoad
}

// reject gives up a request that has had no attempt. The accept window counts the request as not accepted.
func (b *Balancer) reject(r *request, reason GiveUpReason) {
	b.window.count(r.class, 0)
	b.giveUp(r, reason)
}

// giveUp gives the final response to a request that is not served: a rejection if it is safe
// and still useful to send the request again, else a failure.
func (b *Balancer) giveUp(r *request, reason GiveUpReason) {
	if r.safeToResend() && (r.firstMayHaveRun < 0 || b.now < r.usefulUntil) {
		b.outbox.reject(RejectRequest{Request: r.id, RetryAfter: b.retryAfter(r), Reason: reason})
	} else {
		b.outbox.fail(FailRequest{Request: r.id, Reason: reason})
	}
	b.conclude(r)
}

// safeToResend reports whether a client may send the request again to any upstream.
func (r *request) safeToResend() bool {
	if r.firstMayHaveRun < 0 {
		return true
	}
	c := r.classRules()
	return c.Idempotency == Idempotent ||
		c.Idempotency == WithIdempotencyKey && c.DeduplicationScope == ScopeAll
}

// retryAfter returns the delay after which a client should send a request again: long enough for the window
// to have moved on, and short enough for a response that still earns its weight. 0 means no advice.
func (b *Balancer) retryAfter(r *request) Millis {
	if b.settings.MaxRetryAfter <= 0 {
		return 0
	}
	return min(b.settings.MaxRetryAfter, r.classRules().LatencyObjective/2)
}
