package simnet

// HealMode tells what happens to connections across a partition when it heals.
type HealMode uint8

// The heal modes.
const (
	ResumeConnections HealMode = iota // they go on where they stopped
	ResetConnections                  // both ends are reset
)

// zonePair is two zones in alphabetical order.
type zonePair struct{ first, second string }

func newZonePair(a, b string) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

// Partition stops all segments between two zones, silently. Heal undoes it.
func (n *Network) Partition(zoneA, zoneB string) { n.partitionedZones[newZonePair(zoneA, zoneB)] = true }

// Heal ends a partition.
func (n *Network) Heal(zoneA, zoneB string, mode HealMode) {
	delete(n.partitionedZones, newZonePair(zoneA, zoneB))
	n.resumeConnections(mode)
}

// Isolate stops all segments from and to a machine, silently. Reconnect undoes it.
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

func (n *Network) processesOf(machine string) []*Process {
	var list []*Process
	for _, p := range n.processes {
		if p.machine == machine {
			list = append(list, p)
		}
	}
	return list
}

// SetLatencyFactor multiplies the latency between two zones. A factor of 1 undoes it.
func (n *Network) SetLatencyFactor(zoneA, zoneB string, factor float64) {
	n.latencyFactors[newZonePair(zoneA, zoneB)] = factor
}

// SetFragmentation sets the chance that a write is fragmented into small segments.
func (n *Network) SetFragmentation(chance float64) { n.fragmentChance = chance }

// StepClock steps the clock of all machines, forward or back. Timers are not affected.
func (n *Network) StepClock(ms float64) { n.clockOffset += ms }

// ClockOffset returns by how many ms the clock of all machines was stepped in total.
func (n *Network) ClockOffset() float64 { return n.clockOffset }

// isPartitioned reports whether no segment passes between two processes.
func (n *Network) isPartitioned(p, q *Process) bool {
	if p.machine == q.machine {
		return false
	}
	return p.isolated || q.isolated || len(n.partitionedZones) > 0 && n.partitionedZones[newZonePair(p.zone, q.zone)]
}

// resumeConnections resumes or resets the connections that were suspended and are not separated any more.
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

// removeClosed removes connections of which both ends are closed and nothing is in transit.
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
