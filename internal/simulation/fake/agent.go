package fake

import (
	"net/netip"
	"slices"
)

// Agent is the discovery agent on a balancer's machine. It sends the endpoints of a registry to watches of the balancer.
// It receives each revision of the registry after Lag, and sends the state at the latest revision that it has received.
// It owns its listener and its watches.
type Agent struct {
	Host             Host
	Registry         *Registry
	Balancer         string
	Recorder         Recorder
	Lag              float64 // ms from a change of the registry until the agent receives it
	Muted            bool    // the agent accepts watches and sends nothing on them
	DuplicateUpdates bool    // the agent sends each update twice

	listener *listener
	watches  []*watch
	revision int // latest revision of the registry that the agent has received
}

// NewAgent starts an agent that listens at addr. The exported fields of options configure it.
func NewAgent(options Agent, addr netip.AddrPort) (*Agent, error) {
	a := &options
	a.revision = a.Registry.revision
	l, err := listen(a.Host, addr, a.accept)
	if err != nil {
		return nil, err
	}
	a.listener = l
	a.Registry.agents = append(a.Registry.agents, a)
	return a, nil
}

// Close stops accepting connections, and closes the open ones after delay, in ms.
// The agent receives no change that is made to the registry after the call.
func (a *Agent) Close(delay float64) {
	a.listener.close()
	a.Host.Loop().After(delay, a.Reset)
	a.Registry.removeAgent(a)
}

// Reset closes the connections of all watches.
func (a *Agent) Reset() {
	watches := a.watches
	a.watches = nil
	for _, w := range watches {
		a.Host.Loop().Timers.Stop(w.keepAlive)
		w.conn.close()
	}
}

// onRevision is called when the registry changes. The agent receives and publishes the revision after its lag.
func (a *Agent) onRevision(revision int) {
	a.Host.Loop().After(a.Lag, func() {
		a.revision = max(a.revision, revision)
		a.Publish()
	})
}

// Publish sends each watch the changes that were not sent on it yet. It sends nothing while the agent is muted.
func (a *Agent) Publish() {
	if a.Muted {
		return
	}
	for _, w := range a.watches {
		w.publish()
	}
}

func (a *Agent) accept(c *conn) {
	a.watches = append(a.watches, newWatch(a, c))
}

func (a *Agent) removeWatch(w *watch) {
	a.watches = slices.DeleteFunc(slices.Clone(a.watches), func(other *watch) bool { return other == w })
}

// snapshot returns all endpoints at the agent's revision, except for terminated ones.
func (a *Agent) snapshot() []Endpoint {
	return slices.DeleteFunc(a.changesSince(0), func(e Endpoint) bool { return e.Phase == Terminated })
}

// changesSince returns the endpoints that changed after a revision, each in its state at the agent's revision.
func (a *Agent) changesSince(revision int) []Endpoint {
	list := []Endpoint{} // not nil, which would be encoded as null
	position := map[string]int{}
	for _, c := range a.Registry.changes {
		if c.revision <= revision || c.revision > a.revision {
			continue
		}
		if i, listed := position[c.endpoint.ID]; listed {
			list[i] = c.endpoint
			continue
		}
		position[c.endpoint.ID] = len(list)
		list = append(list, c.endpoint)
	}
	return list
}
