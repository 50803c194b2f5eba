package main

import (
	"fmt"
	"io"
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

// shrinkFlags are the flags of the shrink command.
type shrinkFlags struct {
	outputPath string
	rule       string
	maxRuns    int
}

func newShrinkCommand() *cobra.Command {
	flags := &shrinkFlags{}
	command := &cobra.Command{
		Use:   "shrink SCENARIO",
		Short: "Reduce a scenario that violates a rule to a smaller one that violates the same rule",
		Example: `  salttrack-sim sim --seed 17 --save 17.toml
  salttrack-sim shrink 17.toml --out small.toml`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return flags.shrink(command.OutOrStdout(), args[0])
		},
	}
	set := command.Flags()
	set.StringVar(&flags.outputPath, "out", "", "write the smaller scenario to a file (default standard output)")
	set.StringVar(&flags.rule, "rule", "", "rule that the smaller scenario has to violate (default the first rule that SCENARIO violates)")
	set.IntVar(&flags.maxRuns, "tries", 400, "maximum number of scenarios to run")
	return command
}

// shrink shrinks the scenario in the file at path, and writes the smallest scenario found.
func (f *shrinkFlags) shrink(output io.Writer, path string) error {
	s, err := scenario.Load(path)
	if err != nil {
		return err
	}
	rule := names.Rule(f.rule)
	if rule != "" && !slices.Contains(names.Rules, rule) {
		return fmt.Errorf("--rule: unknown rule %q; allowed are %s", rule, joinRules(names.Rules))
	}
	invariant.PanicOnViolation()
	result := cluster.Play(s, cluster.Options{})
	if rule == "" {
		rule = result.FirstRule()
	}
	if rule == "" || !result.Violated(rule) {
		return &violationError{fmt.Sprintf("%s does not violate rule %q: nothing to shrink", path, rule)}
	}
	p := newProgress()
	smallest, runs := seedsearch.Shrink(s, seedsearch.ShrinkOptions{
		Rule:    rule,
		MaxRuns: f.maxRuns,
		OnSmaller: func(smaller *scenario.Scenario) {
			p.show("%d faults, %.1f s", len(smaller.Faults), smaller.Seconds)
		},
	})
	p.clear()
	if err := f.write(output, smallest.Marshal()); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "rule %s: %d of %d faults, %.1f of %.1f s left after %d runs\n", rule, len(smallest.Faults),
		len(s.Faults), smallest.Seconds, s.Seconds, runs)
	return nil
}

// write writes the text of the smaller scenario to the file of --out, or to output.
func (f *shrinkFlags) write(output io.Writer, text []byte) error {
	if f.outputPath != "" {
		return os.WriteFile(f.outputPath, text, outputMode)
	}
	_, err := output.Write(text)
	return err
}

func joinRules(rules []names.Rule) string {
	list := make([]string, len(rules))
	for i, rule := range rules {
		list[i] = string(rule)
	}
	return strings.Join(list, ", ")
}
