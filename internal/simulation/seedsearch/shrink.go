package seedsearch

import (
	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

// Lower limits of the values in a shrunk scenario.
const (
	minFaultSeconds   = 0.02
	minSizeDifference = 0.01 // difference between a fault's size and the smallest size that its type allows
	minRequestRate    = 1    // requests per second
	minSeconds        = 1    // duration of the load in seconds
	minUpstreams      = 2
)

// ShrinkOptions are the parameters of Shrink.
type ShrinkOptions struct {
	Rule      names.Rule               // rule that the shrunk scenario has to violate
	MaxRuns   int                      // limit on the number of scenarios that are run
	OnSmaller func(*scenario.Scenario) // called with each smaller scenario that violates the rule; may be nil
}

// Shrink makes a scenario smaller as long as it violates the rule.
// It removes faults, makes them shorter and less severe, shortens the load, and reduces the request rate and the cluster.
// It returns the smallest scenario found, and the number of scenarios that it has run.
func Shrink(s *scenario.Scenario, o ShrinkOptions) (smallest *scenario.Scenario, runs int) {
	r := &shrinker{options: o, smallest: s.Clone()}
	for r.runs < o.MaxRuns {
		removed := r.removeFaults()
		reduced := r.reduceFaults()
		downsized := r.reduceCluster()
		if !removed && !reduced && !downsized {
			break
		}
	}
	return r.smallest, r.runs
}

// shrinker is the state of a call of Shrink.
type shrinker struct {
	options  ShrinkOptions
	smallest *scenario.Scenario // smallest scenario so far that violates the rule
	runs     int                // number of scenarios that were run
}

// accept runs a scenario and makes it the smallest one if it violates the rule. It reports whether it did.
// After MaxRuns runs it accepts no further scenario.
func (r *shrinker) accept(s *scenario.Scenario) bool {
	if r.runs >= r.options.MaxRuns {
		return false
	}
	r.runs++
	result := cluster.Play(s, cluster.Options{})
	if !result.Violated(r.options.Rule) {
		return false
	}
	r.smallest = s
	if r.options.OnSmaller != nil {
		r.options.OnSmaller(s)
	}
	return true
}

// removeFaults tries to remove groups of consecutive faults.
// It begins with groups of half of the faults and halves the size of the groups down to one fault.
// It reports whether it has removed any fault.
func (r *shrinker) removeFaults() bool {
	removed := false
	for count := max(1, len(r.smallest.Faults)/2); count >= 1 && len(r.smallest.Faults) > 0; count /= 2 {
		for first := 0; first+count <= len(r.smallest.Faults); {
			s := r.smallest.Clone()
			s.Faults = append(s.Faults[:first:first], s.Faults[first+count:]...)
			if r.accept(s) {
				removed = true
			} else {
				first += count
			}
		}
	}
	return removed
}

// reduceFaults tries to halve the duration of each fault, and then its size.
// It reports whether it has changed any fault.
func (r *shrinker) reduceFaults() bool {
	reduced := false
	for i := range r.smallest.Faults {
		for _, change := range []func(*scenario.Fault) bool{halveDuration, halveSize} {
			s := r.smallest.Clone()
			if change(&s.Faults[i]) && r.accept(s) {
				reduced = true
			}
		}
	}
	return reduced
}

// halveDuration halves the duration of a fault. It reports whether the duration is still above its lower limit.
func halveDuration(f *scenario.Fault) bool {
	f.DurationSeconds /= 2
	return f.DurationSeconds > minFaultSeconds
}

// halveSize halves the difference between a fault's size and the smallest size that its type allows.
// It reports whether the difference is still above its lower limit.
func halveSize(f *scenario.Fault) bool {
	smallest := scenario.FindFaultSpec(f.Type).Size.Min
	f.Size = smallest + (f.Size-smallest)/2
	return f.Size-smallest > minSizeDifference
}

// reduceCluster tries to shorten the load, and then to reduce the request rate and the size of the cluster.
// It reports whether it has changed any of them.
func (r *shrinker) reduceCluster() bool {
	reduced := false
	for _, change := range []func(*scenario.Scenario) bool{
		func(s *scenario.Scenario) bool { return shorten(s, s.Seconds/2) },
		func(s *scenario.Scenario) bool { return shorten(s, s.Seconds*0.8) },
		halveRequestRate,
		removeTier,
		removeBalancer,
		halveUpstreams,
	} {
		s := r.smallest.Clone()
		if change(s) && r.accept(s) {
			reduced = true
		}
	}
	return reduced
}

// shorten sets the duration of the load.
// It returns false if a fault starts at or after the new end, or if the duration is below its lower limit.
func shorten(s *scenario.Scenario, seconds float64) bool {
	for i := range s.Faults {
		if s.Faults[i].StartSeconds >= seconds {
			return false
		}
	}
	s.Seconds = float64(int(seconds*1000)) / 1000
	return seconds >= minSeconds
}

func halveRequestRate(s *scenario.Scenario) bool {
	s.Cluster.RequestRate /= 2
	return s.Cluster.RequestRate > minRequestRate
}

func removeTier(s *scenario.Scenario) bool {
	s.Cluster.Tiers--
	return s.Cluster.Tiers >= 1 && isValid(s)
}

func removeBalancer(s *scenario.Scenario) bool {
	s.Cluster.Balancers--
	return s.Cluster.Balancers >= 1 && isValid(s)
}

func halveUpstreams(s *scenario.Scenario) bool {
	s.Cluster.Upstreams /= 2
	return s.Cluster.Upstreams >= minUpstreams && isValid(s)
}

// isValid reports whether a changed scenario is still valid.
// It is invalid if the target of a fault is no longer part of the cluster.
func isValid(s *scenario.Scenario) bool {
	_, err := scenario.Parse("", s.Marshal())
	return err == nil
}
