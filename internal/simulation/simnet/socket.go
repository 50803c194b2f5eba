package simnet

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

const (
	// maxWindowBytes is how many bytes may be in transit or unread in one direction.
	maxWindowBytes = 48 << 10

	// writableThreshold is below how many such bytes a socket is writable.
	writableThreshold = maxWindowBytes * 2 / 3

	// shortWriteChance is the chance that a fragmented write is short, as with a buffer that is nearly full.
	shortWriteChance = 0.3
)

// socket is a listener, or one end of a connection.
type socket struct {
	process    *Process
	fd         int // noDescriptor before it is accepted, and once it is closed
	addr       netip.AddrPort
	closed     bool
	watched    bool
	events     uint32 // that it is watched for
	generation int32
	isCandidate  bool // it is among the process's candidates

	// A listener.
	listening       bool
	backlog         []*socket
	queueingStopped bool

	// One end of a connection.
	peer           *socket
	connecting     bool
	isReset        bool
	closeWithReset bool
	err            unix.Errno // not reported yet, 0 for none
	received       []byte     // and not read
	writeTimes     []writeTime
	lastReadSentAt float64
	receivedFIN    bool
	sentFIN        bool
	writeBlocked   bool // a write was short
	inFlight       int  // bytes written and not read by the peer
	outgoing       pipe
	rng            *randstream.Stream // of the connection
	tiebreaker     uint64
	eventCount     uint64
}

// writeTime tells when received bytes were written.
type writeTime struct {
	byteCount int
	writtenAt float64
}

func newSocket(p *Process) *socket {
	s := &socket{process: p, fd: noDescriptor}
	s.outgoing.sender = s
	return s
}

// enqueue adds an event of the socket.
func (s *socket) enqueue(e event) { s.process.net.enqueue(e, s.tiebreaker, &s.eventCount) }

func (s *socket) isOpen() bool { return s.fd != noDescriptor }

// consumeError returns and clears the socket's error.
func (s *socket) consumeError() error {
	if s.err == 0 {
		return nil
	}
	err := s.err
	s.err = 0
	return err
}

// readyEvents returns the events that the socket is watched for and ready for.
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

// receive receives a segment.
func (s *socket) receive(g segment) {
	s.traceSegment(&g)
	switch {
	case g.reset:
		s.receiveReset()
		return
	case s.closed:
		if len(g.data) > 0 && !s.isReset { // data after the close is answered by a reset
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

func (s *socket) readReceived(buffer []byte) int {
	n := copy(buffer, s.received)
	s.received = s.received[n:]
	if len(s.received) == 0 {
		s.received = nil // releases the buffer
	}
	s.advanceWriteTimes(n)
	s.peer.onPeerRead(n)
	return n
}

// advanceWriteTimes finds out when the last of so many bytes was written.
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

// onPeerRead opens the window by bytes that the peer has read.
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

// sendFragments sends data in segments of random sizes.
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

func (s *socket) closeWrite() {
	if !s.sentFIN && !s.isReset && !s.connecting {
		s.sentFIN = true
		s.outgoing.send(segment{fin: true})
	}
}

// close closes this end. A connection with unread input is reset, as by a real kernel.
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

// closeListener resets the connections of the backlog.
func (s *socket) closeListener() {
	delete(s.process.net.listeners, s.addr)
	for _, accepted := range s.backlog {
		accepted.closed = true
		accepted.isReset = true
		accepted.outgoing.send(segment{reset: true})
	}
}
