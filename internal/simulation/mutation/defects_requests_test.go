package mutation

import "salttrack/internal/simulation/names"

// requestDefects are defects of the handling of requests, of settings and of shutdown.
var requestDefects = []defect{
	{
		name:  "a late answer",
		rules: []names.Rule{names.LateResponse, names.LostRequest},
		edits: []edit{
			{
				file: "internal/driver/actions.go",
				old: `	timeoutAt := x.RespondBy
`,
				new: `	timeoutAt := x.RespondBy + 300
`,
			},
			{
				file: "internal/driver/events.go",
				old:  `max(0, x.RespondBy-now),`,
				new:  `max(0, x.RespondBy+300-now),`,
			},
		},
	},
	{
		name:  "a leaked exchange",
		rules: []names.Rule{names.LeakedState},
		edits: []edit{
			{
				file: "internal/driver/events.go",
				old:  `if x.Finished() && d.exchanges[x.ID] == x {`,
				new:  `if x.Finished() && d.exchanges[x.ID] == x && x.Disposition() != exchange.Abandoned {`,
			},
		},
	},
	{
		name:  "an attempt after the final answer",
		rules: []names.Rule{names.AttemptAfterResponse},
		edits: []edit{
			{
				file: "internal/driver/actions.go",
				old: `	if !x.Sendable() {
		d.skipAttempt`,
				new: `	if false {
		d.skipAttempt`,
			},
			{
				file: "internal/driver/events.go",
				old: `x.Disposition() != exchange.InProgress,
		BodySent: `,
				new: `result.Outcome == balance.OK,
		BodySent: `,
			},
			{
				file: "internal/exchange/exchange.go",
				old:  `invariant.Check(x.disposition == InProgress, "no attempt begins after the final response")`,
				new:  `invariant.Check(true, "")`,
			},
			{
				file: "balance/balancer.go",
				old: `if r := b.requests.byID[id]; r != nil && !r.concluded {
		b.conclude(r)`,
				new: `if r := b.requests.byID[id]; false {
		b.conclude(r)`,
			},
		},
	},
	{
		name:  "classes numbered by their place in the new file",
		rules: []names.Rule{names.DuplicateExecution, names.FalseRejection},
		quick: true,
		edits: []edit{
			{
				file: "internal/node/reload.go",
				old:  `	n.server.ApplySettings(downstreamSettings(&merged))`,
				new:  `	n.server.ApplySettings(downstreamSettings(&next.Settings))`,
			},
		},
	},
	{
		name:       "a shutdown that goes on past the kill",
		rules:      []names.Rule{names.ShutdownTimeout, names.LostRequest},
		quick:      true,
		faultTypes: []names.FaultType{names.RestartBalancer, names.LateFirstRequests, names.HangingUpstream, names.SlowUpstream},
		edits: []edit{
			{
				file: "internal/shutdown/schedule.go",
				old:  `s.ExitBy = s.EarliestKill - 2*maxStall - writeAllowance`,
				new:  `s.ExitBy = signalledAt + max(1650, min(maxCountedDeadline, s.longestDeadline)) + 500`,
			},
		},
	},
}
