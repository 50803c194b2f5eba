package node

import (
	"github.com/sirupsen/logrus"

	"salttrack/balance"
)

// Times in ms that the start waits for discovery. After that, the balancer serves clients with the cached endpoint list.
const (
	syncTimeout              balance.Millis = 1500 // default; enough for two requests to discovery if the first one is not answered
	inheritedListenerTimeout balance.Millis = 500  // with an inherited listening socket, on which clients may already be queued
	livePeerTimeout          balance.Millis = 3000 // with a live peer process, which serves the clients meanwhile
)

// syncCheckInterval is the time between two checks of whether the balancer is synced.
const syncCheckInterval balance.Millis = 5

// Ready reports whether the balancer accepts new requests.
func (n *Node) Ready() bool { return n.listening && n.synced() && !n.shuttingDown }

// synced reports whether the state that serving requires is known: the overrides in force, and the endpoint list.
// If discovery does not answer in time, a cached endpoint list that is not empty suffices.
func (n *Node) synced() bool {
	if n.peers != nil && n.peers.blocksStart() {
		return false
	}
	if n.endpoints.Synced() {
		return true
	}
	return n.loop.Now() > n.started+n.syncTimeout() && len(n.config.CachedEndpoints.Endpoints) > 0
}

// syncTimeout returns the time that the start waits for discovery.
func (n *Node) syncTimeout() balance.Millis {
	switch {
	case n.peers != nil && len(n.peers.live) > 0:
		return livePeerTimeout
	case n.config.ListenFD >= 0:
		return inheritedListenerTimeout
	}
	return syncTimeout
}

// listenWhenSynced listens for clients once the balancer is synced.
// The discovery service assumes that a process knows from its start which endpoints are draining.
// Since the cached endpoint list may be outdated, requests could go to draining endpoints without this wait.
func (n *Node) listenWhenSynced() {
	switch {
	case n.listening || n.shuttingDown:
	case !n.synced():
		n.loop.After(syncCheckInterval, n.listenWhenSynced)
	default:
		n.listenWithRetry("clients", n.listenForClients, n.onListening)
	}
}

// listenForClients listens on the inherited socket if there is one, and otherwise at the configured address.
func (n *Node) listenForClients() error {
	if n.config.ListenFD >= 0 {
		return n.server.ListenOn(n.config.ListenFD)
	}
	return n.server.Listen(n.config.Listen)
}

// onListening records that the balancer listens for clients.
func (n *Node) onListening() {
	n.listening = true
	n.finishMemoryStart()
	n.log.WithFields(logrus.Fields{
		"listen": n.config.Listen,
		"tier":   n.config.Settings.Tier,
	}).Info("accepting connections")
}
