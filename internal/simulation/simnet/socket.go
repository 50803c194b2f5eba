package simnet

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

const (
	// maxWindowBytes is the maximum number of bytes of one direction that are in transit or unread by the receiver.
	maxWindowBytes = 48 << 10

	// writableThreshold is the number of bytes in transit or unread up to which a socket is reported as writable.
	writableThreshold = maxWindowBytes * 2 / 3

	// shortWriteChance is the probability that a fragmented write accepts a random number of bytes, usually not all.
	// Linux also accepts only part of the data if the send buffer is nearly full.
	shortWriteChance = 0.3
)

// socket is a listener, or one end of a connection.
type socket struct {
	process     *Process
	fd          int            // noDescriptor before Accept and after Close
	addr        netip.AddrPort // address of a listener, or destination of Connect
	closed      bool
	watched     bool
	events      uint32 // events that the socket is watched for
	generation  int32  // passed to Add or Modify, and returned with each event
	isCandidate bool   // the socket is in the process's readyCandidates

	// Fields of a listener.
	listening       bool
	backlog         []*socket // established connections that are not accepted yet
	queueingStopped bool      // StopQueueing was called

	// Fields of one end of a connection.
	peer           *socket     // other end; nil before a listener has received the SYN
	connecting     bool        // Connect was called and no SYN-ACK has arrived
	isReset        bool        // a reset was sent or received
	closeWithReset bool        // close sends a reset
	err            unix.Errno  // pending error; 0 if there is none
	received       []byte      // bytes that were received and not read
	writeTimes     []writeTime // covers all bytes of received, in order
	lastReadSentAt float64     // ms, when the peer wrote the byte that was read last
	receivedFIN    bool
	sentFIN        bool
	writeBlocked   bool // the last write did not accept all of its data
	inFlight       int  // bytes that this end wrote and the peer has not read
	outgoing       pipe
	rng            *randstream.Stream // shared by both ends of the connection
	tiebreaker     uint64             // identifies this end, to order events at the same time
	eventCount     uint64             // events that this end has enqueued
}

// writeTime is the time at which the peer wrote a range of the received bytes.
type writeTime struct {
	byteCount int     // length of the range
	writtenAt float64 // ms
}

// newSocket returns a socket of a process, without a descriptor.
func newSocket(p *Process) *socket {
	s := &socket{process: p, fd: noDescriptor}
	s.outgoing.sender = s
	return s
}

// enqueue adds an event whose origin is the socket to the event queue.
func (s *socket) enqueue(e event) { s.process.net.enqueue(e, s.tiebreaker, &s.eventCount) }

// isOpen reports whether the socket has a descriptor.
func (s *socket) isOpen() bool { return s.fd != noDescriptor }

// consumeError returns and clears the pending error. It returns nil if there is none.
func (s *socket) consumeError() error {
	if s.err == 0 {
		return nil
	}
	err := s.err
	s.err = 0
	return err
}

// readyEvents returns the events that the socket is ready for, limited to those it is watched for and loop.Failed.
func (s *socket) readyEvents() uint32 {
	var events uint32
	switch {
	case s.listening:
		if len(s.backlog) > 0 {
			events = loop.Readable
		}
	case s.isReset:
		events = loop.Readable | loop.Writable | loop.HangUp | loop.Failed
	case s.connecting:
	default:
		events = s.connectionReadyEvents()
	}
	return events & (s.events | loop.Failed)
}

// connectionReadyEvents returns the events that an established connection is ready for.
func (s *socket) connectionReadyEvents() uint32 {
	var events uint32
	if len(s.received) > 0 || s.receivedFIN {
		events |= loop.Readable
	}
	if s.receivedFIN {
		events |= loop.HangUp
		if s.sentFIN {
			events |= unix.EPOLLHUP
		}
	}
	if s.sentFIN || s.inFlight <= writableThreshold {
		events |= loop.Writable
	}
	return events
}

// receive handles a segment that has arrived.
func (s *socket) receive(g segment) {
	s.traceSegment(&g)
	switch {
	case g.reset:
		s.receiveReset()
		return
	case s.closed:
		if len(g.data) > 0 && !s.isReset { // data that arrives at a closed socket causes a reset
			s.isReset = true
			s.outgoing.send(segment{reset: true})
		}
		return
	case s.isReset:
		return
	case g.fin:
		s.receivedFIN = true
	default:
		s.received = append(s.received, g.data...)
		s.writeTimes = append(s.writeTimes, writeTime{len(g.data), g.sentAt})
	}
	s.process.notify(s)
}

// traceSegment writes a delivered segment to the trace.
func (s *socket) traceSegment(g *segment) {
	n := s.process.net
	if n.trace == nil {
		return
	}
	kind := ""
	switch {
	case g.reset:
		kind = "reset"
	case g.fin:
		kind = "end"
	}
	n.tracef("%s -> %s #%x %s%.160q", s.peer.process.name, s.process.name, s.tiebreaker&0xffff, kind, g.data)
}

// receiveReset handles a reset, or the refusal of a connection, and sets the pending error as Linux does.
func (s *socket) receiveReset() {
	if s.isReset || s.closed {
		s.isReset = true
		return
	}
	s.isReset = true
	switch {
	case s.connecting:
		s.err = unix.ECONNREFUSED
	case s.receivedFIN:
		s.err = unix.EPIPE
	default:
		s.err = unix.ECONNRESET
	}
	s.process.notify(s)
}

// read reads received bytes, see Process.Read.
func (s *socket) read(buffer []byte) (int, error) {
	if len(s.received) > 0 {
		return s.readReceived(buffer), nil
	}
	if err := s.consumeError(); err != nil {
		return 0, err
	}
	if s.receivedFIN || s.isReset {
		return 0, nil
	}
	return 0, unix.EAGAIN
}

// readReceived moves received bytes to buffer and returns their number.
func (s *socket) readReceived(buffer []byte) int {
	n := copy(buffer, s.received)
	s.received = s.received[n:]
	if len(s.received) == 0 {
		s.received = nil // releases the memory of the buffer
	}
	s.advanceWriteTimes(n)
	s.peer.onPeerRead(n)
	return n
}

// advanceWriteTimes removes the write times of n bytes that were read, and sets lastReadSentAt to the last of them.
func (s *socket) advanceWriteTimes(n int) {
	for n > 0 {
		mark := &s.writeTimes[0]
		s.lastReadSentAt = mark.writtenAt
		if mark.byteCount > n {
			mark.byteCount -= n
			return
		}
		n -= mark.byteCount
		s.writeTimes = s.writeTimes[1:]
	}
}

// onPeerRead increases the window by the bytes that the peer has read.
// If writes were blocked, the process is notified after the latency of the window update.
func (s *socket) onPeerRead(n int) {
	s.inFlight -= n
	if !s.writeBlocked || s.inFlight > writableThreshold {
		return
	}
	s.writeBlocked = false
	net := s.process.net
	at := net.now + net.latency(s.process, s.peer.process, s.rng)
	s.enqueue(event{at: at, callback: func() { s.process.notify(s) }})
}

// write writes as many bytes as the window allows, see Process.Write.
// It returns 0 bytes without an error if the window is full or the connection is not established yet.
func (s *socket) write(data []byte) (int, error) {
	if s.isReset {
		if err := s.consumeError(); err != nil {
			return 0, err
		}
		return 0, unix.EPIPE
	}
	if s.sentFIN {
		return 0, unix.EPIPE
	}
	if s.connecting {
		return 0, nil
	}
	n := min(len(data), maxWindowBytes-s.inFlight)
	fragmented := n > 1 && s.rng.Chance(s.process.net.fragmentChance)
	if fragmented && s.rng.Chance(shortWriteChance) {
		n = 1 + s.rng.IntN(n)
	}
	s.writeBlocked = n < len(data)
	if n <= 0 {
		return 0, nil
	}
	s.inFlight += n
	if fragmented {
		s.sendFragments(data[:n])
	} else {
		s.sendData(data[:n])
	}
	return n, nil
}

// sendFragments sends a copy of data in segments of random sizes.
func (s *socket) sendFragments(data []byte) {
	for len(data) > 0 {
		size := 1 + s.rng.IntN(len(data))
		s.sendData(data[:size])
		data = data[size:]
	}
}

// sendData sends a copy of data in one segment.
func (s *socket) sendData(data []byte) {
	s.outgoing.send(segment{data: append([]byte(nil), data...)})
}

// closeWrite sends a FIN. It does nothing if one was sent, or if the connection is reset or not established.
func (s *socket) closeWrite() {
	if !s.sentFIN && !s.isReset && !s.connecting {
		s.sentFIN = true
		s.outgoing.send(segment{fin: true})
	}
}

// close closes this end. As in Linux, a connection is reset if it has unread input.
func (s *socket) close() {
	if s.closed {
		return
	}
	s.closed = true
	switch {
	case s.listening:
		s.closeListener()
	case s.isReset || s.peer == nil:
	case s.connecting || s.closeWithReset || len(s.received) > 0:
		s.isReset = true
		s.outgoing.send(segment{reset: true})
	default:
		s.closeWrite()
	}
}

// closeListener stops listening and resets the connections of the backlog.
func (s *socket) closeListener() {
	delete(s.process.net.listeners, s.addr)
	for _, accepted := range s.backlog {
		accepted.closed = true
		accepted.isReset = true
		accepted.outgoing.send(segment{reset: true})
	}
}
