// Package scenario describes a simulated run: the cluster, the load and the faults.
// A scenario is generated from a seed, or written by hand as a TOML file.
// A generated scenario can be saved to such a file, to run it again or to shrink it.
package scenario

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

	"salttrack/internal/simulation/names"
)

// Version is the version of the file format. Files of any other version are rejected.
const Version = 1

// Scenario describes one run. The TOML keys are stored in scenario files, so they can't be renamed.
type Scenario struct {
	Version     int     `toml:"version"`
	Seed        uint64  `toml:"seed"`
	Description string  `toml:"note,omitempty"`
	Seconds     float64 `toml:"seconds"` // duration of the load
	Cluster     Cluster `toml:"world"`
	Faults      []Fault `toml:"fault,omitempty"`
}

// Cluster describes the cluster and its load while no fault is active.
// All clients use the balancers of the first tier. Each upstream has its own balancer for its calls to the next tier.
type Cluster struct {
	Tiers               int      `toml:"tiers"` // number of tiers of upstreams; each tier calls the next one
	Zones               []string `toml:"zones"`
	Balancers           int      `toml:"balancers"`           // number of balancers of the first tier
	Upstreams           int      `toml:"upstreams"`           // number of upstreams in each tier
	RequestRate         float64  `toml:"rate"`                // requests per second of all clients, without retries
	NestedCalls         int      `toml:"calls"`               // calls that an upstream makes to the next tier for each request
	SameZoneMS          float64  `toml:"same_ms"`             // one-way network latency within a zone
	CrossZoneMS         float64  `toml:"cross_ms"`            // one-way network latency between two zones
	Jitter              float64  `toml:"jitter"`              // largest random increase of a latency, as a fraction of it
	MaxDescriptors      int      `toml:"descriptors"`         // limit on the open descriptors of each balancer
	MaxAttempts         int      `toml:"attempts"`            // limit on the attempts of a balancer for one request
	LoadReports         bool     `toml:"reports"`             // whether upstreams send load reports in their responses
	ClientRetries       int      `toml:"retries"`             // limit on a client's retries of one request
	ClientBackoffMS     float64  `toml:"backoff_ms"`          // mean delay before a client's retry
	Cores               int      `toml:"cores"`               // number of cores of each upstream
	MaxConcurrency      int      `toml:"slots"`               // limit on the requests that an upstream serves concurrently
	QueueLength         int      `toml:"queue"`               // limit on the requests that an upstream queues
	CrowdingThreshold   int      `toml:"crowd_at"`            // requests in flight above which an upstream's service times grow
	CrowdingFactor      float64  `toml:"crowd"`               // relative growth of service times by each further request in flight
	WarmUpStartFraction float64  `toml:"cold_from"`           // capacity of an upstream at its start, as a fraction of full capacity
	WarmUpMS            float64  `toml:"cold_ms"`             // time from the start of an upstream until it has full capacity
	ServiceTimeMS       float64  `toml:"work_ms"`             // mean service time of the cheapest class, on a core at full capacity
	DeadlineFactor      float64  `toml:"deadlines,omitempty"` // multiplies the default deadlines of all classes; 0 means 1
}

// Fault is one fault of a run.
// Its random numbers come from a stream that is named by its ID, so they don't change when other faults are removed.
type Fault struct {
	ID              string          `toml:"id"` // unique in the scenario
	Type            names.FaultType `toml:"kind"`
	StartSeconds    float64         `toml:"at"`               // time from the start of the load
	DurationSeconds float64         `toml:"for"`              // every fault ends with the load at the latest
	Target          string          `toml:"target,omitempty"` // an upstream, a balancer or two zones, depending on the type
	Size            float64         `toml:"size,omitempty"`   // strength of the effect; SizeSpec.Meaning names its unit
}

// EndSeconds returns the time at which the fault ends, in seconds from the start of the load.
func (f *Fault) EndSeconds() float64 { return f.StartSeconds + f.DurationSeconds }

// Marshal returns the scenario as the text of a TOML file.
func (s *Scenario) Marshal() []byte {
	text, err := toml.Marshal(s)
	if err != nil {
		panic(err) // all field types can be encoded
	}
	return text
}

// Clone returns a deep copy of the scenario.
func (s *Scenario) Clone() *Scenario {
	clone := *s
	clone.Cluster.Zones = slices.Clone(s.Cluster.Zones)
	clone.Faults = slices.Clone(s.Faults)
	return &clone
}
