// Salttrack-sim runs balancers on a virtual clock and a virtual network, with injected faults.
// It checks the requests and responses of each run against a set of rules.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// Exit codes of salttrack-sim.
const (
	exitOK        = 0
	exitViolation = 1 // a rule was violated, real reported an error of the simulator, or shrink found no violation
	exitError     = 2 // any other error, such as an invalid command line or scenario
)

// gcPercent is the garbage collection target percentage, as in the environment variable GOGC.
// A run has a live heap of a few MB and allocates many short-lived objects, so a high value costs little memory.
const gcPercent = 400

// violationError is returned by a command that ends with exitViolation.
// The message is printed on standard error. It is "" if the command has already printed the violations.
type violationError struct{ message string }

func (e *violationError) Error() string { return e.message }

func main() {
	debug.SetGCPercent(gcPercent)
	os.Exit(execute(os.Args[1:]))
}

// execute runs a command line and returns the exit code.
func execute(args []string) int {
	root := newRootCommand()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	var violation *violationError
	if !errors.As(err, &violation) {
		fmt.Fprintln(os.Stderr, "salttrack-sim: "+err.Error())
		return exitError
	}
	if violation.message != "" {
		fmt.Fprintln(os.Stderr, "salttrack-sim: "+violation.message)
	}
	return exitViolation
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "salttrack-sim",
		Short: "Simulate balancers under faults on a virtual clock",
		Long: `Salttrack-sim runs the balancer's own code on a virtual clock and a virtual network, with fake clients, upstreams
and discovery. It injects faults that are generated from a seed or given in a scenario file, and checks all requests
and responses against a set of rules.

Exit status:
  0  no rule was violated
  1  a rule was violated, real reported an error of the simulator, or shrink got a scenario that violates no rule
  2  any other error, such as an invalid command line or scenario file`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newSimCommand(), newReplayCommand(), newShrinkCommand(), newKindsCommand(), newRealCommand())
	return root
}
