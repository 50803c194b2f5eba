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

// TestRegressions runs all scenarios in testdata.
// Each of them once violated a rule because of a fault in the code, and must not violate any rule now.
// The description in each scenario states what was wrong.
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

// TestDeterminism checks that two runs of a scenario have the same hash and the same trace, and that a run without a
// trace has this hash too. A scenario of another seed must have another hash.
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

// TestEachFaultType runs a scenario with a single fault for each fault type.
// The run must violate no rule, and its hash must differ from that of the run without the fault.
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
				t.Error("the runs with and without the fault have the same hash")
			}
			if faulty.Counts.Requests < 100 || faulty.Counts.Served == 0 {
				t.Errorf("counts %+v, want at least 100 requests, some of them served", faulty.Counts)
			}
		})
	}
}

// TestTiers runs a cluster of three tiers, and checks that no request fails and that the calls reach all tiers.
// The upstreams of the first two tiers call the next tier, each through its own balancer.
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
		t.Errorf("violations: %v", result.Violations)
	}
	counts := result.Counts
	// Each request of a client causes two calls to the second tier.
	// Each of these calls causes two calls to the third tier.
	// So one of seven counted requests comes from a client.
	fromClients := counts.Requests - counts.Requests*6/7
	if counts.Failed > 0 || counts.Executed < fromClients*6 {
		t.Errorf("counts %+v, want no failed requests and at least %d executions", counts, fromClients*6)
	}
}

// BenchmarkPlay runs the scenarios of successive seeds, one after the other.
func BenchmarkPlay(b *testing.B) {
	for i := range b.N {
		Play(scenario.Generate(uint64(i+1), scenario.Options{Seconds: 10}), Options{})
	}
}
