// Package mutation tests that the simulator finds defects in the balancer.
// A defect is planted by building salttrack-sim with a build overlay that replaces source files by changed ones.
// The files of the repository stay as they are, so no released binary contains a defect.
package mutation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"salttrack/internal/simulation/checker"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/seedsearch"
)

const (
	repositoryRoot = "../../.."

	// defectsVariable is the environment variable that selects the defects to plant.
	// Its value is allDefects or a substring of the names of the defects.
	// If it is not set, only the quick defects are planted.
	defectsVariable = "PLANTED"
	allDefects      = "all"

	maxSeeds      = "300" // limit on the seeds that are searched for a defect
	maxShrinkRuns = "120" // limit on the runs to shrink a scenario

	exitViolation = 1 // exit code of salttrack-sim after a violation
)

// edit replaces a text in a source file. The file has to contain the old text exactly once.
type edit struct{ file, old, new string }

// defect is a defect to plant.
type defect struct {
	name       string            // selects the defect in defectsVariable, so it can't be renamed
	rules      []names.Rule      // rules that the defect may violate
	quick      bool              // whether the defect is also planted if defectsVariable is not set
	faultTypes []names.FaultType // fault types of the generated scenarios; empty for all
	edits      []edit            // changes of the source that plant the defect
}

// defects lists all defects.
var defects = slices.Concat(decisionDefects, requestDefects, connectionDefects)

// faultsFlag returns the --faults flag of salttrack-sim for the fault types of the defect.
func (d *defect) faultsFlag() string {
	var list []string
	for _, faultType := range d.faultTypes {
		list = append(list, string(faultType))
	}
	return "--faults=" + strings.Join(list, ",")
}

// apply returns the changed text of each source file that the defect edits, by path.
func (d *defect) apply() (map[string]string, error) {
	texts := map[string]string{}
	for _, e := range d.edits {
		if _, read := texts[e.file]; !read {
			text, err := os.ReadFile(filepath.Join(repositoryRoot, e.file))
			if err != nil {
				return nil, err
			}
			texts[e.file] = string(text)
		}
		if n := strings.Count(texts[e.file], e.old); n != 1 {
			return nil, fmt.Errorf("%s contains the text to replace %d times, not once: %q", e.file, n, e.old)
		}
		texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
	}
	return texts, nil
}

// build builds salttrack-sim with a defect and returns the path of the program.
func build(t *testing.T, d *defect) string {
	t.Helper()
	texts, err := d.apply()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "salttrack-sim")
	cmd := exec.Command("go", "build", "-overlay", writeOverlay(t, dir, texts), "-o", program, "./cmd/salttrack-sim")
	cmd.Dir = repositoryRoot
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return program
}

// writeOverlay writes the changed source files and the overlay file for go build.
// It returns the path of the overlay file.
func writeOverlay(t *testing.T, dir string, texts map[string]string) string {
	t.Helper()
	replace := map[string]string{}
	for file, text := range texts {
		original, err := filepath.Abs(filepath.Join(repositoryRoot, file))
		if err != nil {
			t.Fatal(err)
		}
		changed := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		replace[original] = changed
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}

// TestEditsApply checks that each edited file contains the old text once, for all defects and not only the quick ones.
func TestEditsApply(t *testing.T) {
	for _, d := range defects {
		for _, e := range d.edits {
			text, err := os.ReadFile(filepath.Join(repositoryRoot, e.file))
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(text), e.old); n != 1 {
				t.Errorf("defect %q: %s contains the text to replace %d times, not once: %q", d.name, e.file, n, e.old)
			}
		}
	}
}

// selected reports whether a defect is planted in this run of the tests.
func selected(d *defect) bool {
	switch selection := os.Getenv(defectsVariable); selection {
	case "":
		return d.quick
	case allDefects:
		return true
	default:
		return strings.Contains(d.name, selection)
	}
}

// TestFound plants each selected defect.
// One of the first 300 seeds has to violate a rule that the defect may violate.
// The shrunk scenario of that seed has to violate a rule as well.
func TestFound(t *testing.T) {
	withTable := os.Getenv(defectsVariable) != ""
	if withTable {
		fmt.Println("| defect | rule | seeds until found | faults, seconds | after shrinking |\n| --- | --- | --- | --- | --- |")
	}
	for i := range defects {
		d := &defects[i]
		if !selected(d) {
			continue
		}
		t.Run(strings.ReplaceAll(d.name, " ", "-"), func(t *testing.T) {
			program := build(t, d)
			found := search(t, program, d)
			shrunk := shrink(t, program, d, found)
			if withTable {
				fmt.Printf("| %s | %s | %d | %s\n", d.name, found.rule, found.seed, shrunk)
			}
		})
	}
}

// finding is the first violation that a search has found.
type finding struct {
	seed uint64
	rule names.Rule
}

// search searches for a seed that violates a rule.
// It checks that the rule is one of those that the defect may violate.
func search(t *testing.T, program string, d *defect) finding {
	t.Helper()
	output, err := exec.Command(program, "sim", "--seeds", maxSeeds, "--stop", "--json", "-", d.faultsFlag()).Output()
	if !isViolation(err) {
		t.Fatalf("no seed violates a rule: %v", err)
	}
	var report struct {
		seedsearch.Summary
		Found []struct {
			Seed       uint64
			Violations []checker.Violation
		}
	}
	if err := json.Unmarshal(output, &report); err != nil {
		t.Fatal(err)
	}
	first := report.Found[0]
	violation := first.Violations[0]
	if !slices.Contains(d.rules, violation.Rule) {
		t.Errorf("violated rule %s, want one of %v: %s", violation.Rule, d.rules, violation.Text)
	}
	return finding{seed: first.Seed, rule: violation.Rule}
}

// shrink shrinks the scenario of a finding and checks that the smaller scenario violates a rule too.
// It returns the number of faults and the duration of both scenarios as the last columns of a table row.
func shrink(t *testing.T, program string, d *defect, found finding) string {
	t.Helper()
	dir := t.TempDir()
	complete := filepath.Join(dir, "complete.toml")
	smaller := filepath.Join(dir, "smaller.toml")
	err := exec.Command(program, "sim", "--seed", fmt.Sprint(found.seed), "--save", complete, d.faultsFlag()).Run()
	if !isViolation(err) {
		t.Errorf("the saved scenario violates no rule: %v", err)
	}
	var message strings.Builder
	cmd := exec.Command(program, "shrink", complete, "--rule", string(found.rule), "--out", smaller, "--tries", maxShrinkRuns)
	cmd.Stderr = &message
	if err := cmd.Run(); err != nil {
		t.Fatalf("shrink: %v %s", err, message.String())
	}
	if err := exec.Command(program, "replay", smaller).Run(); !isViolation(err) {
		t.Errorf("the smaller scenario violates no rule: %v", err)
	}
	var faults, allFaults, runs int
	var seconds, allSeconds float64
	_, sizes, _ := strings.Cut(message.String(), ": ")
	fmt.Sscanf(sizes, "%d of %d faults, %f of %f s left after %d runs", &faults, &allFaults, &seconds, &allSeconds, &runs)
	return fmt.Sprintf("%d, %.0f s | %d, %.1f s |", allFaults, allSeconds, faults, seconds)
}

// isViolation reports whether err is the error of a command that ended with exitViolation.
func isViolation(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == exitViolation
}
