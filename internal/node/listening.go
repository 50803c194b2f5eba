package node

import "salttrack/balance"

const (
	listenRetryInterval balance.Millis = 25
	listenTimeout       balance.Millis = 20000 // after this time without listening for clients, the balancer stops with an error
)

// listenRetry opens one listening socket, and retries until it succeeds.
// Listening fails while the previous process still uses the address, and while the system is short of descriptors or memory.
type listenRetry struct {
	node     *Node
	listener string         // name of the socket in the log
	started  balance.Millis // time of the first attempt
	logged   bool           // whether a failure has been logged; only the first failure is logged
	listen   func() error
	done     func()
}

// listenWithRetry opens a listening socket and calls done once the socket is open.
// If the first attempt fails, it returns and retries by timer.
func (n *Node) listenWithRetry(listener string, listen func() error, done func()) {
	r := &listenRetry{node: n, listener: listener, started: n.loop.Now(), listen: listen, done: done}
	r.listenOnce()
}

// listenOnce makes one attempt to listen, and sets the timer of the next one if it fails. A shutdown ends the attempts.
// After listenTimeout a process that does not listen for clients stops with an error.
// A process that only lacks its admin server continues to retry.
func (r *listenRetry) listenOnce() {
	n := r.node
	if n.shuttingDown {
		return
	}
	err := r.listen()
	if err == nil {
		r.done()
		return
	}
	if !r.logged {
		r.logged = true
		n.log.WithError(err).WithField("listener", r.listener).Warn("listening failed, retrying")
	}
	if !n.listening && n.loop.Now()-r.started > listenTimeout {
		n.Err = err
		n.loop.Stop()
		return
	}
	n.loop.After(listenRetryInterval, r.listenOnce)
}
