package simnet

// HealMode selects what happens to the affected connections when a partition heals.
type HealMode uint8

// The heal modes.
const (
	ResumeConnections HealMode = iota // segments that were held back are delivered
	ResetConnections                  // segments that were held back are dropped and both ends are reset
)

// zonePair is a pair of zones, in alphabetical order.
type zonePair struct{ first, second string }

// newZonePair returns the pair of two zones, given in any order.
func newZonePair(a, b string) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

// Partition stops the delivery of all segments between two zones. No process is notified. Heal undoes it.
func (n *Network) Partition(zoneA, zoneB string) {
	n.partitionedZones[newZonePair(zoneA, zoneB)] = true
}

// Heal ends the partition of two zones.
func (n *Network) Heal(zoneA, zoneB string, mode HealMode) {
	delete(n.partitionedZones, newZonePair(zoneA, zoneB))
	n.resumeConnections(mode)
}

// Isolate stops the delivery of all segments from and to a machine. No process is notified. Reconnect undoes it.
func (n *Network) Isolate(machine string) {
	for _, p := range n.processesOf(machine) {
		p.isolated = true
	}
}

// Reconnect ends the isolation of a machine.
func (n *Network) Reconnect(machine string, mode HealMode) {
	for _, p := range n.processesOf(machine) {
		p.isolated = false
	}
	n.resumeConnections(mode)
}

// processesOf returns the processes of a machine, including those that have exited.
func (n *Network) processesOf(machine string) []*Process {
	var list []*Process
	for _, p := range n.processes {
		if p.machine == machine {
			list = append(list, p)
		}
	}
	return list
}

// SetLatencyFactor sets the factor by which the latency between machines of two zones is multiplied.
// A factor of 1 restores the latency of the path.
func (n *Network) SetLatencyFactor(zoneA, zoneB string, factor float64) {
	n.latencyFactors[newZonePair(zoneA, zoneB)] = factor
}

// SetFragmentation sets the probability that a write is fragmented into segments of random sizes.
func (n *Network) SetFragmentation(chance float64) { n.fragmentChance = chance }

// StepClock sets the wall clock of all machines forward by ms, or back if ms is negative. Timers are not affected.
func (n *Network) StepClock(ms float64) { n.clockOffset += ms }

// ClockOffset returns the sum of all steps of the wall clock, in ms.
func (n *Network) ClockOffset() float64 { return n.clockOffset }

// isPartitioned reports whether a partition of zones or the isolation of a machine stops segments between two processes.
func (n *Network) isPartitioned(p, q *Process) bool {
	if p.machine == q.machine {
		return false
	}
	return p.isolated || q.isolated || len(n.partitionedZones) > 0 && n.partitionedZones[newZonePair(p.zone, q.zone)]
}

// resumeConnections resumes or resets the suspended connections whose ends can reach each other again.
func (n *Network) resumeConnections(mode HealMode) {
	n.removeClosed()
	for _, s := range n.initiators {
		peer := s.peer
		if peer == nil || !s.outgoing.suspended && !peer.outgoing.suspended || n.isPartitioned(s.process, peer.process) {
			continue
		}
		s.outgoing.resume(mode)
		peer.outgoing.resume(mode)
	}
}

// removeClosed removes the initiators whose connection is closed at both ends and which have no segment in transit.
func (n *Network) removeClosed() {
	open := n.initiators[:0]
	for _, s := range n.initiators {
		closed := s.closed && (s.peer == nil || s.peer.closed) && len(s.outgoing.segments) == 0
		if !closed {
			open = append(open, s)
		}
	}
	clear(n.initiators[len(open):])
	n.initiators = open
}
