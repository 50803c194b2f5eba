package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/scenario"
)

// silenceStdout discards standard output until the end of a test.
func silenceStdout(t *testing.T) {
	t.Helper()
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = null
	t.Cleanup(func() {
		os.Stdout = stdout
		null.Close()
	})
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
	}
	return string(text)
}

// expectExitCodes executes command lines and checks their exit codes.
// The keys of tests are the arguments, and the values are the expected exit codes.
func expectExitCodes(t *testing.T, tests map[string]int) {
	t.Helper()
	silenceStdout(t)
	for args, want := range tests {
		if got := execute(strings.Fields(args)); got != want {
			t.Errorf("salttrack-sim %s: exit code %d, want %d", args, got, want)
		}
	}
}

// TestExitCodes checks that command lines have the exit codes that the help describes.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	invalid := filepath.Join(dir, "invalid.toml")
	if err := os.WriteFile(invalid, []byte("version = 1\nseconds = 0.0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := filepath.Join(dir, "valid.toml")
	expectExitCodes(t, map[string]int{
		"":                     exitOK,
		"--help":               exitOK,
		"sim --help":           exitOK,
		"kinds":                exitOK,
		"replay " + invalid:    exitError,
		"replay /nowhere.toml": exitError,
		"replay":               exitError,
		"sim --faults quake":   exitError,
		"sim --seeds 0":        exitError,
		"sim --seeds x":        exitError,
		"sim --trace t":        exitError,
		"simulate":             exitError,
		"sim --seed 4 --seconds 1 --save " + valid: exitOK,
	})
	expectExitCodes(t, map[string]int{
		"shrink " + valid:                       exitViolation, // the scenario violates no rule
		"shrink " + valid + " --rule nonsense":  exitError,
		"real " + valid + " --program /nowhere": exitError,
	})
}

// TestSearchReport checks the report that sim writes with --json.
func TestSearchReport(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	expectExitCodes(t, map[string]int{"sim --seeds 3 --seconds 1 --json " + path: exitOK})
	var report searchReport
	err := json.Unmarshal([]byte(readFile(t, path)), &report)
	if err != nil || report.Seeds != 3 || report.Steps == 0 || len(report.Found) != 0 {
		t.Errorf("error %v, report %+v", err, report)
	}
}

// TestReplay checks that a saved scenario has the same result as its seed, and that the trace contains responses.
func TestReplay(t *testing.T) {
	dir := t.TempDir()
	saved := filepath.Join(dir, "4.toml")
	trace := filepath.Join(dir, "4.txt")
	first := filepath.Join(dir, "4.json")
	second := filepath.Join(dir, "again.json")
	expectExitCodes(t, map[string]int{
		"sim --seed 4 --seconds 1 --save " + saved + " --trace " + trace + " --json " + first: exitOK,
	})
	expectExitCodes(t, map[string]int{"replay " + saved + " --json " + second: exitOK})
	if readFile(t, first) != readFile(t, second) {
		t.Error("the result of the saved scenario differs from the result of its seed")
	}
	if !strings.Contains(readFile(t, trace), "HTTP/1.1 200 OK") {
		t.Error("the trace contains no response")
	}
	if _, err := scenario.Load(saved); err != nil {
		t.Error(err)
	}
}

// TestShippedScenarios checks that the scenarios in deploy/lab violate no rule and serve at least 90% of their requests.
// All their fault types have to be supported on loopback sockets.
func TestShippedScenarios(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/lab/*.toml")
	if len(files) < 2 {
		t.Fatalf("scenarios in deploy/lab: %v, want at least 2", files)
	}
	for _, file := range files {
		s, err := scenario.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, f := range s.Faults {
			if !scenario.FindFaultSpec(f.Type).OnLoopback {
				t.Errorf("%s: fault type %s is not supported on loopback sockets", file, f.Type)
			}
		}
		result := cluster.Play(s, cluster.Options{})
		if len(result.Violations) > 0 || result.Counts.Served*10 < result.Counts.Requests*9 {
			t.Errorf("%s: %+v, want no violations and at least 90%% of the requests served", file, result)
		}
	}
}
