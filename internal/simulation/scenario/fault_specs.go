package scenario

import "salttrack/internal/simulation/names"

// FaultSpec describes one fault type.
type FaultSpec struct {
	Name        names.FaultType
	Description string
	Target      TargetKind
	Size        SizeSpec
	OnLoopback  bool // whether a run on loopback sockets supports the fault type

	duration valueRange // duration of generated faults, in seconds
	minZones int        // minimum number of zones of a cluster for which the fault type is generated
	weight   int        // relative frequency of the fault type among generated faults; 0 means 1
}

// SizeSpec describes the size of a fault, which determines how strong its effect is.
// The zero value is for fault types without a size: the size of their faults has to be 0.
type SizeSpec struct {
	Meaning  string  // what the size is, for users
	Min, Max float64 // smallest and largest allowed size; shrinking a scenario moves sizes towards Min

	generated valueRange // sizes of generated faults
}

// valueRange is the range of a uniform distribution from which generated values are drawn.
type valueRange struct{ from, to float64 }

// FaultSpecs describes all fault types.
// Generate draws fault types by their index in this list, so another order changes the scenarios of all seeds.
var FaultSpecs = []FaultSpec{
	{
		Name:        names.SlowUpstream,
		Description: "the service times of an upstream are longer",
		Target:      UpstreamTarget,
		Size:        SizeSpec{Meaning: "service time factor", Min: 1, Max: 1000, generated: valueRange{2, 20}},
		duration:    valueRange{2, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.SlowTier,
		Description: "the service times of all upstreams are longer",
		Size:        SizeSpec{Meaning: "service time factor", Min: 1, Max: 1000, generated: valueRange{1.3, 4}},
		duration:    valueRange{2, 10},
		OnLoopback:  true,
	},
	{
		Name:        names.CostlyRequests,
		Description: "the service time of one request in twenty is longer",
		Size:        SizeSpec{Meaning: "service time factor", Min: 1, Max: 1000, generated: valueRange{8, 30}},
		duration:    valueRange{4, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.HangingUpstream,
		Description: "an upstream accepts requests and never responds",
		Target:      UpstreamTarget,
		duration:    valueRange{1, 12},
		OnLoopback:  true,
	},
	{
		Name:        names.ErrorResponses,
		Description: "an upstream sends responses with status 500",
		Target:      UpstreamTarget,
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.2, 1}},
		duration:    valueRange{2, 12},
		OnLoopback:  true,
	},
	{
		Name:        names.CorruptResponses,
		Description: "responses of all upstreams are corrupted",
		Size:        SizeSpec{Meaning: "fraction of responses", Max: 1, generated: valueRange{0.01, 0.3}},
		duration:    valueRange{2, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.ExtraResponses,
		Description: "all upstreams send extra data after responses",
		Size:        SizeSpec{Meaning: "fraction of responses", Max: 1, generated: valueRange{0.02, 0.5}},
		duration:    valueRange{2, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.RejectingUpstream,
		Description: "an upstream rejects all requests",
		Target:      UpstreamTarget,
		duration:    valueRange{1, 10},
		OnLoopback:  true,
	},
	{
		Name:        names.CrashUpstream,
		Description: "an upstream crashes; it restarts at the end and warms up",
		Target:      UpstreamTarget,
		duration:    valueRange{0.3, 10},
		OnLoopback:  true,
	},
	{
		Name:        names.UnreachableUpstream,
		Description: "the machine of an upstream is unreachable; the upstream restarts at the end",
		Target:      UpstreamTarget,
		duration:    valueRange{0.5, 12},
	},
	{
		Name:        names.FreezeUpstream,
		Description: "an upstream gets no CPU",
		Target:      UpstreamTarget,
		duration:    valueRange{0.1, 3},
	},
	{
		Name:        names.DrainUpstream,
		Description: "an upstream drains and exits; a new one starts at another address",
		Target:      UpstreamTarget,
		duration:    valueRange{1, 5},
		OnLoopback:  true,
	},
	{
		Name:        names.ReplaceUpstream,
		Description: "an upstream drains while a new one already listens on its address",
		Target:      UpstreamTarget,
		duration:    valueRange{1, 5},
		weight:      3,
	},
	{
		Name:        names.RollingDeploy,
		Description: "upstreams are replaced one after the other, each by a new one at its address",
		Size:        SizeSpec{Meaning: "fraction of upstreams", Min: 0.01, Max: 1, generated: valueRange{0.2, 0.9}},
		duration:    valueRange{8, 20},
		weight:      3,
		OnLoopback:  true,
	},
	{
		Name:        names.PartitionWithReset,
		Description: "two zones are partitioned; connections are reset at the end",
		Target:      ZonePairTarget,
		duration:    valueRange{0.5, 10},
		minZones:    2,
	},
	{
		Name:        names.PartitionWithPause,
		Description: "two zones are partitioned; connections resume at the end",
		Target:      ZonePairTarget,
		duration:    valueRange{0.1, 5},
		minZones:    2,
	},
	{
		Name:        names.HighLatency,
		Description: "the latency between two zones is higher",
		Target:      ZonePairTarget,
		Size:        SizeSpec{Meaning: "latency factor", Min: 1, Max: 100, generated: valueRange{2, 12}},
		duration:    valueRange{2, 12},
		minZones:    2,
	},
	{
		Name:        names.FragmentedWrites,
		Description: "writes are split into segments of random sizes, and some are short",
		Size:        SizeSpec{Meaning: "fraction of writes", Max: 1, generated: valueRange{0.1, 1}},
		duration:    valueRange{2, 15},
	},
	{
		Name:        names.KillBalancer,
		Description: "a balancer is killed and restarts at the end",
		Target:      BalancerTarget,
		duration:    valueRange{0.3, 6},
	},
	{
		Name:        names.RestartBalancer,
		Description: "a balancer gets SIGTERM and restarts once it has exited",
		Target:      BalancerTarget,
		duration:    valueRange{0.5, 3},
	},
	{
		Name:        names.StallBalancer,
		Description: "a balancer gets no CPU",
		Target:      BalancerTarget,
		duration:    valueRange{0.005, 0.8},
		weight:      5,
	},
	{
		Name:        names.RepeatedStalls,
		Description: "a balancer repeatedly gets no CPU for a short time",
		Target:      BalancerTarget,
		Size:        SizeSpec{Meaning: "longest stall in ms", Min: 1, Max: 1000, generated: valueRange{5, 400}},
		duration:    valueRange{2, 15},
		weight:      3,
	},
	{
		Name:        names.MoveDiscoveryAgent,
		Description: "the discovery agent of a balancer moves to another address; the balancer gets SIGHUP",
		Target:      BalancerTarget,
		duration:    valueRange{0.1, 0.1},
	},
	{
		Name:        names.DisableUpstream,
		Description: "an upstream is disabled by an override, restarts, and is enabled at the end",
		Target:      UpstreamTarget,
		duration:    valueRange{0.5, 10},
		weight:      2,
	},
	{
		Name:        names.ChangeSettings,
		Description: "a balancer gets SIGHUP with an invalid configuration, then with changed classes and attempts",
		Target:      BalancerTarget,
		duration:    valueRange{0.1, 0.1},
		weight:      2,
	},
	{
		Name:        names.ReloadUnchanged,
		Description: "a balancer gets SIGHUP without a change of its configuration",
		Target:      BalancerTarget,
		duration:    valueRange{0.1, 0.1},
	},
	{
		Name:        names.MutedDiscovery,
		Description: "discovery sends nothing to a balancer",
		Target:      BalancerTarget,
		duration:    valueRange{1, 12},
	},
	{
		Name:        names.LaggingDiscovery,
		Description: "discovery publishes changes late",
		Size:        SizeSpec{Meaning: "longest delay in ms", Max: 10000, generated: valueRange{300, 4000}},
		duration:    valueRange{3, 15},
	},
	{
		Name:        names.DuplicateUpdates,
		Description: "discovery sends each change twice",
		duration:    valueRange{3, 15},
	},
	{
		Name:        names.DiscoveryConnectionReset,
		Description: "discovery resets the connections of a balancer",
		Target:      BalancerTarget,
		duration:    valueRange{0.1, 0.1},
	},
	{
		Name:        names.ClockStep,
		Description: "the wall clock of all machines is stepped, and stepped back at the end",
		Size:        SizeSpec{Meaning: "seconds forward", Min: -7200, Max: 7200, generated: valueRange{-3600, 3600}},
		duration:    valueRange{0.5, 12},
		weight:      2,
	},
	{
		Name:        names.ShortReadsWrites,
		Description: "read and write calls of a balancer transfer only one byte",
		Target:      BalancerTarget,
		Size:        SizeSpec{Meaning: "fraction of calls", Max: 1, generated: valueRange{0.05, 1}},
		duration:    valueRange{0.5, 6},
	},
	{
		Name:        names.FailingSystemCalls,
		Description: "system calls of a balancer fail for lack of descriptors, memory or ports, or because of network errors",
		Target:      BalancerTarget,
		Size:        SizeSpec{Meaning: "fraction of calls", Max: 1, generated: valueRange{0.05, 0.6}},
		duration:    valueRange{0.1, 3},
		weight:      2,
	},
	{
		Name:        names.LoadSurge,
		Description: "the request rate is higher",
		Size:        SizeSpec{Meaning: "request rate factor", Min: 0.01, Max: 50, generated: valueRange{1.5, 5}},
		duration:    valueRange{2, 10},
		OnLoopback:  true,
	},
	{
		Name:        names.CancellingClients,
		Description: "clients cancel requests before the response",
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.05, 0.5}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.SlowReaders,
		Description: "clients read responses slowly",
		Size:        SizeSpec{Meaning: "fraction of responses", Max: 1, generated: valueRange{0.02, 0.2}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.SlowWriters,
		Description: "clients write requests slowly",
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.02, 0.3}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.PipeliningClients,
		Description: "clients pipeline a second request behind a request",
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.02, 0.3}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.NewConnections,
		Description: "clients send requests on new connections",
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.1, 1}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
	{
		Name:        names.LateFirstRequests,
		Description: "clients delay the first request on a new connection",
		Size:        SizeSpec{Meaning: "fraction of requests", Max: 1, generated: valueRange{0.05, 0.6}},
		duration:    valueRange{3, 15},
		weight:      2,
		OnLoopback:  true,
	},
	{
		Name:        names.MalformedClients,
		Description: "clients send malformed input",
		Size:        SizeSpec{Meaning: "connections per second", Max: 500, generated: valueRange{1, 15}},
		duration:    valueRange{3, 15},
		OnLoopback:  true,
	},
}

// FindFaultSpec returns the spec of a fault type, or nil if the type is unknown.
func FindFaultSpec(name names.FaultType) *FaultSpec {
	for i := range FaultSpecs {
		if FaultSpecs[i].Name == name {
			return &FaultSpecs[i]
		}
	}
	return nil
}

// FaultTypeNames returns the names of all fault types in the order of FaultSpecs.
func FaultTypeNames() []string {
	var list []string
	for i := range FaultSpecs {
		list = append(list, string(FaultSpecs[i].Name))
	}
	return list
}
