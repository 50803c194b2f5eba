package mutation

import "salttrack/internal/simulation/names"

// decisionDefects are defects of the load balancing decisions and of discovery, which provides the endpoints for them.
var decisionDefects = []defect{
	{
		name:  "drain ignored",
		rules: []names.Rule{names.DrainingUpstreamUsed},
		quick: true,
		edits: []edit{
			{
				file: "internal/discovery/decode.go",
				old:  `"terminating": balance.Draining`,
				new:  `"terminating": balance.Ready`,
			},
		},
	},
	{
		name:  "an unsafe request repeated after a reset",
		rules: []names.Rule{names.DuplicateExecution},
		edits: []edit{
			{
				file: "balance/retry.go",
				old:  `if r.firstMayHaveRun < 0 || c.Idempotency == Idempotent {`,
				new:  `if r.firstMayHaveRun < 0 || c.Idempotency != WithIdempotencyKey {`,
			},
			{
				file: "balance/retry.go",
				old:  `if r.bodySent || mayHaveRun && r.classRules().Idempotency == NonIdempotent {`,
				new:  `if r.bodySent || mayHaveRun && false {`,
			},
			{
				file: "internal/driver/actions.go",
				old:  `x.ClassRules.Idempotency != balance.NonIdempotent || x.NeverRan()`,
				new:  `true`,
			},
		},
	},
	{
		name:  "a keyed request sent to another zone",
		rules: []names.Rule{names.DuplicateExecution},
		edits: []edit{
			{
				file: "balance/retry.go",
				old:  `return x.Zone == y.Zone && (scope == ScopeZone || x.Cell == y.Cell)`,
				new:  `return x.Zone != y.Zone || scope == ScopeZone`,
			},
		},
	},
	{
		name:  "a cold upstream overdriven",
		rules: []names.Rule{names.WarmingUpstreamCrashed},
		edits: []edit{
			{
				file: "balance/slowstart.go",
				old:  `return u.slowStartTokens >= 1 || b.warmFraction(u) == 1`,
				new:  `return true`,
			},
			{
				file: "balance/selection.go",
				old: `	b.dropAboveMeanLoad()
	n := len(b.candidates)`,
				new: `	for _, c := range b.candidates { // selects warming upstreams first
		if b.warmFraction(c.upstream) < 1 {
			return c.upstream
		}
	}
	b.dropAboveMeanLoad()
	n := len(b.candidates)`,
			},
		},
	},
	{
		name:  "a refusal after a run",
		rules: []names.Rule{names.FalseRejection},
		edits: []edit{
			{
				file: "balance/request.go",
				old:  `return c.Idempotency == Idempotent ||`,
				new:  `return true || c.Idempotency == Idempotent ||`,
			},
			{
				file: "internal/driver/actions.go",
				old:  `x.Disposition() != exchange.InProgress || safeToRetryAfterExecution(x.ClassRules) || x.NeverRan()`,
				new:  `true`,
			},
		},
	},
	{
		name:  "a watch that loses an update",
		rules: []names.Rule{names.DrainingUpstreamUsed},
		edits: []edit{
			{
				file: "internal/discovery/subscription.go",
				old: `	s.onLiveness(from)
	s.options.OnUpdate(u)`,
				new: `	s.onLiveness(from)
	if n := len(u.Endpoints); !u.Snapshot && n > 1 {
		u.Endpoints = u.Endpoints[:n-1]
	}
	s.options.OnUpdate(u)`,
			},
		},
	},
	{
		name:  "a ban that the next list ends",
		rules: []names.Rule{names.DisabledUpstreamUsed},
		quick: true,
		edits: []edit{
			{
				file: "balance/endpoints.go",
				old: `	u.StartedAt = max(e.StartedAt, b.endpoints.earliestStart(e.ID))
`,
				new: `	u.StartedAt = max(e.StartedAt, b.endpoints.earliestStart(e.ID))
	delete(b.endpoints.disabledSince, e.ID)
`,
			},
			{
				file: "internal/driver/endpoints.go",
				old:  `return d.ready[id] && !d.disabled[id]`,
				new:  `return d.ready[id]`,
			},
		},
	},
}
