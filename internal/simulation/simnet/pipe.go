package simnet

// segment is a TCP segment. It carries data, a FIN or a reset.
type segment struct {
	sentAt    float64 // ms
	arrivesAt float64 // ms
	data      []byte
	fin       bool
	reset     bool
}

// pipe holds the segments in transit in one direction of a connection, in the order in which they were sent.
type pipe struct {
	sender      *socket
	segments    []segment
	lastArrival float64 // ms, arrival time of the last segment; later segments don't arrive earlier
	suspended   bool    // no segment is delivered, because a partition stopped one
	scheduled   bool    // the delivery of the first segment is in the event queue
}

// send sends a segment. It does nothing if no listener has received the SYN of the connection yet.
func (p *pipe) send(s segment) {
	from := p.sender
	if from.peer == nil {
		return
	}
	s.sentAt = from.process.Now()
	s.arrivesAt = max(p.lastArrival, s.sentAt+from.process.net.latency(from.process, from.peer.process, from.rng))
	p.lastArrival = s.arrivesAt
	p.segments = append(p.segments, s)
	if !p.suspended {
		p.schedule()
	}
}

// schedule schedules the delivery of the first segment, unless it is scheduled already.
func (p *pipe) schedule() {
	if len(p.segments) == 0 || p.scheduled {
		return
	}
	p.scheduled = true
	p.sender.enqueue(event{at: p.segments[0].arrivesAt, pipe: p})
}

// deliver delivers the segments that have arrived. It suspends the pipe if a partition separates the ends.
func (p *pipe) deliver() {
	p.scheduled = false
	from := p.sender
	to := from.peer
	n := from.process.net
	if p.suspended || len(p.segments) == 0 {
		return
	}
	if n.isPartitioned(from.process, to.process) {
		p.suspended = true
		return
	}
	for len(p.segments) > 0 && p.segments[0].arrivesAt <= n.now {
		s := p.segments[0]
		p.segments[0] = segment{} // releases the memory of the data
		p.segments = p.segments[1:]
		n.recordStep(deliveryStep, from.tiebreaker^uint64(len(s.data))<<32)
		to.receive(s)
	}
	p.schedule()
}

// resume ends a suspension. In the mode ResetConnections it drops the segments and resets the receiving end.
func (p *pipe) resume(mode HealMode) {
	p.suspended = false
	if mode == ResetConnections {
		p.segments = nil
		p.sender.peer.receiveReset()
		return
	}
	p.schedule()
}
