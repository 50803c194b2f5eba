package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"salttrack/internal/invariant"
	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/scenario"
)

// traceBufferBytes is the size of the write buffer of the trace file.
const traceBufferBytes = 1 << 20

func newReplayCommand() *cobra.Command {
	var tracePath, jsonPath string
	command := &cobra.Command{
		Use:     "replay SCENARIO",
		Short:   "Run a scenario file",
		Example: `  salttrack-sim replay deploy/lab/calm.toml --trace trace.txt`,
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			invariant.PanicOnViolation()
			return runScenario(command.OutOrStdout(), s, tracePath, jsonPath)
		},
	}
	command.Flags().StringVar(&tracePath, "trace", "", "write all network events and the balancers' logs to a file")
	command.Flags().StringVar(&jsonPath, "json", "", "write the result to a file, - for standard output")
	return command
}

// runScenario runs a scenario and writes its result.
func runScenario(output io.Writer, s *scenario.Scenario, tracePath, jsonPath string) error {
	result, err := runTraced(s, tracePath)
	if err != nil {
		return err
	}
	if jsonPath != standardOutput {
		writeResult(output, s, result)
	}
	if err := writeJSON(output, jsonPath, result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return &violationError{}
	}
	return nil
}

// runTraced runs a scenario, and writes its trace and the balancers' logs to the file at tracePath.
// If tracePath is empty, it writes neither.
func runTraced(s *scenario.Scenario, tracePath string) (*cluster.Result, error) {
	var options cluster.Options
	if tracePath != "" {
		file, err := os.Create(tracePath)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		buffer := bufio.NewWriterSize(file, traceBufferBytes)
		defer buffer.Flush()
		options.Trace = buffer
		options.Log = buffer
	}
	result := cluster.Play(s, options)
	return &result, nil
}

// writeResult writes the faults of a scenario and the result of its run as text.
func writeResult(output io.Writer, s *scenario.Scenario, result *cluster.Result) {
	for _, f := range s.Faults {
		fmt.Fprintf(output, "%-12s %-16s from %6.2f s for %5.2f s size %g\n", f.Type, f.Target, f.StartSeconds,
			f.DurationSeconds, f.Size)
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(output, violation)
	}
	counts := result.Counts
	fmt.Fprintf(output, "asked %d, served %d, refused %d, failed %d, no answer %d; attempts %d, ran %d\n", counts.Requests,
		counts.Served, counts.Rejected, counts.Failed, counts.NoResponse, counts.Attempts, counts.Executed)
	fmt.Fprintf(output, "seed %d, steps %d, virtual %.1f s, violations %d, hash %016x\n", result.Seed, result.Steps,
		result.Seconds, len(result.Violations), result.Hash)
}
