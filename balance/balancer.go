// Package balance makes the decisions of one instance of the load balancer: which requests are rejected,
// which upstream gets each attempt, and which failed attempts are retried.
//
// A host reports events to a Balancer by calling its On... methods.
// It carries out the actions that NextAction returns.
// The package does no I/O, reads no clock and depends on no protocol.
//
// A request normally takes these steps:
//   - The throttle may reject it. Requests of the lowest priority weight are rejected first.
//   - An upstream is selected: first the zone class, then the less loaded of two random upstreams.
//   - The request is forwarded, and the attempt ends.
//   - If the attempt failed, the request may be retried within the retry budget.
//
// All other code handles exceptional cases; docs/design.md says when each of them applies.
package balance

import "math/rand/v2"

const (
	tickInterval    Millis = 100   // time between two runs of the housekeeping
	minWatchBackoff Millis = 1000  // delay before a failed watch is repeated; it doubles with each failure
	maxWatchBackoff Millis = 16000 // upper bound of the delay of a failed watch, without the random factor
	minWatchJitter         = 0.5   // random factor of the delay of a failed watch: at least this, below 1.5
)

// Ids of the timers of an instance.
// An id below timerTick is the id of a queued request, and its timer is the queue timeout of that request.
const (
	timerTick  TimerID = 1 << 32
	timerWatch TimerID = 2 << 32
)

// randomStream selects a random number stream other than the host's.
// An instance and its host may thus use the same seed.
const randomStream = 0x5a17

// Balancer is one instance of the load balancer.
// Each of its components, such as retryBudget, is the state of one mechanism and is defined in the file of
// that mechanism. Decisions that need several components are methods of Balancer in the file of the
// mechanism that they belong to.
// A Balancer is not safe for concurrent use.
type Balancer struct {
	settings *Config
	now      Millis
	rng      *rand.Rand
	outbox   outbox

	requests  requestTable
	endpoints endpointTable
	zones     [zoneClasses]zoneClass

	window       acceptWindow
	retryBudget  retryBudget
	tenants      tenantQuotas
	serviceTimes serviceTimes
	limiter      concurrencyLimiter
	queue        admissionQueue
	spillover    zoneSpillover
	subset       subsetSelection
	slowStart    slowStartRate
	outliers     outlierDetection

	candidates   []candidate // buffer that is reused for each selection of an upstream
	lastTick     Millis
	watchBackoff Millis
}

// New returns an instance that starts at the time now.
// The same seed and the same events give the same actions.
func New(cfg Config, seed uint64, now Millis) *Balancer {
	b := &Balancer{
		settings:     &Config{},
		now:          now,
		rng:          rand.New(rand.NewPCG(seed, randomStream)),
		requests:     newRequestTable(),
		endpoints:    newEndpointTable(),
		window:       newAcceptWindow(now),
		outliers:     outlierDetection{lastSuccess: now},
		lastTick:     now,
		watchBackoff: minWatchBackoff,
	}
	b.applySettings(&cfg)
	for i := range b.zones {
		b.zones[i].limitPerUpstream = initialLimit / b.replicas()
	}
	b.spillover.nextStep = now + spilloverInterval
	if cfg.PollEndpoints {
		b.outbox.watchEndpoints()
	}
	b.outbox.setTimer(SetTimer{Timer: timerTick, After: tickInterval})
	return b
}

// replicas returns the number of instances that share the load, including this one.
func (b *Balancer) replicas() float64 { return float64(max(1, b.settings.Replicas)) }

// advance sets the clock of the instance to the time of an event,
// and closes the buckets that have ended by then.
func (b *Balancer) advance(now Millis) {
	b.now = now
	if now >= b.window.bucketEnd {
		b.closeBuckets()
	}
}

// closeBuckets closes the buckets of the accept window and of the retry budget that have reached their end.
func (b *Balancer) closeBuckets() {
	for b.now >= b.window.bucketEnd {
		if b.window.closeBucket() {
			b.retryBudget.clearBucket(b.window.current)
		}
	}
}

// OnRequest handles the arrival of a request.
// It ignores a request whose id is already in use or whose class is unknown or removed.
func (b *Balancer) OnRequest(now Millis, e *RequestArrived) {
	b.advance(now)
	if b.validRequest(e) {
		b.admitOrReject(b.addRequest(e))
	}
	b.admitQueued()
}

// validRequest reports whether the id of a request is unused and its class exists and is not removed.
func (b *Balancer) validRequest(e *RequestArrived) bool {
	if b.requests.byID[e.Request] != nil || int(e.Class) >= len(b.settings.Classes) {
		return false
	}
	return !b.settings.Classes[e.Class].Removed
}

// admitOrReject rejects a new request, forwards it or adds it to the admission queue.
func (b *Balancer) admitOrReject(r *request) {
	switch {
	case b.throttled(r):
		b.reject(r, ReasonThrottled)
	case b.hasCapacity(r):
		b.forwardOrGiveUp(r)
	default:
		b.enqueue(r)
	}
}

// OnAttemptEnded handles the end of an attempt. It ignores an attempt that is unknown or has already ended.
func (b *Balancer) OnAttemptEnded(now Millis, e *AttemptEnded) {
	b.advance(now)
	r := b.requests.byID[e.Request]
	if r != nil && e.Attempt < len(r.attempts) && !r.attempts[e.Attempt].ended {
		b.endAttempt(r, &r.attempts[e.Attempt], e)
	}
	b.admitQueued()
}

// OnResponseStarted handles the start of a streamed response.
// From then on the attempt counts as successful and no longer as load of its upstream.
func (b *Balancer) OnResponseStarted(now Millis, e *ResponseStarted) {
	b.advance(now)
	r := b.requests.byID[e.Request]
	if r != nil && e.Attempt < len(r.attempts) {
		b.startStreaming(r, &r.attempts[e.Attempt], e.Elapsed)
	}
	b.admitQueued()
}

// OnBodyComplete handles the last byte of a request that arrived with an incomplete body.
// The upstream starts to process the request at that byte.
// The latencies of the request and of its attempts are therefore measured from now on.
// The client gives up after expiresIn.
func (b *Balancer) OnBodyComplete(now Millis, id RequestID, expiresIn Millis) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && r.bodyIncomplete && !r.concluded {
		b.completeBody(r, expiresIn)
	}
	b.admitQueued()
}

// OnDeadlineShortened handles a new, earlier deadline of a request in progress:
// the client gives up after expiresIn. If the request is queued, its queue timeout is shortened too.
func (b *Balancer) OnDeadlineShortened(now Millis, id RequestID, expiresIn Millis) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && !r.concluded {
		b.shortenDeadline(r, expiresIn)
	}
	b.admitQueued()
}

// OnRequestConcluded handles a request that the host has ended itself: the client has disconnected,
// or the host sent the final response at the end of a shutdown.
// The request needs no response from the instance any more.
func (b *Balancer) OnRequestConcluded(now Millis, id RequestID) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && !r.concluded {
		b.conclude(r)
	}
	b.admitQueued()
}

// OnTimer handles a timer that has fired. It ignores the timer of a request that is no longer queued.
func (b *Balancer) OnTimer(now Millis, timer TimerID) {
	b.advance(now)
	switch {
	case timer == timerTick:
		b.tick()
		b.outbox.setTimer(SetTimer{Timer: timerTick, After: tickInterval})
	case timer == timerWatch:
		b.outbox.watchEndpoints()
	case timer < timerTick:
		if r := b.requests.byID[RequestID(timer)]; r != nil && r.queued {
			b.reject(r, ReasonQueueTimeout)
		}
	}
	b.admitQueued()
}

// OnEndpointUpdate handles an update of the endpoint list.
// From now on no attempt is sent to an endpoint that the update marks as draining or removed.
func (b *Balancer) OnEndpointUpdate(now Millis, e EndpointUpdate) {
	b.advance(now)
	b.updateEndpoints(e)
	b.admitQueued()
}

// OnWatchFailed handles the failure of a WatchEndpoints action.
// The watch is repeated after a random, exponentially growing delay, because discovery may be overloaded.
func (b *Balancer) OnWatchFailed(now Millis) {
	b.advance(now)
	if b.settings.PollEndpoints {
		jitter := minWatchJitter + b.rng.Float64()
		b.outbox.setTimer(SetTimer{Timer: timerWatch, After: b.watchBackoff * jitter})
		b.watchBackoff = min(maxWatchBackoff, 2*b.watchBackoff)
	}
	b.admitQueued()
}

// OnSettings replaces the settings for requests that arrive from now on.
// Requests in progress keep the settings under which they arrived.
func (b *Balancer) OnSettings(now Millis, cfg *Config) {
	b.advance(now)
	b.applySettings(cfg)
	b.updateUpstreamSets()
	b.admitQueued()
}

// OnDisable handles an override that disables an upstream.
// No attempt is sent to it until OnEnable, whatever state the endpoint list reports.
func (b *Balancer) OnDisable(now Millis, id UpstreamID) {
	b.advance(now)
	b.disable(id)
	b.admitQueued()
}

// OnEnable handles an override that enables a disabled upstream.
// The upstream is assumed to have been restarted while it was disabled, so it warms up first.
func (b *Balancer) OnEnable(now Millis, id UpstreamID) {
	b.advance(now)
	b.enable(id)
	b.admitQueued()
}

// NextAction returns the next action for the host, or false if there is none.
// Events that the host reports while it carries out an action add their actions to the end of the queue.
func (b *Balancer) NextAction() (Action, bool) { return b.outbox.pop() }

// tick does the housekeeping that is due every tickInterval.
func (b *Balancer) tick() {
	b.requests.dropFinished()
	elapsed := b.now - b.lastTick
	b.lastTick = b.now
	b.refillTenantTokens(elapsed)
	b.detectUnresponsive()
	b.refillSlowStart(elapsed)
	b.updateUpstreamSets()
	for i := range b.zones {
		b.zones[i].roundingDraw = b.rng.Float64()
	}
	if b.now >= b.spillover.nextStep {
		b.adjustSpillover()
	}
}

// updateUpstreamSets recomputes the state that is derived from the upstreams.
// For each zone class, this is its capacity and the subset of its upstreams that this instance uses.
func (b *Balancer) updateUpstreamSets() {
	b.updateZoneCapacity()
	b.selectSubsets()
}
