package node

import (
	"github.com/sirupsen/logrus"

	"salttrack/balance"
)

// How long the start waits for discovery before clients are served by the cached endpoint list.
const (
	syncTimeout              balance.Millis = 1500 // a first call to discovery that gets no answer, and a second one
	inheritedListenerTimeout balance.Millis = 500  // with a listening socket that was inherited: clients may be queued on it
	livePeerTimeout          balance.Millis = 3000 // with a live peer process, which serves meanwhile
)

// syncCheckInterval is the time between checks whether the start may go on.
const syncCheckInterval balance.Millis = 5

// Ready reports whether this process accepts new requests.
func (n *Node) Ready() bool { return n.listening && n.synced() && !n.shuttingDown }

// synced reports whether the state that requests are served by is known: the overrides that are in force, and the endpoint list, unless
// discovery has not answered in time and there is a cached one.
func (n *Node) synced() bool {
	if n.peers != nil && n.peers.blocksStart() {
		return false
	}
	if n.endpoints.Synced() {
		return true
	}
	return n.loop.Now() > n.started+n.syncTimeout() && len(n.config.CachedEndpoints.Endpoints) > 0
}

// syncTimeout is how long the start waits for discovery.
func (n *Node) syncTimeout() balance.Millis {
	switch {
	case n.peers != nil && n.peers.split:
		return livePeerTimeout
	case n.config.ListenFD >= 0:
		return inheritedListenerTimeout
	}
	return syncTimeout
}

// listenWhenSynced listens for clients once the balancer is synced. The cached endpoint list may be old, while discovery counts an
// endpoint's drain as known to this process from its start: a request must not go to an endpoint that has been drained since.
func (n *Node) listenWhenSynced() {
	switch {
	case n.listening || n.shuttingDown:
	case !n.synced():
		n.loop.After(syncCheckInterval, n.listenWhenSynced)
	default:
		n.listenWithRetry("clients", n.listenForClients, n.onListening)
	}
}

// listenForClients listens on the inherited socket if there is one, else at the configured address.
func (n *Node) listenForClients() error {
	if n.config.ListenFD >= 0 {
		return n.server.ListenOn(n.config.ListenFD)
	}
	return n.server.Listen(n.config.Listen)
}

// onListening is called once clients can connect.
func (n *Node) onListening() {
	n.listening = true
	n.log.WithFields(logrus.Fields{
		"listen": n.config.Listen,
		"tier":   n.config.Settings.Tier,
	}).Info("accepting connections")
}
