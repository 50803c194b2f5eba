package cluster

import (
	"strings"

	"salttrack/internal/simulation/names"
)

const (
	// exemptionMargin is how long before a span, in ms, a kill or a partition still has an effect.
	exemptionMargin = 100

	// defaultTransitMS is the transit time to a balancer that a client process does not use directly.
	defaultTransitMS = 1

	// maxTransitDelays is how many one-way passages data may need: for the data, its loss, and what follows.
	maxTransitDelays = 3
)

// LastResume returns when a balancer's process last got its CPU back that it had not at some time of a span.
func (c *cluster) LastResume(process string, from, to float64) float64 {
	virtual, ok := c.environment.(*virtualEnvironment)
	if !ok {
		return 0
	}
	if p := virtual.processes[process]; p != nil {
		return p.LastResume(from, to)
	}
	return 0
}

// Exempt reports whether a balancer was killed or unreachable for a client in a span.
func (c *cluster) Exempt(process, client string, from, to float64) bool {
	b := c.findBalancer(process)
	if b == nil {
		return true
	}
	from -= exemptionMargin
	for _, killed := range b.killedSpans {
		if killed.From <= to && (killed.To == 0 || killed.To >= from) {
			return true
		}
	}
	for _, fault := range c.faults {
		if fault.startsAt <= to && fault.endsAt >= from && fault.disconnects(clientZone(client), b) {
			return true
		}
	}
	return false
}

// MaxTransitMS returns how long data may be in transit between a client and a balancer.
func (c *cluster) MaxTransitMS(process, client string) float64 {
	b := c.findBalancer(process)
	zone := clientZone(client)
	if b == nil || zone == "" {
		return defaultTransitMS
	}
	s := &c.scenario.Cluster
	latency := s.SameZoneMS
	if zone != b.zone {
		latency = s.CrossZoneMS
		for _, fault := range c.faults {
			if fault.Type == names.HighLatency {
				latency *= fault.Size
			}
		}
	}
	return maxTransitDelays * latency * (1 + s.Jitter)
}

// findBalancer returns the balancer of a process, or of its own name, nil if there is none.
func (c *cluster) findBalancer(process string) *balancer {
	name, _, _ := strings.Cut(process, ".")
	for _, b := range c.balancers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// clientZone returns the zone of a client process, "" for another process.
func clientZone(client string) string {
	zone, ok := strings.CutPrefix(client, names.ClientProcessPrefix)
	if !ok {
		return ""
	}
	return zone
}
