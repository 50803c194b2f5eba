package simnet

import "net/netip"

const (
	maxBacklog           = 512
	connectRetryInterval = 1000.0 // ms, of an attempt that got no answer

	// noListenerJitter is the jitter in ms of an attempt to connect to an address without a listener.
	noListenerJitter = 0.01
)

// sendConnect sends a connection attempt.
func (n *Network) sendConnect(s *socket) {
	at := s.process.Now() + s.rng.Float64()*noListenerJitter
	if listener := n.listeners[s.addr]; listener != nil {
		at = s.process.Now() + n.latency(s.process, listener.process, s.rng)
	} else {
		at += n.hostReplyLatency(s.process)
	}
	s.enqueue(event{at: at, callback: func() { n.receiveConnect(s) }})
}

// receiveConnect handles a connection attempt that has arrived.
func (n *Network) receiveConnect(s *socket) {
	if s.closed || s.process.exited {
		return
	}
	listener := n.listeners[s.addr]
	if listener == nil {
		n.refuseConnect(s)
		return
	}
	if n.isPartitioned(s.process, listener.process) || len(listener.backlog) >= maxBacklog || listener.queueingStopped {
		n.retryConnect(s)
		return
	}
	n.establish(s, listener)
}

// refuseConnect refuses a connection attempt without a listener. An unreachable machine sends no refusal.
func (n *Network) refuseConnect(s *socket) {
	if owner := n.lastProcessListeningAt(s.addr); owner != nil && n.isPartitioned(s.process, owner) {
		n.retryConnect(s)
		return
	}
	n.tracef("%s connect to %s refused", s.process.name, s.addr)
	s.enqueue(event{at: n.now + n.hostReplyLatency(s.process), callback: s.receiveReset})
}

func (n *Network) retryConnect(s *socket) {
	s.enqueue(event{at: n.now + connectRetryInterval, callback: func() { n.receiveConnect(s) }})
}

// establish connects a socket to a new one at the listener. The connecting end is connected after one passage, the other
// one is in the backlog after two.
func (n *Network) establish(s, listener *socket) {
	accepted := newSocket(listener.process)
	accepted.peer = s
	s.peer = accepted
	accepted.rng = s.rng
	accepted.tiebreaker = s.tiebreaker ^ 1
	back := n.latency(listener.process, s.process, s.rng)
	s.enqueue(event{at: n.now + back, callback: s.handleConnected})
	accepted.enqueue(event{at: n.now + 2*back, callback: func() { listener.addToBacklog(accepted) }})
	accepted.outgoing.lastArrival = n.now + back
}

// handleConnected handles the answer to a connection attempt.
func (s *socket) handleConnected() {
	if !s.connecting || s.closed || s.isReset {
		return
	}
	s.connecting = false
	s.outgoing.lastArrival = s.process.net.now
	s.process.notify(s)
}

// addToBacklog adds a connection to a listener's backlog, or resets it if the listener was closed meanwhile.
func (s *socket) addToBacklog(accepted *socket) {
	if s.closed {
		accepted.closed = true
		accepted.outgoing.send(segment{reset: true})
		return
	}
	s.backlog = append(s.backlog, accepted)
	s.process.notify(s)
}

// lastProcessListeningAt returns the process that last listened at an address, nil if none did.
func (n *Network) lastProcessListeningAt(addr netip.AddrPort) *Process {
	for i := len(n.processes) - 1; i >= 0; i-- {
		if n.processes[i].listenAddr == addr {
			return n.processes[i]
		}
	}
	return nil
}
