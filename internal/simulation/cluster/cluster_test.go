package cluster

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"salttrack/internal/invariant"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	os.Exit(m.Run())
}

// reportViolations reports each violation of a run as an error of the test.
func reportViolations(t *testing.T, run string, result *Result) {
	t.Helper()
	for _, violation := range result.Violations {
		t.Errorf("%s: %s", run, violation)
	}
}

// Runs all scenarios in testdata. Each of them once violated a rule because of a fault in the code and must not violate any rule now.
// The description in each scenario says what was wrong.
func TestRegressions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in testdata: %v", err)
	}
	for _, file := range files {
		s, err := scenario.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Description == "" {
			t.Errorf("%s has no description of the fault that it found", file)
		}
		result := Play(s, Options{})
		reportViolations(t, file, &result)
	}
}

// Two runs of a scenario must have the same hash and the same trace. A run without a trace must have this hash too.
// A scenario of another seed must have another hash.
func TestDeterminism(t *testing.T) {
	s := scenario.Generate(7, scenario.Options{Seconds: 5})
	var traces [2]strings.Builder
	first := Play(s, Options{Trace: &traces[0]})
	second := Play(s, Options{Trace: &traces[1]})
	if first.Hash != second.Hash || first.Steps != second.Steps || traces[0].String() != traces[1].String() {
		t.Errorf("two runs differ: hashes %x and %x, %d and %d steps", first.Hash, second.Hash, first.Steps, second.Steps)
	}
	if traces[0].Len() < 100000 {
		t.Errorf("the trace has %d bytes, want at least 100000", traces[0].Len())
	}
	if untraced := Play(s, Options{}); untraced.Hash != first.Hash {
		t.Error("the run without a trace has another hash")
	}
	if other := Play(scenario.Generate(8, scenario.Options{Seconds: 5}), Options{}); other.Hash == first.Hash {
		t.Error("the run with another seed has the same hash")
	}
}

// singleFaultScenarios returns a scenario with one fault of the given type, and the same scenario without the fault.
func singleFaultScenarios(faultType names.FaultType) (with, without *scenario.Scenario) {
	with = scenario.Generate(11, scenario.Options{Seconds: 6, FaultTypes: []names.FaultType{faultType}})
	with.Cluster.Tiers = 1
	with.Cluster.NestedCalls = 0
	with.Cluster.ServiceTimeMS = 30
	with.Faults = with.Faults[:1]
	fault := &with.Faults[0]
	fault.StartSeconds = 1
	fault.DurationSeconds = max(fault.DurationSeconds, 0.5)
	if strings.HasPrefix(fault.Target, "u") {
		fault.Target = "u0-1"
	}
	without = with.Clone()
	without.Faults = nil
	switch faultType {
	case names.MutedDiscovery:
		fault.DurationSeconds = 6
		fallthrough
	case names.LaggingDiscovery, names.DuplicateUpdates: // a drain is added, because these types only affect updates of the endpoint list
		drain := scenario.Fault{ID: "d", Type: names.DrainUpstream, StartSeconds: 2, DurationSeconds: 1, Target: "u0-2"}
		with.Faults = append(with.Faults, drain)
		without.Faults = append(without.Faults, drain)
	}
	return with, without
}

// Runs one fault of each type alone. The run must violate no rule, and its hash must differ from the run without the fault.
func TestEachFaultType(t *testing.T) {
	for _, spec := range scenario.FaultSpecs {
		t.Run(string(spec.Name), func(t *testing.T) {
			t.Parallel()
			with, without := singleFaultScenarios(spec.Name)
			faulty := Play(with, Options{})
			healthy := Play(without, Options{})
			reportViolations(t, "with the fault", &faulty)
			reportViolations(t, "without the fault", &healthy)
			if faulty.Hash == healthy.Hash {
				t.Error("the fault has no effect")
			}
			if faulty.Counts.Requests < 100 || faulty.Counts.Served == 0 {
				t.Errorf("%+v", faulty.Counts)
			}
		})
	}
}

// Runs a cluster of three tiers. The upstreams of the first two tiers call the next tier, each through its own balancer.
func TestTiers(t *testing.T) {
	s := scenario.Generate(3, scenario.Options{Seconds: 5})
	s.Faults = nil
	s.Cluster.Tiers = 3
	s.Cluster.NestedCalls = 2
	s.Cluster.Upstreams = 4
	s.Cluster.RequestRate = 40
	s.Cluster.ServiceTimeMS = 5
	result := Play(s, Options{})
	if len(result.Violations) > 0 {
		t.Error(result.Violations)
	}
	counts := result.Counts
	// Each request of a client causes two nested calls to the second tier, and each of these two calls to the third tier.
	// So one of seven counted requests comes from a client.
	fromClients := counts.Requests - counts.Requests*6/7
	if counts.Failed > 0 || counts.Executed < fromClients*6 {
		t.Errorf("%+v", counts)
	}
}

// BenchmarkPlay runs the scenarios of successive seeds, one after the other.
func BenchmarkPlay(b *testing.B) {
	for i := range b.N {
		Play(scenario.Generate(uint64(i+1), scenario.Options{Seconds: 10}), Options{})
	}
}
