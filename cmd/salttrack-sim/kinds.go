package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"salttrack/internal/simulation/scenario"
)

// targetFormats has the format of Fault.Target for each kind of target, as the kinds command prints it.
var targetFormats = map[scenario.TargetKind]string{
	scenario.NoTarget:       "",
	scenario.UpstreamTarget: "upstream",
	scenario.BalancerTarget: "balancer",
	scenario.ZonePairTarget: "zone|zone",
}

func newKindsCommand() *cobra.Command {
	const row = "%-13s %-10s %-22s %s\n"
	return &cobra.Command{
		Use:     "kinds",
		Short:   "List the fault types",
		Example: "  salttrack-sim kinds",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			output := command.OutOrStdout()
			fmt.Fprintf(output, row, "KIND", "TARGET", "SIZE", "WHAT HAPPENS")
			for _, spec := range scenario.FaultSpecs {
				fmt.Fprintf(output, row, spec.Name, targetFormats[spec.Target], spec.Size.Meaning, spec.Description)
			}
			return nil
		},
	}
}
