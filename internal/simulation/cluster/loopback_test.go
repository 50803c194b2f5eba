package cluster

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"

	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

// buildProgram builds the program of the balancer and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "salttrack")
	if output, err := exec.Command("go", "build", "-o", program, "salttrack/cmd/salttrack").CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, output)
	}
	return program
}

// TestPlayLoopback runs a scenario with error responses on loopback sockets, with processes of the real program.
// The run must violate no rule, each request must get a response, and at least half of the requests must be served.
func TestPlayLoopback(t *testing.T) {
	s := scenario.Generate(1, scenario.Options{Seconds: 2})
	s.Cluster.Tiers = 1
	s.Cluster.NestedCalls = 0
	s.Cluster.RequestRate = 100
	s.Cluster.ServiceTimeMS = 2
	s.Faults = []scenario.Fault{
		{ID: "e", Type: names.ErrorResponses, StartSeconds: 0.5, DurationSeconds: 1, Target: "u0-1", Size: 0.5},
	}
	result, err := PlayLoopback(s, buildProgram(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Violations)+len(result.EnvironmentErrors) > 0 {
		t.Errorf("violations %v, errors of the environment %v", result.Violations, result.EnvironmentErrors)
	}
	counts := result.Counts
	if counts.Requests < 50 || counts.Served+counts.Rejected+counts.Failed != counts.Requests ||
		counts.Served*2 < counts.Requests || result.CPUSeconds <= 0 {
		t.Errorf("unexpected counts %+v or CPU time %v s", counts, result.CPUSeconds)
	}
}

// TestUnsupportedFault checks that a scenario with a network partition can't run on loopback sockets.
// The error must name the fault and its type.
func TestUnsupportedFault(t *testing.T) {
	s := scenario.Generate(1, scenario.Options{Seconds: 2})
	s.Faults = []scenario.Fault{
		{ID: "c", Type: names.PartitionWithReset, StartSeconds: 1, DurationSeconds: 1, Target: "east|west"},
	}
	_, err := PlayLoopback(s, "unused")
	var unsupported *UnsupportedFaultError
	if !errors.As(err, &unsupported) || unsupported.ID != "c" || unsupported.Type != names.PartitionWithReset {
		t.Errorf("got error %v, want an *UnsupportedFaultError for fault c", err)
	}
}
