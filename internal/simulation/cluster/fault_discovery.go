package cluster

import "salttrack/internal/simulation/fake"

const (
	defaultAgentLag      = 20.0 // lag in ms of all agents after a fault that raised it
	minRaisedLagFraction = 0.5  // shortest lag during a fault, as a fraction of the fault's size
)

// agentFault changes the discovery agents of all balancers.
type agentFault struct {
	set   func(f *activeFault, agent *fake.Agent) // called for each agent at the start of the fault
	reset func(agent *fake.Agent)                 // called for each agent at the end of the fault
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

// raiseAgentLag sets the lag of an agent to a random time of at most the fault's size in ms.
func raiseAgentLag(f *activeFault, agent *fake.Agent) {
	agent.Lag = f.Size * f.rng.Between(minRaisedLagFraction, 1)
}

func resetAgentLag(agent *fake.Agent) { agent.Lag = defaultAgentLag }

// sendDuplicates makes an agent send each update twice.
func sendDuplicates(_ *activeFault, agent *fake.Agent) { agent.DuplicateUpdates = true }

func stopDuplicates(agent *fake.Agent) { agent.DuplicateUpdates = false }

// muteAgent stops all messages of discovery to a balancer.
// At the end of the fault the agent sends the changes that it did not send during the fault.
func muteAgent(f *activeFault) func() {
	b := f.balancer()
	b.agent.Muted = true
	return func() {
		b.agent.Muted = false
		b.agent.Publish()
	}
}

// resetAgent closes the connections of a balancer to its discovery agent.
func resetAgent(f *activeFault) func() {
	f.balancer().agent.Reset()
	return nil
}
