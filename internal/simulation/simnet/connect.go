package simnet

import "net/netip"

const (
	maxBacklog           = 512    // maximum number of established connections that a listener holds until Accept
	connectRetryInterval = 1000.0 // ms until a SYN that got no reply is sent again

	// noListenerJitter is the maximum jitter, in ms, of a SYN to an address without a listener.
	noListenerJitter = 0.01
)

// sendConnect sends the SYN of a connecting socket.
func (n *Network) sendConnect(s *socket) {
	at := s.process.Now() + s.rng.Float64()*noListenerJitter
	if listener := n.listeners[s.addr]; listener != nil {
		at = s.process.Now() + n.latency(s.process, listener.process, s.rng)
	} else {
		at += n.hostReplyLatency(s.process)
	}
	s.enqueue(event{at: at, callback: func() { n.receiveConnect(s) }})
}

// receiveConnect handles a SYN that has arrived at its destination.
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

// refuseConnect refuses a connection to an address without a listener.
// If the last process that listened there is unreachable, no refusal is sent and the SYN is retried.
func (n *Network) refuseConnect(s *socket) {
	if owner := n.lastProcessListeningAt(s.addr); owner != nil && n.isPartitioned(s.process, owner) {
		n.retryConnect(s)
		return
	}
	n.tracef("%s connect to %s refused", s.process.name, s.addr)
	s.enqueue(event{at: n.now + n.hostReplyLatency(s.process), callback: s.receiveReset})
}

// retryConnect schedules the next SYN of a socket whose SYN got no reply.
func (n *Network) retryConnect(s *socket) {
	s.enqueue(event{at: n.now + connectRetryInterval, callback: func() { n.receiveConnect(s) }})
}

// establish creates the accepted end of a connection.
// The connecting end is established after one latency, when the SYN-ACK arrives.
// The accepted end is added to the backlog after two, when the final ACK of the handshake arrives.
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

// handleConnected handles the SYN-ACK of a connecting socket.
func (s *socket) handleConnected() {
	if !s.connecting || s.closed || s.isReset {
		return
	}
	s.connecting = false
	s.outgoing.lastArrival = s.process.net.now
	s.process.notify(s)
}

// addToBacklog adds a connection to the backlog of a listener. It resets the connection if the listener is closed.
func (s *socket) addToBacklog(accepted *socket) {
	if s.closed {
		accepted.closed = true
		accepted.outgoing.send(segment{reset: true})
		return
	}
	s.backlog = append(s.backlog, accepted)
	s.process.notify(s)
}

// lastProcessListeningAt returns the most recently spawned process whose last listener had the address.
// It returns nil if there is none.
func (n *Network) lastProcessListeningAt(addr netip.AddrPort) *Process {
	for i := len(n.processes) - 1; i >= 0; i-- {
		if n.processes[i].listenAddr == addr {
			return n.processes[i]
		}
	}
	return nil
}
