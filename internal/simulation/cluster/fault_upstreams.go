package cluster

import "salttrack/internal/simulation/fake"

// costlyFraction is the fraction of the requests that a fault of type CostlyRequests makes more expensive.
const costlyFraction = 0.05

// upstreamFault changes the UpstreamFaults of the target of a fault, or of all upstreams if the fault has no target.
type upstreamFault struct {
	set   func(faults *fake.UpstreamFaults, size float64)
	reset func(faults *fake.UpstreamFaults)
}

var (
	slowUpstreams = upstreamFault{
		set:   func(u *fake.UpstreamFaults, size float64) { u.Slowdown = size },
		reset: func(u *fake.UpstreamFaults) { u.Slowdown = 1 },
	}
	costlyRequests = upstreamFault{
		set: func(u *fake.UpstreamFaults, size float64) {
			u.CostFactor = size
			u.CostlyFraction = costlyFraction
		},
		reset: func(u *fake.UpstreamFaults) { u.CostFactor = 0 },
	}
	hangingUpstream = upstreamFault{
		set:   func(u *fake.UpstreamFaults, _ float64) { u.Hanging = true },
		reset: func(u *fake.UpstreamFaults) { u.Hanging = false },
	}
	rejectingUpstream = upstreamFault{
		set:   func(u *fake.UpstreamFaults, _ float64) { u.Rejecting = true },
		reset: func(u *fake.UpstreamFaults) { u.Rejecting = false },
	}
	errorResponses = upstreamFault{
		set:   func(u *fake.UpstreamFaults, size float64) { u.ErrorFraction = size },
		reset: func(u *fake.UpstreamFaults) { u.ErrorFraction = 0 },
	}
	corruptResponses = upstreamFault{
		set:   func(u *fake.UpstreamFaults, size float64) { u.CorruptFraction = size },
		reset: func(u *fake.UpstreamFaults) { u.CorruptFraction = 0 },
	}
	extraResponses = upstreamFault{
		set:   func(u *fake.UpstreamFaults, size float64) { u.ExtraDataFraction = size },
		reset: func(u *fake.UpstreamFaults) { u.ExtraDataFraction = 0 },
	}
)

func (s upstreamFault) begin(f *activeFault) func() {
	f.changeUpstreams(func(u *fake.UpstreamFaults) { s.set(u, f.Size) })
	return func() { f.changeUpstreams(s.reset) }
}

// changeUpstreams changes the UpstreamFaults of the target of the fault, or of all tiers if it has no target.
func (f *activeFault) changeUpstreams(change func(*fake.UpstreamFaults)) {
	if f.Target != "" {
		r := f.replica()
		change(&r.ownFaults)
		r.combineFaults()
		return
	}
	for _, t := range f.cluster.tiers {
		change(&t.faults)
		for _, r := range t.replicas {
			r.combineFaults()
		}
	}
}
