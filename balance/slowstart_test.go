package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// TestWarmingUpstreamGetsItsShare checks that a warming upstream gets little more than its warm fraction
// of the requests that a warm one gets.
func TestWarmingUpstreamGetsItsShare(t *testing.T) {
	cfg := testConfig()
	f := newWarmHost(t, cfg, 6)
	all := testEndpoints(6)
	all[0].StartedAt = f.now
	f.sendDelta(all[0])
	attempts := map[UpstreamID]int{}
	for range 300 {
		req := f.submit(0, 2000)
		for _, attempt := range req.attempts {
			attempts[attempt.upstream]++
		}
		if len(req.attempts) > 0 {
			f.endAttempt(req, 0, OK)
		}
		f.step()
	}
	warm := float64(attempts[all[2].ID]+attempts[all[4].ID]) / 2
	if got := float64(attempts[all[0].ID]); got > warm*0.4+2 || warm < 50 {
		t.Errorf("%v attempts at the warming upstream, %v at a warm one; want at most 0.4 times as many, and at least 50 at the warm one", got, warm)
	}
}

// burstFleet is a set of instances that share the same upstreams and get equal traffic.
type burstFleet struct {
	cfg      Config
	hosts    []*fakeHost
	attempts map[UpstreamID]int
}

func newBurstFleet(t *testing.T, instances int, seed uint64, endpoints []Endpoint) *burstFleet {
	f := &burstFleet{cfg: testConfig(), attempts: map[UpstreamID]int{}}
	f.cfg.Replicas = instances
	for i := range instances {
		f.cfg.Instance = i
		host := newFakeHost(t, f.cfg, seed*uint64(instances)+uint64(i))
		host.sendSnapshot(endpoints...)
		f.hosts = append(f.hosts, host)
	}
	return f
}

// play reports rate requests per second to each instance for the given time in ms,
// after a burst of requests at once.
func (f *burstFleet) play(ms Millis, rate float64, burst int) {
	clear(f.attempts)
	for end := f.hosts[0].now + ms; f.hosts[0].now < end; burst = 0 {
		for _, host := range f.hosts {
			n := burst
			if host.rng.Float64() < rate*f.cfg.Granularity/1000 {
				n++
			}
			for range n {
				host.submit(0, 2000)
			}
			host.completeNewAttempts(f.attempts)
			host.step()
		}
	}
}

// completeNewAttempts counts the attempts that were sent at the present time.
// Those that do not end at once will succeed after 100 ms.
func (f *fakeHost) completeNewAttempts(attempts map[UpstreamID]int) {
	for _, r := range f.arrivals {
		for _, a := range r.attempts {
			if a.sentAt != f.now {
				continue
			}
			attempts[a.upstream]++
			if a.endsAt > f.now {
				a.outcome, a.endsAt = OK, f.now+100
			}
		}
	}
}

// restart reports that the processes of endpoints have started at the present time.
func (f *burstFleet) restart(endpoints []Endpoint) {
	for i := range endpoints {
		endpoints[i].StartedAt = f.hosts[0].now
	}
	for _, host := range f.hosts {
		host.sendDelta(endpoints...)
	}
}

// TestWarmingUpstreamInABurst checks that all instances together do not overload upstreams that are warming
// up, even in a burst after little traffic and if most upstreams are warming up.
func TestWarmingUpstreamInABurst(t *testing.T) {
	const instances, warm, warming = 30, 1, 10
	for seed := range uint64(10) {
		list := testEndpoints(warm + warming)
		for i := range list {
			list[i].Zone = 0
		}
		f := newBurstFleet(t, instances, seed, list)
		f.play(6000, 2, 0)
		total := 0
		for _, n := range f.attempts {
			total += n
		}
		each := float64(total) / (warm + warming) / 6000
		f.restart(list[:warming])
		f.play(500, 0.5, 0) // little traffic
		f.play(f.cfg.OverloadDuration, 18, 12)
		warmFraction := f.cfg.SlowStartCapacity + (1-f.cfg.SlowStartCapacity)*500/f.cfg.SlowStartDuration
		budget := f.cfg.OverloadMultiple * warmFraction * each * f.cfg.OverloadDuration
		most := 0
		for _, e := range list[:warming] {
			most = max(most, f.attempts[e.ID])
		}
		if limit := budget + 2*math.Sqrt(budget) + 2; float64(most) > limit {
			t.Errorf("seed %d: %d attempts at a warming upstream in a burst; its budget is %.1f, want at most %.1f with random variation", seed, most, budget, limit)
		}
		if most == 0 {
			t.Errorf("seed %d: the warming upstreams get no attempts", seed)
		}
	}
}

// TestNewInstanceWithWarmingUpstreamsOnly checks that a new instance sends few attempts
// if all upstreams are warming up: it has not measured the rate of warm upstreams.
func TestNewInstanceWithWarmingUpstreamsOnly(t *testing.T) {
	f := newFakeHost(t, testConfig(), 9)
	all := testEndpoints(6)
	for i := range all {
		all[i].StartedAt = f.now
	}
	f.sendSnapshot(all...)
	for range 300 {
		f.submit(0, 2000)
		f.step()
	}
	if f.forwarded > 6*4 || f.forwarded == 0 {
		t.Errorf("%d attempts at six warming upstreams in OverloadDuration, want 1 to 24", f.forwarded)
	}
}

// slowStartLimit returns the maximum number of requests that a warming upstream may get in OverloadDuration.
// It is the number that the settings allow, plus a margin for random variation.
func slowStartLimit(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// fleet is a set of instances that share the same upstreams and may get unequal traffic.
type fleet struct {
	cfg       Config
	instances []*fakeHost
	share     []float64 // traffic of each instance as a multiple of the mean
	attempts  map[UpstreamID]int
}

// evenShares returns equal shares of the traffic.
func evenShares(instances int) []float64 { return slices.Repeat([]float64{1}, instances) }

// unevenShares gives a tenth of the instances five times the mean traffic, and the rest to the others.
func unevenShares(instances int) []float64 {
	shares := slices.Repeat([]float64{0.56}, instances)
	for i := 0; i < instances; i += 10 {
		shares[i] = 5
	}
	return shares
}

// newFleet returns a fleet with one instance for each of the shares, which are multiples of the mean traffic.
func newFleet(t *testing.T, shares []float64, seed uint64, list []Endpoint) *fleet {
	cfg := testConfig()
	cfg.Replicas = len(shares)
	f := &fleet{cfg: cfg, share: shares, attempts: map[UpstreamID]int{}}
	for i := range shares {
		cfg.Instance = i
		c := newFakeHost(t, cfg, seed*10007+uint64(i))
		c.sendSnapshot(list...)
		f.instances = append(f.instances, c)
	}
	return f
}

// play reports rate requests per second to the whole fleet for the given time in ms,
// after a burst of requests at once.
func (f *fleet) play(ms Millis, rate float64, burst int) {
	clear(f.attempts)
	sum := 0.0
	for _, share := range f.share {
		sum += share
	}
	for end := f.instances[0].now + ms; f.instances[0].now < end; burst = 0 {
		for i, c := range f.instances {
			n := int(float64(burst)*f.share[i]/sum+c.rng.Float64()) * min(1, burst)
			n += int(rate*f.share[i]/sum*f.cfg.Granularity/1000 + c.rng.Float64())
			for range n {
				c.submit(0, 2000)
			}
			c.completeNewAttempts(f.attempts)
			c.step()
		}
	}
}

// TestSlowStartForAnyNumberOfInstances checks that all instances together do not overload upstreams
// that are warming up, for any number of instances and for uneven traffic. The traffic is either steady,
// or a burst after little traffic, in which each instance may have saved one slow start token per upstream.
func TestSlowStartForAnyNumberOfInstances(t *testing.T) {
	const warm, warming, rate = 1, 10, 60.0 // numbers of upstreams, and requests per second to all instances
	for _, instances := range []int{1, 2, 3, 10, 30, 100, 300, 900} {
		for i := range 4 {
			uneven, burst := i%2 == 1, i/2 == 1
			t.Run(fmt.Sprintf("%d instances, uneven %v, burst %v", instances, uneven, burst), func(t *testing.T) {
				list := testEndpoints(warm + warming)
				for i := range list {
					list[i].Zone = 0
				}
				shares := evenShares(instances)
				if uneven {
					shares = unevenShares(instances)
				}
				f := newFleet(t, shares, uint64(instances), list)
				f.play(6000, rate, 0)
				total := 0
				for _, n := range f.attempts {
					total += n
				}
				each := float64(total) / (warm + warming) / 6000 // requests per ms to one upstream
				for i := range list[:warming] {
					list[i].StartedAt = f.instances[0].now
				}
				for _, c := range f.instances {
					c.sendDelta(list[:warming]...)
				}
				if burst {
					f.play(500, rate/4, 0) // little traffic
					f.check(t, list[:warming], 9*rate, 12*instances, each)
				} else {
					f.check(t, list[:warming], rate, 0, each)
				}
			})
		}
	}
}

// check plays traffic for OverloadDuration and checks that no warming upstream gets more attempts than it may.
// The parameter each is the rate at which one warm upstream gets attempts, in attempts per ms.
func (f *fleet) check(t *testing.T, warming []Endpoint, rate float64, burst int, each float64) {
	t.Helper()
	age := f.instances[0].now - warming[0].StartedAt
	warmFraction := f.cfg.SlowStartCapacity + (1-f.cfg.SlowStartCapacity)*age/f.cfg.SlowStartDuration
	allowed := f.cfg.OverloadMultiple * warmFraction * each * f.cfg.OverloadDuration
	f.play(f.cfg.OverloadDuration, rate, burst)
	most := 0
	for _, e := range warming {
		most = max(most, f.attempts[e.ID])
		if got, limit := float64(f.attempts[e.ID]), slowStartLimit(allowed); got > limit {
			t.Errorf("%.0f attempts at a warming upstream; %.1f are allowed, want at most %.1f with random variation", got, allowed, limit)
		}
	}
	t.Logf("at most %d attempts at a warming upstream; %.1f are allowed, %.1f with random variation", most, allowed, slowStartLimit(allowed))
	if most == 0 && burst > 0 {
		t.Error("the warming upstreams get no attempts, so the test shows nothing")
	}
}
