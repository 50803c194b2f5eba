package cluster

import (
	"fmt"
	"net/netip"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

// Parameters of all upstreams.
const (
	overloadMultiple = 3.0    // a warming upstream crashes if its load exceeds this multiple of its current capacity
	overloadDuration = 1500.0 // period in ms over which the load of a warming upstream is measured
	serviceTimeCV    = 0.4    // coefficient of variation of the service times: standard deviation divided by mean
	replicasPerCell  = 4      // replicas with successive numbers that discovery lists in the same cell
)

// replica is one upstream of a tier.
// It exists for the whole run, also while no process of it is running; each start creates a new process.
type replica struct {
	cluster        *cluster
	tier           *tier
	number         int
	name           string
	zone           string
	machine        string
	addr           netip.AddrPort
	id             string              // upstream name in discovery; changes when a new upstream replaces the old one
	generation     int                 // number of processes started so far
	upstream       *fake.Upstream      // the current or the last process
	host           host                // host of that process
	ownFaults      fake.UpstreamFaults // faults whose target is this replica
	combinedFaults fake.UpstreamFaults // ownFaults combined with the faults of the tier; the upstream reads them
	nestedBalancer *balancer           // balancer for the calls to the next tier; nil on the last tier
	down           bool                // no process is running
}

// newReplica adds a replica to a tier and starts it with full capacity.
// Unless the tier is the last one, it also adds the balancer through which the replica calls the next tier.
func (c *cluster) newReplica(t *tier, number int) {
	s := &c.scenario.Cluster
	r := &replica{
		cluster: c,
		tier:    t,
		number:  number,
		name:    fmt.Sprintf(names.UpstreamName, t.number, number),
		zone:    s.Zones[number%len(s.Zones)],
		machine: fmt.Sprintf(names.UpstreamMachine, t.number, number),
		addr:    address(upstreamSubnet+t.number, number, upstreamPort),
	}
	r.id = r.name
	t.replicas = append(t.replicas, r)
	if next := t.number + 1; next < len(c.tiers) {
		r.nestedBalancer = c.newBalancer(balancerOptions{
			name:      fmt.Sprintf(names.NestedBalancerName, next, number),
			zone:      r.zone,
			machine:   r.machine,
			tier:      next,
			instance:  number,
			instances: s.Upstreams,
		})
	}
	r.start(true)
	r.publish(fake.InService, 0)
}

// publish sets the replica's endpoint in discovery.
// The parameter startedAt is the Unix time in ms at which a warming upstream started, and 0 otherwise.
func (r *replica) publish(phase fake.Phase, startedAt float64) {
	r.tier.registry.Set(fake.Endpoint{
		ID:        r.id,
		HostPort:  r.addr.String(),
		Locality:  r.zone,
		Cell:      r.number / replicasPerCell,
		Phase:     phase,
		Size:      1,
		StartedAt: startedAt,
	})
}

// start starts a new process of the replica. If warm is true, the upstream has its full capacity at once; otherwise it warms up.
func (r *replica) start(warm bool) {
	r.generation++
	r.host = r.cluster.environment.spawn(fmt.Sprintf(names.UpstreamProcess, r.name, r.generation), r.machine, r.zone)
	r.down = false
	r.combineFaults()
	options := r.upstreamOptions()
	options.StartWarm = warm
	if r.nestedBalancer != nil {
		options.NextTier = r.newNestedCaller()
	}
	upstream, err := fake.NewUpstream(options)
	if err != nil {
		panic(err) // possible on loopback sockets only, for example if another process uses the address
	}
	r.upstream = upstream
	r.cluster.environment.start(r.host)
}

// upstreamOptions returns the options of the replica's current process.
// Replicas with an even number drop queued requests whose deadline has passed; the others serve them.
func (r *replica) upstreamOptions() fake.UpstreamOptions {
	c := r.cluster
	s := &c.scenario.Cluster
	options := fake.UpstreamOptions{
		Host:   r.host,
		ID:     r.id,
		Zone:   r.zone,
		Listen: r.addr,
		Seed:   processSeed(c.scenario.Seed, r.host.Name()),
		Model: fake.ServiceModel{
			Cores:               s.Cores,
			MaxConcurrency:      s.MaxConcurrency,
			QueueLength:         s.QueueLength,
			CrowdingThreshold:   s.CrowdingThreshold,
			CrowdingFactor:      s.CrowdingFactor,
			WarmUpStartFraction: s.WarmUpStartFraction,
			WarmUpDuration:      s.WarmUpMS,
			OverloadMultiple:    overloadMultiple,
			OverloadDuration:    overloadDuration,
			DropsExpired:        r.number%2 == 0,
		},
		Idempotency: r.tier.idempotency[r.zone],
		Recorder:    c.checker,
		Faults:      &r.combinedFaults,
		LoadReports: s.LoadReports,
		OnCrash:     func() { c.environment.schedule(c.now(), names.UpstreamCrash+r.host.Name(), r.kill) },
	}
	for _, class := range c.classes {
		options.Classes = append(options.Classes, class.Name)
		options.ServiceTimes = append(options.ServiceTimes,
			fake.ServiceTime{Mean: s.ServiceTimeMS * class.costFactor, CV: serviceTimeCV})
	}
	return options
}

// newNestedCaller returns the client that calls the next tier through the nested balancer.
func (r *replica) newNestedCaller() *fake.NestedCaller {
	c := r.cluster
	return fake.NewNestedCaller(fake.NestedCallerOptions{
		Host:      r.host,
		Recorder:  c.checker,
		Classes:   fakeClasses(c.classes),
		Balancer:  r.nestedBalancer.address(),
		CallCount: c.scenario.Cluster.NestedCalls,
		Seed:      processSeed(c.scenario.Seed, names.NestedCallerSeed+r.host.Name()),
	})
}

// kill kills the replica's process, and the process of its nested balancer, which runs on the same machine.
func (r *replica) kill() {
	if r.down {
		return
	}
	r.down = true
	r.host.Kill()
	if r.nestedBalancer != nil {
		r.nestedBalancer.kill()
	}
}

// restart starts a new process, which has to warm up, and publishes it to discovery. It does nothing if the replica is not down.
func (r *replica) restart() {
	if !r.down {
		return
	}
	if r.nestedBalancer != nil {
		r.nestedBalancer.start()
	}
	r.start(false)
	r.publish(fake.InService, r.cluster.wallClock())
}

// replaceProcess starts a new upstream with a new name in discovery. It does not end the old process.
func (r *replica) replaceProcess() {
	r.id = fmt.Sprintf(names.UpstreamGeneration, r.tier.number, r.number, r.generation)
	r.down = true
	r.restart()
}

// combineFaults computes combinedFaults from ownFaults and the faults of the tier.
func (r *replica) combineFaults() {
	own := r.ownFaults
	tier := r.tier.faults
	r.combinedFaults = fake.UpstreamFaults{
		Slowdown:          max(1, own.Slowdown) * max(1, tier.Slowdown),
		Hanging:           own.Hanging,
		Rejecting:         own.Rejecting,
		ErrorFraction:     max(own.ErrorFraction, tier.ErrorFraction),
		CorruptFraction:   max(own.CorruptFraction, tier.CorruptFraction),
		ExtraDataFraction: max(own.ExtraDataFraction, tier.ExtraDataFraction),
		CostFactor:        tier.CostFactor,
		CostlyFraction:    tier.CostlyFraction,
	}
}
