package simnet

// segment is what is sent at once: data, or the end of the stream, or a reset.
type segment struct {
	sentAt    float64
	arrivesAt float64
	data      []byte
	fin       bool
	reset     bool
}

// pipe is what is in transit in one direction of a connection, in order.
type pipe struct {
	sender      *socket
	segments    []segment
	lastArrival float64 // of the segment sent last
	suspended   bool    // by a partition
	scheduled   bool    // the delivery of the first segment is in the event queue
}

// send adds a segment. A connection without a peer sends nothing.
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

// schedule schedules the delivery of the first segment.
func (p *pipe) schedule() {
	if len(p.segments) == 0 || p.scheduled {
		return
	}
	p.scheduled = true
	p.sender.enqueue(event{at: p.segments[0].arrivesAt, pipe: p})
}

// deliver delivers the segments that have arrived, or suspends the pipe if its ends are separated.
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
		p.segments[0] = segment{} // releases its data
		p.segments = p.segments[1:]
		n.recordStep(deliveryStep, from.tiebreaker^uint64(len(s.data))<<32)
		to.receive(s)
	}
	p.schedule()
}

// resume ends a suspension.
func (p *pipe) resume(mode HealMode) {
	p.suspended = false
	if mode == ResetConnections {
		p.segments = nil
		p.sender.peer.receiveReset()
		return
	}
	p.schedule()
}
