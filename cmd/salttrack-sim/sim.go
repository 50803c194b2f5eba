package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"salttrack/internal/invariant"
	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
	"salttrack/internal/simulation/seedsearch"
)

const (
	minSeconds = 1   // lower limit of --seconds
	maxSeconds = 600 // upper limit of --seconds

	// progressInterval is the number of seeds between two updates of the progress line.
	progressInterval = 10
)

// simFlags are the flags of the sim command.
type simFlags struct {
	search          seedsearch.Options
	faultTypes      []string
	seed            uint64
	tracePath       string
	savePath        string
	jsonPath        string
	stopAtViolation bool
}

func newSimCommand() *cobra.Command {
	flags := &simFlags{}
	command := &cobra.Command{
		Use:   "sim",
		Short: "Run scenarios that are generated from seeds, and check them against the rules",
		Example: `  salttrack-sim sim --seeds 1000
  salttrack-sim sim --seeds 200 --first 5000 --faults cut,deploy,kill --json found.json
  salttrack-sim sim --seed 17 --trace trace.txt --save 17.toml`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.validate(); err != nil {
				return err
			}
			invariant.PanicOnViolation()
			if command.Flags().Changed("seed") {
				return flags.runSeed(command.OutOrStdout())
			}
			return flags.runSeeds(command.OutOrStdout())
		},
	}
	flags.register(command)
	return command
}

// register adds the flags to the command.
func (f *simFlags) register(command *cobra.Command) {
	set := command.Flags()
	set.IntVar(&f.search.Seeds, "seeds", 100, "number of seeds")
	set.Uint64Var(&f.search.FirstSeed, "first", 1, "first seed")
	set.IntVar(&f.search.Concurrency, "jobs", 0, "number of seeds that run concurrently (0 for the value of GOMAXPROCS)")
	set.StringSliceVar(&f.faultTypes, "faults", nil, "generate only faults of these types (see salttrack-sim kinds)")
	set.Float64Var(&f.search.Scenario.Seconds, "seconds", 30, "duration of the load in virtual seconds")
	set.Uint64Var(&f.seed, "seed", 0, "run only this seed")
	set.StringVar(&f.tracePath, "trace", "", "with --seed: write all network events and the balancers' logs to a file")
	set.StringVar(&f.savePath, "save", "", "with --seed: write the scenario to a file")
	set.StringVar(&f.jsonPath, "json", "", "write the summary and the results with violations to a file, - for standard output")
	set.BoolVar(&f.stopAtViolation, "stop", false, "stop after the first seed that violates a rule")
}

// validate checks the flags, and stores the fault types of --faults in the search options.
func (f *simFlags) validate() error {
	for _, name := range f.faultTypes {
		faultType := names.FaultType(name)
		if scenario.FindFaultSpec(faultType) == nil {
			return fmt.Errorf("--faults: unknown fault type %q; allowed are %s", name, strings.Join(scenario.FaultTypeNames(), ", "))
		}
		f.search.Scenario.FaultTypes = append(f.search.Scenario.FaultTypes, faultType)
	}
	seconds := f.search.Scenario.Seconds
	if f.search.Seeds < 1 || f.search.Concurrency < 0 || seconds < minSeconds || seconds > maxSeconds {
		return fmt.Errorf("--seeds must be at least 1, --jobs at least 0, and --seconds from %d to %d", minSeconds, maxSeconds)
	}
	return nil
}

// runSeed runs the scenario of --seed.
func (f *simFlags) runSeed(output io.Writer) error {
	s := scenario.Generate(f.seed, f.search.Scenario)
	if f.savePath != "" {
		if err := os.WriteFile(f.savePath, s.Marshal(), outputMode); err != nil {
			return err
		}
	}
	return runScenario(output, s, f.tracePath, f.jsonPath)
}

// runSeeds runs the scenarios of all seeds of the search.
func (f *simFlags) runSeeds(output io.Writer) error {
	if f.tracePath != "" || f.savePath != "" {
		return errors.New("--trace and --save can be used with --seed only")
	}
	r := &searchReporter{flags: f, output: output, progress: newProgress()}
	f.search.OnResult = r.onResult
	summary := seedsearch.Run(f.search)
	r.progress.clear()
	if f.jsonPath != standardOutput {
		fmt.Fprintln(output, summaryLine(summary))
	}
	if err := writeJSON(output, f.jsonPath, searchReport{*summary, r.violating}); err != nil {
		return err
	}
	if len(r.violating) > 0 {
		return &violationError{}
	}
	return nil
}

// searchReport is the content of the file that sim writes with --json.
type searchReport struct {
	seedsearch.Summary
	Found []cluster.Result `json:"found"` // results with violations
}

// searchReporter prints the progress and the violations of a search, and collects the results with violations.
type searchReporter struct {
	flags     *simFlags
	output    io.Writer
	progress  *progress
	finished  int              // number of seeds that have run
	violating []cluster.Result // results with violations
}

// onResult is called with the result of each seed. It prints the first violation of the result.
// It returns whether the search continues.
func (r *searchReporter) onResult(result *cluster.Result) (proceed bool) {
	r.finished++
	if len(result.Violations) > 0 {
		r.violating = append(r.violating, *result)
		if r.flags.jsonPath != standardOutput {
			r.progress.clear()
			fmt.Fprintf(r.output, "seed %d: %s\n", result.Seed, result.Violations[0])
		}
	}
	if r.finished%progressInterval == 0 {
		r.progress.show("%d of %d seeds, %d violated a rule", r.finished, r.flags.search.Seeds, len(r.violating))
	}
	return !r.flags.stopAtViolation || len(r.violating) == 0
}

// summaryLine returns the line that sim prints at the end of a search.
func summaryLine(s *seedsearch.Summary) string {
	var rules []string
	for _, rule := range slices.Sorted(maps.Keys(s.Violations)) {
		rules = append(rules, fmt.Sprintf("%s %d", rule, s.Violations[rule]))
	}
	violations := "none"
	if len(rules) > 0 {
		violations = strings.Join(rules, ", ")
	}
	speedup := s.VirtualSeconds / max(s.RealSeconds, 1e-9)
	return fmt.Sprintf("seeds %d, steps %d, virtual %.0f s, real %.1f s (%.0f times faster), requests %d, violations: %s, hash %016x",
		s.Seeds, s.Steps, s.VirtualSeconds, s.RealSeconds, speedup, s.Counts.Requests, violations, s.Hash)
}
