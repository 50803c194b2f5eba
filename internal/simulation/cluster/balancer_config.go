package cluster

import (
	"encoding/json"
	"fmt"
	"slices"

	"salttrack/balance"
)

// Values in the configuration files of all balancers.
const (
	settingsGranularityMS    = 5.0
	promisedCapacityFraction = 0.9 // start_capacity of the settings, as a fraction of a new upstream's real capacity
	keepAliveMS              = 15000.0
	connectTimeoutMS         = 250
	maxRetryAfterMS          = 2000
	balancerCores            = 1
	balancerMemoryMB         = 192
)

// configFile is a balancer's configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    configLimits    `json:"limits"`
	Known     json.RawMessage `json:"known"` // the endpoint list that is used until discovery has sent one
	Settings  configSettings  `json:"settings"`
}

type configLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

type configSettings struct {
	Instance      int              `json:"me"`
	Instances     int              `json:"replicas_of_me"`
	Zone          int              `json:"zone"`
	Tier          int              `json:"stage"`
	Tiers         []string         `json:"tiers"`
	Zones         []string         `json:"dcs"`
	Discovery     string           `json:"discovery"`
	GranularityMS float64          `json:"granularity_ms"`
	Invariants    configInvariants `json:"invariants"`
	Limits        configRules      `json:"limits"`
	Report        configReport     `json:"report"`
	Classes       []configClass    `json:"classes"`
}

type configInvariants struct {
	StartCapacity    float64 `json:"start_capacity"`
	WarmUpMS         float64 `json:"cold_ms"`
	OverloadMultiple float64 `json:"fall_multiple"`
	OverloadMS       float64 `json:"fall_ms"`
}

type configRules struct {
	MaxAttempts      int     `json:"max_attempts"`
	Cancel           bool    `json:"cancel"`
	Hedging          bool    `json:"second_copies"`
	RetryAfter       bool    `json:"retry_after"`
	MaxRetryAfterMS  int     `json:"max_retry_after_ms"`
	ConnectTimeoutMS int     `json:"connect_timeout_ms"`
	KeepAliveMS      float64 `json:"keepalive_ms"`
}

type configReport struct {
	How     string   `json:"how"`
	Columns []string `json:"columns"`
}

type configClass struct {
	Name               string  `json:"name"`
	LatencyObjectiveMS float64 `json:"on_time_ms"`
	DeadlineMS         float64 `json:"deadline_ms"`
	PriorityWeight     float64 `json:"worth"`
	Idempotency        string  `json:"idempotency"`
	Scope              string  `json:"group,omitempty"`
	WindowMS           float64 `json:"window_ms,omitempty"`
}

// idempotencyNames are the spellings of the idempotency in the settings.
var idempotencyNames = map[balance.Idempotency]string{
	balance.Idempotent:         "retryable",
	balance.WithIdempotencyKey: "dedup",
	balance.NonIdempotent:      "fragile",
}

// config returns the content of the balancer's configuration file, with the current settings and endpoints.
func (b *balancer) config() []byte {
	c := b.cluster
	text, err := json.Marshal(configFile{
		Name:      b.processName(),
		Listen:    b.addr.String(),
		Discovery: b.agentAddr.String(),
		Seed:      fmt.Sprintf("%x", processSeed(c.scenario.Seed, b.processName())),
		Limits: configLimits{
			Cores:    balancerCores,
			MemoryMB: balancerMemoryMB,
			Sockets:  c.scenario.Cluster.MaxDescriptors,
		},
		Known:    c.tiers[b.tier].registry.Snapshot(),
		Settings: b.settings(),
	})
	if err != nil {
		panic(err) // no field has a type that can't be encoded
	}
	return text
}

// settings returns the settings of the configuration file. They depend on settingsChanges.
func (b *balancer) settings() configSettings {
	s := &b.cluster.scenario.Cluster
	settings := configSettings{
		Instance:      b.instance,
		Instances:     b.instances,
		Zone:          slices.Index(s.Zones, b.zone),
		Tier:          b.tier,
		Zones:         s.Zones,
		Discovery:     "push",
		GranularityMS: settingsGranularityMS,
		Invariants: configInvariants{
			StartCapacity:    promisedCapacityFraction * s.WarmUpStartFraction,
			WarmUpMS:         s.WarmUpMS,
			OverloadMultiple: overloadMultiple,
			OverloadMS:       overloadDuration,
		},
		Limits: configRules{
			MaxAttempts:      max(1, s.MaxAttempts-b.settingsChanges%3),
			Cancel:           true,
			Hedging:          true,
			RetryAfter:       true,
			MaxRetryAfterMS:  maxRetryAfterMS,
			ConnectTimeoutMS: connectTimeoutMS,
			KeepAliveMS:      keepAliveMS,
		},
		Report:  configReport{How: "answers", Columns: []string{"util", "latency_ms"}},
		Classes: b.classes(),
	}
	if s.LoadReports {
		settings.Report.Columns = append(settings.Report.Columns, "inflight")
	}
	for tier := range s.Tiers {
		settings.Tiers = append(settings.Tiers, fmt.Sprintf("t%d", tier))
	}
	return settings
}

// classes returns the classes of the settings.
// After a change of the settings the list is rotated and has an additional class.
func (b *balancer) classes() []configClass {
	var list []configClass
	for _, class := range b.cluster.classes {
		entry := configClass{
			Name:               class.Name,
			LatencyObjectiveMS: class.latencyObjective,
			DeadlineMS:         class.Deadline,
			PriorityWeight:     class.priorityWeight,
			Idempotency:        idempotencyNames[class.Idempotency],
		}
		if class.Idempotency == balance.WithIdempotencyKey {
			entry.Scope = class.deduplicationScope
			entry.WindowMS = deduplicationWindow
		}
		list = append(list, entry)
	}
	if b.settingsChanges == 0 {
		return list
	}
	first := b.settingsChanges % len(list)
	return append(slices.Concat(list[first:], list[:first]), configClass{
		Name:               fmt.Sprint("extra-", b.settingsChanges),
		LatencyObjectiveMS: 500,
		DeadlineMS:         1000,
		PriorityWeight:     1,
		Idempotency:        idempotencyNames[balance.NonIdempotent],
	})
}
