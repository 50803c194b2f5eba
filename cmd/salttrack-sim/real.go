package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"salttrack/internal/simulation/checker"
	"salttrack/internal/simulation/cluster"
	"salttrack/internal/simulation/scenario"
)

// realRunOverheadSeconds is the estimated time that a run on loopback sockets takes in addition to its load.
const realRunOverheadSeconds = 6

func newRealCommand() *cobra.Command {
	var program, jsonPath string
	command := &cobra.Command{
		Use:   "real SCENARIO",
		Short: "Run a scenario with real processes on loopback sockets, and compare it with a virtual run",
		Long: `Real runs a scenario twice: on the virtual network, and in real time with processes of the balancer's program on
loopback addresses. It shows the results of both runs, and the CPU time of the real balancers.
Faults of the network, of balancers and of discovery, and some faults of upstreams, are supported on the virtual
network only.`,
		Example: `  salttrack-sim real deploy/lab/calm.toml --program bin/salttrack`,
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := os.Stat(program); err != nil {
				return fmt.Errorf("--program: %w", err)
			}
			return compareRuns(command.OutOrStdout(), s, program, jsonPath)
		},
	}
	command.Flags().StringVar(&program, "program", "bin/salttrack", "path of the balancer's program")
	command.Flags().StringVar(&jsonPath, "json", "", "write both results to a file, - for standard output")
	return command
}

// realReport is the content of the file that real writes with --json.
type realReport struct {
	Real    *cluster.LoopbackResult `json:"real"`
	Virtual *cluster.Result         `json:"virtual"`
}

// compareRuns runs a scenario on the virtual network and on loopback sockets, and writes both results.
func compareRuns(output io.Writer, s *scenario.Scenario, program, jsonPath string) error {
	virtual := cluster.Play(s, cluster.Options{})
	p := newProgress()
	p.show("virtual run finished; the run on loopback sockets takes about %.0f s\n", s.Seconds+realRunOverheadSeconds)
	loopback, err := cluster.PlayLoopback(s, program)
	if err != nil {
		return err
	}
	report := realReport{Real: loopback, Virtual: &virtual}
	if jsonPath != standardOutput {
		report.write(output)
	}
	if err := writeJSON(output, jsonPath, report); err != nil {
		return err
	}
	if len(report.violations())+len(loopback.EnvironmentErrors) > 0 {
		return &violationError{}
	}
	return nil
}

// violations returns the violations of both runs.
func (r *realReport) violations() []checker.Violation {
	return append(r.Virtual.Violations[:len(r.Virtual.Violations):len(r.Virtual.Violations)], r.Real.Violations...)
}

// write writes both results as a table, then the CPU time, the violations and the errors of the simulator itself.
func (r *realReport) write(output io.Writer) {
	fmt.Fprintf(output, "%-9s %8s %8s %8s %8s %9s %9s\n", "", "asked", "served", "refused", "failed", "no answer", "attempts")
	writeCounts(output, "virtual", r.Virtual.Counts)
	writeCounts(output, "real", r.Real.Counts)
	fmt.Fprintf(output, "CPU of the real balancers %.2f s, %.1f us a request\n", r.Real.CPUSeconds, r.Real.CPUMicrosPerRequest)
	for _, violation := range r.violations() {
		fmt.Fprintln(output, violation)
	}
	for _, message := range r.Real.EnvironmentErrors {
		fmt.Fprintln(output, "simulator error:", message)
	}
}

// writeCounts writes a row of the table: the requests, the outcomes as percentages of the requests, and the attempts.
func writeCounts(output io.Writer, name string, counts checker.Counts) {
	percent := func(n int) string {
		return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, counts.Requests)))
	}
	fmt.Fprintf(output, "%-9s %8d %8s %8s %8s %9s %9d\n", name, counts.Requests, percent(counts.Served), percent(counts.Rejected),
		percent(counts.Failed), percent(counts.NoResponse), counts.Attempts)
}
