// Package balance decides, for one instance of the load balancer, what happens to every request.
//
// A host reports events to a Balancer, by its On… methods, and carries out the actions that NextAction
// returns. The package does no I/O, reads no clock and knows no protocol.
//
// The ordinary path of a request: the throttle may reject it, the lowest priority weight first; an upstream
// is selected (zone, then the less loaded of two random choices); the request is forwarded; the attempt
// ends; perhaps it is retried within the retry budget. Everything else is an exception; docs/design.md says
// when each acts.
package balance

import "math/rand/v2"

const (
	tickInterval    Millis = 100 // between housekeeping rounds
	minWatchBackoff Millis = 1000
	maxWatchBackoff Millis = 16000
	minWatchJitter         = 0.5 // of the backoff; the most is one more
)

// The timers of an instance. Smaller numbers are the ids of queued requests.
const (
	timerTick  TimerID = 1 << 32
	timerWatch TimerID = 2 << 32
)

// randomStream separates the instance's random numbers from those that the host draws by the same seed.
const randomStream = 0x5a17

// Balancer is one instance. Each of its parts is the state of one job, in the file of that job; the
// decisions that need several parts are methods of the Balancer in the same file.
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

	candidates   []candidate // memory that the selection of an upstream reuses
	lastTick     Millis
	watchBackoff Millis
}

// New returns an instance that has just started.
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

// replicas is the number of instances that share the load, itself included.
func (b *Balancer) replicas() float64 { return float64(max(1, b.settings.Replicas)) }

// advance moves the instance's clock on to an event.
func (b *Balancer) advance(now Millis) {
	b.now = now
	if now >= b.window.bucketEnd {
		b.closeBuckets()
	}
}

// closeBuckets ends the buckets of the window whose time is over.
func (b *Balancer) closeBuckets() {
	for b.now >= b.window.bucketEnd {
		if b.window.closeBucket() {
			b.retryBudget.clearBucket(b.window.current)
		}
	}
}

// OnRequest handles a new request.
func (b *Balancer) OnRequest(now Millis, e *RequestArrived) {
	b.advance(now)
	if b.acceptable(e) {
		b.decide(b.addRequest(e))
	}
	b.admitQueued()
}

// acceptable reports whether a request has an id of its own and a class that requests may have.
func (b *Balancer) acceptable(e *RequestArrived) bool {
	if b.requests.byID[e.Request] != nil || int(e.Class) >= len(b.settings.Classes) {
		return false
	}
	return !b.settings.Classes[e.Class].Removed
}

// decide rejects a new request, forwards it or queues it.
func (b *Balancer) decide(r *request) {
	switch {
	case b.throttled(r):
		b.reject(r, ReasonThrottled)
	case b.hasCapacity(r):
		b.forwardOrGiveUp(r)
	default:
		b.enqueue(r)
	}
}

// OnAttemptEnded handles the end of an attempt.
func (b *Balancer) OnAttemptEnded(now Millis, e *AttemptEnded) {
	b.advance(now)
	r := b.requests.byID[e.Request]
	if r != nil && e.Attempt < len(r.attempts) && !r.attempts[e.Attempt].ended {
		b.endAttempt(r, &r.attempts[e.Attempt], e)
	}
	b.admitQueued()
}

// OnResponseStarted handles the start of a streaming response, by which the attempt is judged.
func (b *Balancer) OnResponseStarted(now Millis, e *ResponseStarted) {
	b.advance(now)
	r := b.requests.byID[e.Request]
	if r != nil && e.Attempt < len(r.attempts) {
		b.startStreaming(r, &r.attempts[e.Attempt], e.Elapsed)
	}
	b.admitQueued()
}

// OnBodyComplete handles the last byte of a request that arrived with its body incomplete. The time of
// the request and of its attempts begins now: the upstream begins with that byte.
func (b *Balancer) OnBodyComplete(now Millis, id RequestID, expiresIn Millis) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && r.bodyIncomplete && !r.concluded {
		b.completeRequest(r, expiresIn)
	}
	b.admitQueued()
}

// OnDeadlineShortened handles an earlier deadline of a request in progress. It does not stay
// queued beyond that.
func (b *Balancer) OnDeadlineShortened(now Millis, id RequestID, expiresIn Millis) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && !r.concluded {
		b.shortenDeadline(r, expiresIn)
	}
	b.admitQueued()
}

// OnRequestConcluded handles a request that the host has ended by itself: its client has disconnected, or
// it got its response at the end of a shutdown. Nothing more is owed.
func (b *Balancer) OnRequestConcluded(now Millis, id RequestID) {
	b.advance(now)
	if r := b.requests.byID[id]; r != nil && !r.concluded {
		b.conclude(r)
	}
	b.admitQueued()
}

// OnTimer handles a timer that has fired.
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

// OnEndpointUpdate handles an update of the endpoints. Nothing new goes to one that is draining or
// removed, at once.
func (b *Balancer) OnEndpointUpdate(now Millis, e EndpointUpdate) {
	b.advance(now)
	b.updateEndpoints(e)
	b.admitQueued()
}

// OnWatchFailed handles a failure of the host to carry out WatchEndpoints. It is asked again with backoff:
// discovery may be short of capacity.
func (b *Balancer) OnWatchFailed(now Millis) {
	b.advance(now)
	if b.settings.PollEndpoints {
		jitter := minWatchJitter + b.rng.Float64()
		b.outbox.setTimer(SetTimer{Timer: timerWatch, After: b.watchBackoff * jitter})
		b.watchBackoff = min(maxWatchBackoff, 2*b.watchBackoff)
	}
	b.admitQueued()
}

// OnSettings replaces the settings for requests that arrive from now on. Requests in progress keep theirs.
func (b *Balancer) OnSettings(now Millis, cfg *Config) {
	b.advance(now)
	b.applySettings(cfg)
	b.updateUpstreamSets()
	b.admitQueued()
}

// OnDisable handles an upstream that operators have disabled, whatever the endpoint list says.
func (b *Balancer) OnDisable(now Millis, id UpstreamID) {
	b.advance(now)
	b.disable(id)
	b.admitQueued()
}

// OnEnable handles an upstream that operators have enabled again. It was restarted meanwhile.
func (b *Balancer) OnEnable(now Millis, id UpstreamID) {
	b.advance(now)
	b.enable(id)
	b.admitQueued()
}

// NextAction returns the next action for the host, or false if there is none. Events that are reported
// while an action is carried out append their actions to those that are pending.
func (b *Balancer) NextAction() (Action, bool) { return b.outbox.pop() }

// tick is the housekeeping round.
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

// updateUpstreamSets brings what is derived from the upstreams up to date: what each zone class can take, and
// the subset of it that this instance works with.
func (b *Balancer) updateUpstreamSets() {
	b.updateZoneCapacity()
	b.selectSubsets()
}
