package cluster

import "salttrack/internal/simulation/fake"

const (
	defaultAgentLag = 20.0 // ms, after a fault that raised the lag
	minRaisedLagFraction    = 0.5  // fraction of the fault's size
)

// agentFault changes the discovery agents of all balancers.
type agentFault struct {
	set   func(f *activeFault, agent *fake.Agent)
	reset func(agent *fake.Agent)
}

func (s agentFault) begin(f *activeFault) func() {
	for _, b := range f.cluster.balancers {
		s.set(f, b.agent)
	}
	return func() {
		for _, b := range f.cluster.balancers {
			s.reset(b.agent)
		}
	}
}

func raiseAgentLag(f *activeFault, agent *fake.Agent) {
	agent.Lag = f.Size * f.rng.Between(minRaisedLagFraction, 1)
}

func resetAgentLag(agent *fake.Agent) { agent.Lag = defaultAgentLag }

func sendDuplicates(_ *activeFault, agent *fake.Agent) { agent.DuplicateUpdates = true }

func stopDuplicates(agent *fake.Agent) { agent.DuplicateUpdates = false }

// muteAgent lets discovery send a balancer nothing, and at the end all that has changed.
func muteAgent(f *activeFault) func() {
	b := f.balancer()
	b.agent.Muted = true
	return func() {
		b.agent.Muted = false
		b.agent.Publish()
	}
}

func resetAgent(f *activeFault) func() {
	f.balancer().agent.Reset()
	return nil
}
