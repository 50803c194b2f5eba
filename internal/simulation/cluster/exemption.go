package cluster

import (
	"strings"

	"salttrack/internal/simulation/names"
)

const (
	// exemptionMargin is the time in ms after the end of a kill or a partition in which it still exempts requests.
	exemptionMargin = 100

	// defaultTransitMS is the transit time between a balancer and an upstream that calls it, which run on the same machine.
	defaultTransitMS = 1

	// maxTransitDelays is the greatest number of one-way delays that data may need.
	// One is for the data, one for the notice that it was lost, and one for the data that follows.
	maxTransitDelays = 3
)

// LastResume returns the latest end of the stalls of a balancer's process that overlap the time between from and to.
// It returns 0 if there is no such stall, and always on loopback sockets.
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

// Exempt reports whether a balancer was killed or unreachable from a client at some time between from and to.
// A kill or a partition that ended at most exemptionMargin before from counts too. A process of no known balancer is exempt.
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

// MaxTransitMS returns the longest time in ms that data may be in transit between a client and a balancer.
// Between zones it assumes that all latency faults of the run are active.
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

// findBalancer returns the balancer with the given name, or with a process of the given name. It returns nil if there is none.
func (c *cluster) findBalancer(process string) *balancer {
	name, _, _ := strings.Cut(process, ".")
	for _, b := range c.balancers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// clientZone returns the zone of a client process, or "" if the process is no client.
func clientZone(client string) string {
	zone, ok := strings.CutPrefix(client, names.ClientProcessPrefix)
	if !ok {
		return ""
	}
	return zone
}
