package seedsearch

import (
	"testing"

	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

// TestConcurrency checks that the summary of the same seeds does not depend on the concurrency.
func TestConcurrency(t *testing.T) {
	options := Options{FirstSeed: 1, Seeds: 50, Concurrency: 1, Scenario: scenario.Options{Seconds: 4}}
	one := Run(options)
	options.Concurrency = 8
	eight := Run(options)
	if one.Hash != eight.Hash || one.Steps != eight.Steps || one.Counts != eight.Counts {
		t.Errorf("concurrency 1: %+v\nconcurrency 8: %+v", one, eight)
	}
	if len(one.Violations) > 0 {
		t.Errorf("violations: %v", one.Violations)
	}
	if one.Seeds != 50 || one.Counts.Requests < 5000 {
		t.Errorf("summary %+v, want 50 seeds and at least 5000 requests", one)
	}
}

// TestStop checks that a search reports results in the order of the seeds, and that it ends when OnResult returns false.
func TestStop(t *testing.T) {
	var seeds []uint64
	summary := Run(Options{
		FirstSeed:   5,
		Seeds:       40,
		Concurrency: 4,
		Scenario:    scenario.Options{Seconds: 1},
		OnResult: func(result *cluster.Result) bool {
			seeds = append(seeds, result.Seed)
			return len(seeds) < 3
		},
	})
	if summary.Seeds != 3 || len(seeds) != 3 || seeds[0] != 5 || seeds[2] != 7 {
		t.Errorf("%d seeds in the summary, results of seeds %v", summary.Seeds, seeds)
	}
}

// TestShrinkWithoutViolation checks that Shrink does not change a scenario that violates no rule.
func TestShrinkWithoutViolation(t *testing.T) {
	s := scenario.Generate(2, scenario.Options{Seconds: 1})
	smallest, runs := Shrink(s, ShrinkOptions{Rule: names.LostRequest, MaxRuns: 5})
	if len(smallest.Faults) != len(s.Faults) || runs == 0 || runs > 5 {
		t.Errorf("%d of %d faults left after %d runs", len(smallest.Faults), len(s.Faults), runs)
	}
}
