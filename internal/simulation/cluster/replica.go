package cluster

import (
	"fmt"
	"net/netip"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

const (
	overloadMultiple = 3.0    // of the capacity of a warming upstream, which crashes it
	overloadDuration = 1500.0 // ms; requests of this period count as the load of a warming upstream
	serviceTimeCV    = 0.4    // standard deviation over mean of the service times
	replicasPerCell  = 4
)

// replica is one upstream of a tier, through all its processes.
type replica struct {
	cluster        *cluster
	tier           *tier
	number         int
	name           string
	zone           string
	machine        string
	addr           netip.AddrPort
	id             string // in discovery; another one after a replacement
	generation     int    // processes so far
	upstream       *fake.Upstream
	host           host
	ownFaults  fake.UpstreamFaults
	combinedFaults         fake.UpstreamFaults // its own and those of the tier, as the upstream reads them
	nestedBalancer *balancer           // for its calls to the next tier, nil on the last tier
	down           bool
}

// newReplica starts a replica, and its balancer for the next tier.
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

// publish publishes the replica's phase to discovery.
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

// start starts a new process of the replica.
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
		panic(err) // the simulator has assigned its address
	}
	r.upstream = upstream
	r.cluster.environment.start(r.host)
}

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

// kill ends the replica's process, and its balancer's for the next tier.
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

// restart starts a new process of a replica that is down, and publishes it to discovery.
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

// replaceProcess starts the process of a new upstream in the replica's place. The old process is not ended.
func (r *replica) replaceProcess() {
	r.id = fmt.Sprintf(names.UpstreamGeneration, r.tier.number, r.number, r.generation)
	r.down = true
	r.restart()
}

// combineFaults combines the replica's own faults with those of its tier.
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
