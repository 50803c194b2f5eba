package node

import (
	"github.com/sirupsen/logrus"

	"salttrack/balance"
	"salttrack/internal/driver"
	"salttrack/internal/shutdown"
)

// rejectedInShutdownCounter is the counter of requests that the downstream server rejects since they arrive too late in a shutdown.
const rejectedInShutdownCounter = "client_shutdown_rejected"

// Shutdown starts a graceful shutdown. The schedule counts from the time of the signal, signalledAt.
// Shutdown calls done when no request is in flight any more, at the latest at the end of the schedule. Further calls have no effect.
func (n *Node) Shutdown(signalledAt balance.Millis, done func()) {
	if n.shuttingDown {
		return
	}
	n.shuttingDown = true
	schedule := shutdown.New(signalledAt, downstreamSettings(&n.settings).LongestDeadline)
	hasSuccessor := n.peers != nil && n.peers.hasSuccessor()
	n.logShutdownStart(schedule, hasSuccessor)
	if n.peers != nil {
		n.peers.publish()
	}
	before := n.driver.Counts()
	shutdownServer := n.server.Shutdown
	if hasSuccessor {
		shutdownServer = n.server.ShutdownWithSuccessor
	}
	shutdownServer(schedule, func() {
		n.logShutdownEnd(schedule, before)
		done()
	})
}

// logShutdownStart logs the schedule of a shutdown.
func (n *Node) logShutdownStart(s shutdown.Schedule, hasSuccessor bool) {
	now := n.loop.Now()
	n.log.WithFields(logrus.Fields{
		"has_successor":     hasSuccessor,
		"signal_age_ms":     int(now - s.SignalledAt),
		"stop_accept_in_ms": int(s.StopAccept - now),
		"respond_by_in_ms":  int(s.RespondBy - now),
		"exit_by_in_ms":     int(s.ExitBy - now),
		"in_flight":         n.driver.InProgress(),
	}).Info("shutdown started")
}

// logShutdownPhase logs the start of a phase of the shutdown, with the number of open client connections.
func (n *Node) logShutdownPhase(phase shutdown.Phase, connections int) {
	n.log.WithFields(logrus.Fields{
		"phase":       phase.String(),
		"in_flight":   n.driver.InProgress(),
		"connections": connections,
	}).Info("shutdown phase started")
}

// logShutdownEnd logs how many requests ended with each outcome since the start of the shutdown.
func (n *Node) logShutdownEnd(s shutdown.Schedule, before driver.RequestCounts) {
	now := n.loop.Now()
	after := n.driver.Counts()
	rejectedTooLate, _ := n.Counters.Value(rejectedInShutdownCounter)
	n.log.WithFields(logrus.Fields{
		"duration_ms":         int(now - s.SignalledAt),
		"kill_in_ms":          int(s.EarliestKill - now),
		"in_flight_at_signal": before.InProgress(),
		"accepted":            after.Received - before.Received,
		"served":              after.Served - before.Served,
		"rejected":            after.Rejected - before.Rejected,
		"failed":              after.Failed - before.Failed,
		"abandoned":           after.Abandoned - before.Abandoned,
		"rejected_too_late":   rejectedTooLate,
		"in_flight":           after.InProgress(),
		"connections":         n.descriptors.InUse(),
	}).Info("shutdown completed")
}
