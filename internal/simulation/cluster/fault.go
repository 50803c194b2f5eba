package cluster

import (
	"fmt"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/simulation/scenario"
	"salttrack/internal/simulation/simnet"
)

// faultEffect is the effect that the faults of one type have on the cluster.
type faultEffect interface {
	// begin starts the effect of a fault. It returns the function that ends the effect, or nil if the end needs no action.
	begin(f *activeFault) (end func())
}

// faultEffects has the effect of each fault type.
var faultEffects = map[names.FaultType]faultEffect{
	names.SlowUpstream:        slowUpstreams,
	names.SlowTier:            slowUpstreams,
	names.CostlyRequests:      costlyRequests,
	names.HangingUpstream:     hangingUpstream,
	names.ErrorResponses:      errorResponses,
	names.CorruptResponses:    corruptResponses,
	names.ExtraResponses:      extraResponses,
	names.RejectingUpstream:   rejectingUpstream,
	names.CrashUpstream:       beginFunc(crashUpstream),
	names.UnreachableUpstream: beginFunc(isolateUpstream),
	names.FreezeUpstream:      beginFunc(freezeUpstream),
	names.DrainUpstream:       beginFunc(drainUpstream),
	names.ReplaceUpstream:     beginFunc(replaceUpstream),
	names.RollingDeploy:       beginFunc(rollingDeploy),
	names.DisableUpstream:     beginFunc(disableUpstream),

	names.PartitionWithReset: partition{onHeal: simnet.ResetConnections},
	names.PartitionWithPause: partition{onHeal: simnet.ResumeConnections},
	names.HighLatency:        beginFunc(raiseLatency),
	names.FragmentedWrites:   beginFunc(fragmentWrites),

	names.KillBalancer:       beginFunc(killBalancer),
	names.RestartBalancer:    beginFunc(restartBalancer),
	names.StallBalancer:      beginFunc(stallBalancer),
	names.RepeatedStalls:     beginFunc(stallRepeatedly),
	names.MoveDiscoveryAgent: beginFunc(moveDiscoveryAgent),
	names.ChangeSettings:     beginFunc(changeSettings),
	names.ReloadUnchanged:    beginFunc(reloadUnchanged),
	names.ClockStep:          beginFunc(stepClock),
	names.ShortReadsWrites:   systemCallFault{rules: shortReadsAndWrites},
	names.FailingSystemCalls: systemCallFault{rules: exhaustedResources},

	names.MutedDiscovery:           beginFunc(muteAgent),
	names.LaggingDiscovery:         agentFault{set: raiseAgentLag, reset: resetAgentLag},
	names.DuplicateUpdates:         agentFault{set: sendDuplicates, reset: stopDuplicates},
	names.DiscoveryConnectionReset: beginFunc(resetAgent),

	names.LoadSurge:         clientFault{normal: 1, value: func(b *fake.ClientBehavior) *float64 { return &b.RateFactor }},
	names.CancellingClients: clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.CancelFraction }},
	names.SlowReaders:       clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.SlowReadFraction }},
	names.SlowWriters:       clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.SlowWriteFraction }},
	names.PipeliningClients: clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.PipelinedFraction }},
	names.NewConnections:    clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.NewConnectionFraction }},
	names.LateFirstRequests: clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.DelayedFraction }},
	names.MalformedClients:  clientFault{value: func(b *fake.ClientBehavior) *float64 { return &b.MalformedRate }},
}

// beginFunc is a faultEffect that consists of its begin function.
type beginFunc func(f *activeFault) (end func())

func (begin beginFunc) begin(f *activeFault) func() { return begin(f) }

// activeFault is one fault of a run, with its times in ms of the run's clock.
type activeFault struct {
	*scenario.Fault
	cluster  *cluster
	rng      randstream.Stream // random numbers of this fault only
	startsAt float64
	endsAt   float64
}

// scheduleFault schedules a fault. The fault ends at the end of the load at the latest.
func (c *cluster) scheduleFault(fault *scenario.Fault) {
	f := &activeFault{
		Fault:    fault,
		cluster:  c,
		rng:      randstream.New(c.scenario.Seed, names.FaultStream+fault.ID),
		startsAt: c.loadStart + fault.StartSeconds*1000,
	}
	f.endsAt = min(c.loadEnd, f.startsAt+fault.DurationSeconds*1000)
	c.faults = append(c.faults, f)
	c.environment.schedule(f.startsAt, names.FaultBegin+f.ID, f.begin)
}

// begin starts the effect of the fault and schedules its end.
func (f *activeFault) begin() {
	effect, ok := faultEffects[f.Type]
	if !ok {
		panic(fmt.Sprintf("fault type %s is missing in faultEffects", f.Type))
	}
	if end := effect.begin(f); end != nil {
		f.cluster.environment.schedule(f.endsAt, names.FaultEnd+f.ID, end)
	}
}

// duration returns the duration of the fault in ms.
func (f *activeFault) duration() float64 { return f.endsAt - f.startsAt }

// after calls callback after the given number of ms. The name and the ID of the fault determine the order of
// events at the same time.
func (f *activeFault) after(ms float64, name string, callback func()) {
	f.cluster.environment.schedule(f.cluster.now()+ms, name+"/"+f.ID, callback)
}

// network returns the virtual network. Only fault types that loopback sockets do not support use it.
func (f *activeFault) network() *simnet.Network { return f.cluster.environment.network() }

// virtual returns the virtual environment. Only fault types that loopback sockets do not support use it.
func (f *activeFault) virtual() *virtualEnvironment {
	return f.cluster.environment.(*virtualEnvironment)
}

// replica returns the upstream that is the target of the fault.
func (f *activeFault) replica() *replica {
	tier, number, err := f.Upstream()
	if err != nil {
		panic(err) // the scenario was validated before the run
	}
	return f.cluster.tiers[tier].replicas[number]
}

// balancer returns the balancer that is the target of the fault.
func (f *activeFault) balancer() *balancer { return f.cluster.findBalancer(f.Target) }

// zones returns the two zones that are the target of the fault.
func (f *activeFault) zones() (string, string) {
	a, b, _ := f.Zones()
	return a, b
}

// disconnects reports whether the fault is a partition that makes a balancer unreachable from a zone.
// If the zone is "", it reports whether the fault is a partition of any zones.
func (f *activeFault) disconnects(zone string, b *balancer) bool {
	if f.Type != names.PartitionWithReset && f.Type != names.PartitionWithPause {
		return false
	}
	x, y := f.zones()
	return zone == "" || zone == x && b.zone == y || zone == y && b.zone == x
}
