// Package cluster runs a scenario: it builds the cluster, injects the faults, and has package checker check the run.
// The cluster runs on the virtual network or on loopback sockets.
// All times are in milliseconds.
package cluster

import (
	"fmt"

	"salttrack/balance"
	"salttrack/internal/simulation/checker"
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/simulation/scenario"
)

const (
	loadStartDelay   = 1000.0 // from the start of the run to the start of the load, in ms
	drainGracePeriod = 250.0  // time in ms within which a balancer has to stop using a draining upstream
	checkerTolerance = 50.0   // ms added to each time limit of the checker
)

// cluster is one run of a scenario. It owns all processes of the run, which end with the environment.
// Its methods are called one at a time, while no event loop runs. It implements checker.Environment.
type cluster struct {
	scenario    *scenario.Scenario
	environment environment
	checker     *checker.Checker

	classes        []class
	loadStart      float64 // time at which the clients begin to send requests
	loadEnd        float64 // time at which the clients stop sending new requests
	tiers          []*tier
	balancers      []*balancer
	balancerPools  []*fake.BalancerPool // one for each zone
	clients        []*fake.Clients      // one for each zone, from loadStart on
	clientBehavior fake.ClientBehavior  // shared by the clients of all zones; faults change it
	faults         []*activeFault       // all faults of the scenario
	shuttingDown   bool                 // the run ends; balancers that exit do not start again
}

// newCluster returns a cluster for a scenario. It has no processes before build.
func newCluster(s *scenario.Scenario, e environment) *cluster {
	c := &cluster{
		scenario:       s,
		environment:    e,
		classes:        classesOf(s.Cluster),
		clientBehavior: fake.ClientBehavior{RateFactor: 1},
	}
	c.loadStart = e.now() + loadStartDelay
	c.loadEnd = c.loadStart + s.Seconds*1000
	c.checker = checker.New(c.limits(), c)
	return c
}

// limits returns the parameters of the checker's rules.
func (c *cluster) limits() checker.Limits {
	limits := checker.Limits{
		StartedAt:    c.environment.now(),
		MaxAttempts:  c.scenario.Cluster.MaxAttempts,
		DrainGraceMS: drainGracePeriod,
		ToleranceMS:  checkerTolerance,
		ExactTimes:   c.environment.network() != nil,
	}
	for _, class := range c.classes {
		rules := balance.Class{Idempotency: class.Idempotency}
		if class.Idempotency == balance.WithIdempotencyKey {
			rules.DeduplicationScope = balance.ScopeZone
		}
		limits.Classes = append(limits.Classes, rules)
	}
	return limits
}

// build starts all processes and schedules the faults.
// The hash of a run depends on the sequence of the calls, so the sequence must not change.
func (c *cluster) build() {
	s := &c.scenario.Cluster
	for i := range s.Tiers {
		c.tiers = append(c.tiers, c.newTier(i))
	}
	for i := range s.Balancers {
		c.newBalancer(balancerOptions{
			name:      fmt.Sprintf(names.BalancerName, i),
			zone:      s.Zones[i%len(s.Zones)],
			machine:   fmt.Sprintf(names.BalancerMachine, i),
			instance:  i,
			instances: s.Balancers,
		})
	}
	for i := len(c.tiers) - 1; i >= 0; i-- { // an upstream needs the upstreams of the next tier
		for number := range s.Upstreams {
			c.newReplica(c.tiers[i], number)
		}
	}
	for i, zone := range s.Zones {
		c.newClients(i, zone)
	}
	for i := range c.scenario.Faults {
		c.scheduleFault(&c.scenario.Faults[i])
	}
}

// newClients starts the clients of a zone and the balancer pool that they use.
func (c *cluster) newClients(number int, zone string) {
	h := c.environment.spawn(names.ClientProcessPrefix+zone, names.ClientMachinePrefix+zone, zone)
	pool := fake.NewBalancerPool(h, c.scenario.Seed)
	for _, b := range c.balancers {
		switch {
		case b.tier != 0:
		case b.zone == zone:
			pool.AddSameZone(b.address())
		default:
			pool.AddOtherZone(b.address())
		}
	}
	c.balancerPools = append(c.balancerPools, pool)
	s := &c.scenario.Cluster
	c.environment.schedule(c.loadStart, fmt.Sprintf(names.ClientsStart, number), func() {
		c.clients = append(c.clients, fake.NewClients(fake.ClientsOptions{
			Host:        h,
			Zone:        zone,
			Balancers:   pool,
			Classes:     fakeClasses(c.classes),
			RequestRate: s.RequestRate / float64(len(s.Zones)),
			Seed:        c.scenario.Seed,
			Retries:     s.ClientRetries,
			Backoff:     s.ClientBackoffMS,
			Until:       c.loadEnd,
			Recorder:    c.checker,
			Behavior:    &c.clientBehavior,
		}))
	})
	c.environment.start(h)
}

// now returns the current time of the run, in ms. Clock steps do not affect it.
func (c *cluster) now() float64 { return c.environment.now() }

// wallClock returns the wall clock of all machines, in ms. It includes clock steps.
func (c *cluster) wallClock() float64 {
	if network := c.environment.network(); network != nil {
		return network.Now() + network.ClockOffset()
	}
	return c.now()
}

// processSeed returns the seed for the random numbers of a process.
func processSeed(seed uint64, name string) uint64 {
	return randstream.Hash(seed, names.ProcessSeed+name)
}
