package balance

// newThrottled returns an instance whose accept window holds the given numbers of requests
// and accepts, indexed by class. Its in-flight limit is used up, so that the formula is applied.
func newThrottled(cfg Config, requests, accepts []float64) *Balancer {
	b := New(cfg, 1, 0)
	b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(4), Snapshot: true})
	for c := range requests {
		for i := range int(requests[c]) {
			accept := 0.0
			if float64(i) < accepts[c] {
				accept = 1
			}
			b.window.count(uint8(c), accept)
		}
	}
	b.zones[0].inFlight = 1000
	return b
}

// rejectedFraction returns the fraction of the requests of a class that the throttle rejects.
func rejectedFraction(b *Balancer, class uint8) float64 {
	const n = 4000
	count := 0.0
	for range n {
		if b.throttled(&request{class: class, weight: b.settings.Classes[class].PriorityWeight}) {
			count++
		}
	}
	return count / n
}

func twoClasses(low, high float64) Config {
	cfg := testConfig()
	cfg.Classes = []Class{{LatencyObjective: 1000, PriorityWeight: low}, {LatencyObjective: 1000, PriorityWeight: high}}
	return cfg
}

func testConfig() Config {
	return Config{
		Replicas: 2, Granularity: 5, SlowStartCapacity: 0.2, SlowStartDuration: 10000, OverloadMultiple: 3, OverloadDuration: 1500,
		MaxAttempts: 4, CanCancel: true, MaxRetryAfter: 2000, OverQuotaWeight: 0.1,
		Classes: []Class{
			{LatencyObjective: 800, Deadline: 2000, PriorityWeight: 12, Idempotency: Idempotent},
			{LatencyObjective: 1200, Deadline: 3000, PriorityWeight: 1, Idempotency: NonIdempotent},
			{LatencyObjective: 2500, Deadline: 6000, PriorityWeight: 1, Idempotency: WithIdempotencyKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 700},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 2, Idempotency: WithIdempotencyKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 5000},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 2, Idempotency: WithIdempotencyKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 900},
		},
	}
}

func testEndpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: UpstreamID(100 + 7*i), Zone: uint16(i % 2), Cell: uint16(i % 3), State: Ready})
	}
	return out
}

// endpointsInZone returns n endpoints with the ids 1 to n, all in the zone of the instance.
func endpointsInZone(n int) []Endpoint {
	list := testEndpoints(n)
	for i := range list {
		list[i].ID, list[i].Zone = UpstreamID(i+1), 0
	}
	return list
}

// countForwarded reports n requests to an instance, one every 20 ms, ends their attempts successfully,
// and counts the attempts by upstream.
func countForwarded(b *Balancer, from Millis, first RequestID, n int) map[UpstreamID]int {
	to := map[UpstreamID]int{}
	for i := range n {
		now, id := from+Millis(i)*20, first+RequestID(i)
		b.OnTimer(now, timerTick)
		discard(b)
		b.OnRequest(now, &RequestArrived{Request: id, ExpiresIn: 2000})
		for _, up := range forwarded(b) {
			to[up]++
			b.OnAttemptEnded(now+10, &AttemptEnded{Request: id, Outcome: OK, Elapsed: 10, RequestDone: true})
			discard(b)
		}
	}
	return to
}

// drain removes all pending actions and returns those of type T.
func drain[T any](b *Balancer) (found []T) {
	for action, more := b.NextAction(); more; action, more = b.NextAction() {
		if a, ok := any(action).(*T); ok {
			found = append(found, *a)
		}
	}
	return found
}

// discard removes all pending actions.
func discard(b *Balancer) {
	for _, more := b.NextAction(); more; {
		_, more = b.NextAction()
	}
}

// forwarded removes all pending actions and returns the upstreams to which requests are forwarded.
func forwarded(b *Balancer) (to []UpstreamID) {
	for _, a := range drain[ForwardRequest](b) {
		to = append(to, a.Upstream)
	}
	return to
}
