package fake

import "encoding/json"

// Phase is the phase of an endpoint in discovery. Its values are those of the wire format.
type Phase string

// Phases of an endpoint.
const (
	InService   Phase = "in_service"
	Terminating Phase = "terminating"
	Terminated  Phase = "terminated"
)

// Endpoint is one upstream in an endpoint list of discovery.
type Endpoint struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     Phase   `json:"phase"`
	Size      float64 `json:"size"`
	StartedAt float64 `json:"up_since_ms"`
}

// Registry holds the endpoints of a tier and the history of their changes.
type Registry struct {
	revision  int
	endpoints []Endpoint // endpoints that are not terminated, in the sequence in which they were added
	changes   []change   // all changes, by ascending revision
	agents    []*Agent   // agents that receive each change
}

// change is the state of an endpoint after one change.
type change struct {
	revision int
	endpoint Endpoint
}

// message is one message on a watch. It holds the complete endpoint list, or the endpoints that have changed.
type message struct {
	Revision int        `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []Endpoint `json:"members"`
}

// Set adds or changes an endpoint and notifies the agents. It removes an endpoint in phase Terminated from the list.
func (r *Registry) Set(endpoint Endpoint) {
	r.revision++
	r.changes = append(r.changes, change{r.revision, endpoint})
	r.endpoints = replaceEndpoint(r.endpoints, endpoint)
	for _, agent := range r.agents {
		agent.onRevision(r.revision)
	}
}

// replaceEndpoint returns a copy of a list in which changed replaces the endpoint of the same ID, or is appended if there is
// none. A terminated endpoint is left out.
func replaceEndpoint(list []Endpoint, changed Endpoint) []Endpoint {
	replaced := make([]Endpoint, 0, len(list)+1)
	found := false
	for _, endpoint := range list {
		if endpoint.ID == changed.ID {
			found = true
			endpoint = changed
		}
		if endpoint.Phase != Terminated {
			replaced = append(replaced, endpoint)
		}
	}
	if !found && changed.Phase != Terminated {
		replaced = append(replaced, changed)
	}
	return replaced
}

// Snapshot returns the complete endpoint list as an encoded message, for the initial list in a balancer's configuration.
func (r *Registry) Snapshot() json.RawMessage {
	return encodeMessage(message{Revision: r.revision, Complete: true, Members: r.endpoints})
}

func encodeMessage(m message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // all fields have types that can be encoded
	}
	return text
}

// removeAgent stops notifying an agent of changes.
func (r *Registry) removeAgent(agent *Agent) {
	agents := make([]*Agent, 0, len(r.agents))
	for _, other := range r.agents {
		if other != agent {
			agents = append(agents, other)
		}
	}
	r.agents = agents
}
