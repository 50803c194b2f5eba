package scenario

import (
	"fmt"
	"slices"

	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// Options are the parameters of Generate.
type Options struct {
	Seconds    float64           // duration of the load in seconds; 0 means defaultSeconds
	FaultTypes []names.FaultType // fault types to draw from; empty for all
}

const (
	defaultSeconds     = 30   // default duration of the load
	meanCostFactor     = 2.35 // mean service time of all classes, as a multiple of the service time of the cheapest class
	nestedRequestRate  = 60   // requests per second in clusters with several tiers
	maxServiceTimeMS   = 60   // upper limit of Cluster.ServiceTimeMS
	minGeneratedFaults = 2
	maxGeneratedFaults = 9
)

// Generate returns the scenario of a seed: a cluster with its load, and faults that may overlap.
// The same arguments always give the same scenario.
func Generate(seed uint64, options Options) *Scenario {
	s := &Scenario{Version: Version, Seed: seed, Seconds: defaultSeconds}
	if options.Seconds > 0 {
		s.Seconds = options.Seconds
	}
	r := randstream.New(seed, names.ScenarioStream)
	s.Cluster = generateCluster(r)
	s.Cluster.generateLoad(r)
	// The deadline factor is drawn from a separate stream.
	// A draw from r here would change every later draw from r, and with it the scenarios of existing seeds.
	if deadlines := randstream.New(seed, names.ScenarioDeadlineStream); deadlines.Chance(0.4) {
		s.Cluster.DeadlineFactor = truncateMillis(deadlines.Between(0.08, 0.6))
	}
	count := minGeneratedFaults + r.IntN(maxGeneratedFaults-minGeneratedFaults+1)
	for i := range count {
		stream := randstream.New(seed, fmt.Sprintf(names.ScenarioFaultStream, i))
		s.Faults = append(s.Faults, s.generateFault(stream, i, options.FaultTypes))
	}
	return s
}

// generateCluster draws a cluster without its load.
// The order of the draws is fixed: another order would change the scenario of each seed.
func generateCluster(r randstream.Stream) Cluster {
	c := Cluster{
		Tiers:               1,
		Zones:               []string{"east", "west"},
		Balancers:           3,
		Upstreams:           10,
		MaxAttempts:         6,
		SameZoneMS:          r.Between(0.08, 0.4),
		CrossZoneMS:         r.Between(1, 10),
		Jitter:              r.Between(0.05, 0.4),
		MaxDescriptors:      256 + 256*r.IntN(3),
		LoadReports:         r.Chance(0.5),
		ClientRetries:       r.IntN(4),
		ClientBackoffMS:     r.Between(20, 300),
		MaxConcurrency:      4 + r.IntN(24),
		QueueLength:         r.IntN(12),
		CrowdingThreshold:   10 + r.IntN(20),
		CrowdingFactor:      r.Between(0, 0.1),
		WarmUpStartFraction: r.Between(0.12, 0.4),
		WarmUpMS:            r.Between(3000, 9000),
	}
	if r.Chance(0.15) {
		c.Zones = c.Zones[:1]
	}
	return c
}

// generateLoad draws the request rate, the utilization, the cores of an upstream and the number of tiers.
// It sets the service time that results in the drawn utilization, but to at most maxServiceTimeMS.
func (c *Cluster) generateLoad(r randstream.Stream) {
	c.RequestRate = r.Between(60, 160)
	utilization := r.Between(0.2, 0.9) // fraction of the upstreams' cores that is busy while no fault is active
	if r.Chance(0.15) {
		utilization = r.Between(0.9, 1.4)
	}
	c.Cores = 1 + r.IntN(2)
	c.ServiceTimeMS = utilization * float64(c.Upstreams*c.Cores) * 1000 / (c.RequestRate * meanCostFactor)
	if tiers := r.Float64(); tiers < 0.2 {
		c.Tiers = 2
		c.NestedCalls = 1 + r.IntN(2)
		if tiers < 0.06 {
			c.Tiers = 3
			c.NestedCalls = 1
			c.Upstreams = 5
		}
		c.ServiceTimeMS *= c.RequestRate / nestedRequestRate / float64(max(1, c.NestedCalls))
		c.RequestRate = nestedRequestRate
	}
	c.ServiceTimeMS = min(maxServiceTimeMS, truncateMillis(c.ServiceTimeMS))
}

// generateFault draws one fault of one of the given types, or of any type if types is empty.
// The parameter number is the index of the fault in the scenario and becomes part of its ID.
func (s *Scenario) generateFault(r randstream.Stream, number int, types []names.FaultType) Fault {
	spec := randstream.Choice(r, s.candidates(types))
	f := Fault{ID: fmt.Sprintf("%s-%d", spec.Name, number), Type: spec.Name}
	f.StartSeconds = truncateMillis(r.Between(0.05, 0.7) * s.Seconds)
	f.DurationSeconds = truncateMillis(r.Between(spec.duration.from, spec.duration.to))
	f.Size = truncateMillis(r.Between(spec.Size.generated.from, spec.Size.generated.to))
	f.DurationSeconds = min(f.DurationSeconds, truncateMillis(s.Seconds-f.StartSeconds))
	switch spec.Target {
	case UpstreamTarget:
		f.Target = fmt.Sprintf(names.UpstreamName, r.IntN(s.Cluster.Tiers), r.IntN(s.Cluster.Upstreams))
	case BalancerTarget:
		f.Target = fmt.Sprintf(names.BalancerName, r.IntN(s.Cluster.Balancers))
	case ZonePairTarget:
		f.Target = s.Cluster.Zones[0] + zonePairSeparator + s.Cluster.Zones[1]
	}
	return f
}

// candidates returns the fault types to draw from. Each appears as many times as its weight, at least once.
// If the cluster supports none of the given types, SlowUpstream is the only candidate.
func (s *Scenario) candidates(types []names.FaultType) []*FaultSpec {
	var list []*FaultSpec
	for i := range FaultSpecs {
		spec := &FaultSpecs[i]
		if len(types) > 0 && !slices.Contains(types, spec.Name) || spec.minZones > len(s.Cluster.Zones) {
			continue
		}
		for range max(1, spec.weight) {
			list = append(list, spec)
		}
	}
	if len(list) == 0 {
		list = append(list, FindFaultSpec(names.SlowUpstream))
	}
	return list
}

// truncateMillis truncates a value to three decimal places, which keeps scenario files short.
func truncateMillis(x float64) float64 { return float64(int(x*1000)) / 1000 }
