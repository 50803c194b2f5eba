package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Upper limits of the values in a scenario.
const (
	maxSeconds     = 600
	maxTiers       = 3
	maxZones       = 4
	maxBalancers   = 50
	maxUpstreams   = 200
	maxRequestRate = 5000
	maxFaults      = 100
)

// faultPath is the format of the path of a fault. It takes the index of the fault.
const faultPath = "fault[%d]"

// invalidValue describes an invalid value in a scenario.
type invalidValue struct {
	path   string // path of the value, such as "world.rate"
	reason string // what is wrong with the value
}

// validate returns the first invalid value of the scenario, or nil if all values are valid.
func (s *Scenario) validate() *invalidValue {
	for _, check := range []func() *invalidValue{s.checkRanges, s.checkZones, s.checkFaults} {
		if invalid := check(); invalid != nil {
			return invalid
		}
	}
	return nil
}

// checkRanges checks that all numbers are in their allowed ranges, except for those of the faults.
func (s *Scenario) checkRanges() *invalidValue {
	c := &s.Cluster
	for _, number := range []struct {
		path     string
		value    float64
		min, max float64
	}{
		{"version", float64(s.Version), Version, Version},
		{"seconds", s.Seconds, 1, maxSeconds},
		{"world.tiers", float64(c.Tiers), 1, maxTiers},
		{"world.balancers", float64(c.Balancers), 1, maxBalancers},
		{"world.upstreams", float64(c.Upstreams), 1, maxUpstreams},
		{"world.rate", c.RequestRate, 0.1, maxRequestRate},
		{"world.calls", float64(c.NestedCalls), 0, 10},
		{"world.same_ms", c.SameZoneMS, 0.01, 1000},
		{"world.cross_ms", c.CrossZoneMS, 0.01, 1000},
		{"world.jitter", c.Jitter, 0, 10},
		{"world.descriptors", float64(c.MaxDescriptors), 64, 65536},
		{"world.attempts", float64(c.MaxAttempts), 1, 20},
		{"world.retries", float64(c.ClientRetries), 0, 20},
		{"world.backoff_ms", c.ClientBackoffMS, 1, 60000},
		{"world.cores", float64(c.Cores), 1, 64},
		{"world.slots", float64(c.MaxConcurrency), 1, 1024},
		{"world.queue", float64(c.QueueLength), 0, 4096},
		{"world.crowd_at", float64(c.CrowdingThreshold), 0, 4096},
		{"world.crowd", c.CrowdingFactor, 0, 10},
		{"world.cold_from", c.WarmUpStartFraction, 0.01, 1},
		{"world.cold_ms", c.WarmUpMS, 0, 60000},
		{"world.work_ms", c.ServiceTimeMS, 0.1, 1000},
	} {
		if !within(number.value, number.min, number.max) {
			return &invalidValue{number.path, fmt.Sprintf("%g is not within %g to %g", number.value, number.min, number.max)}
		}
	}
	if s.Seed > math.MaxInt64 { // integers in TOML are signed and have 64 bits
		return &invalidValue{"seed", fmt.Sprintf("%d is greater than %d", s.Seed, int64(math.MaxInt64))}
	}
	return nil
}

// within reports whether a value is in a closed range. NaN is in no range.
func within(value, lowest, highest float64) bool { return value >= lowest && value <= highest }

func (s *Scenario) checkZones() *invalidValue {
	const path = "world.zones"
	zones := s.Cluster.Zones
	if len(zones) < 1 || len(zones) > maxZones {
		return &invalidValue{path, fmt.Sprintf("%d zones; allowed are 1 to %d", len(zones), maxZones)}
	}
	for i, zone := range zones {
		if zone == "" || strings.ContainsAny(zone, ",|/ ") {
			return &invalidValue{path, fmt.Sprintf("%q is empty or contains a comma, a slash, a space or \"|\"", zone)}
		}
		if slices.Contains(zones[:i], zone) {
			return &invalidValue{path, fmt.Sprintf("zone %q is listed twice", zone)}
		}
	}
	return nil
}

func (s *Scenario) checkFaults() *invalidValue {
	if len(s.Faults) > maxFaults {
		return &invalidValue{fmt.Sprintf(faultPath, maxFaults), fmt.Sprintf("%d faults; at most %d are allowed", len(s.Faults), maxFaults)}
	}
	usedIDs := map[string]bool{}
	for i := range s.Faults {
		f := &s.Faults[i]
		path := fmt.Sprintf(faultPath, i)
		if f.ID == "" || usedIDs[f.ID] {
			return &invalidValue{path + ".id", fmt.Sprintf("ID %q is empty or used by another fault", f.ID)}
		}
		usedIDs[f.ID] = true
		if key, reason := s.checkFault(f); reason != "" {
			return &invalidValue{path + "." + key, reason}
		}
	}
	return nil
}

// checkFault returns the TOML key of the first invalid value of a fault, and the reason why it is invalid.
// The reason is "" if all values are valid.
func (s *Scenario) checkFault(f *Fault) (key, reason string) {
	spec := FindFaultSpec(f.Type)
	if spec == nil {
		return "kind", fmt.Sprintf("unknown fault type %q; allowed are %s", f.Type, strings.Join(FaultTypeNames(), ", "))
	}
	if !within(f.StartSeconds, 0, s.Seconds) {
		return "at", fmt.Sprintf("%g is not within 0 to %g, the duration of the load in seconds", f.StartSeconds, s.Seconds)
	}
	if !within(f.DurationSeconds, 0, maxSeconds) {
		return "for", fmt.Sprintf("%g is not within 0 to %d seconds", f.DurationSeconds, maxSeconds)
	}
	if !within(f.Size, spec.Size.Min, spec.Size.Max) {
		return "size", fmt.Sprintf("%g is not within %g to %g (%s)", f.Size, spec.Size.Min, spec.Size.Max, spec.Size.Meaning)
	}
	return "target", s.Cluster.checkTarget(f, spec.Target)
}
