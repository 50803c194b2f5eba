package simnet

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

// systemCallDuration is the time that a system call takes, in ms.
const systemCallDuration = 0.002

const (
	firstDescriptor = 3
	noDescriptor    = -1
)

// Now returns the process's clock: that of the network, or ahead of it while the process works.
func (p *Process) Now() float64 {
	if p.running {
		return p.clock
	}
	return max(p.clock, p.net.now)
}

// Wall returns the clock of the machine, which may have been stepped.
func (p *Process) Wall() float64 { return p.Now() + p.net.clockOffset }

// advanceClock advances the process's clock by the duration of a system call.
func (p *Process) advanceClock() { p.clock = max(p.clock, p.net.now) + systemCallDuration }

// Wait returns ready descriptors in random order, as a kernel promises none. It does not block: the next iteration is
// planned when something is ready.
func (p *Process) Wait(into []loop.Event, _ int) (int, error) {
	p.advanceClock()
	list := p.readyCandidates
	if len(list) > 1 {
		p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	count := 0
	ready := list[:0]
	for _, s := range list {
		events := uint32(0)
		if s.isOpen() && s.watched {
			events = s.readyEvents()
		}
		if events == 0 {
			s.isCandidate = false
			continue
		}
		ready = append(ready, s)
		if count < len(into) {
			into[count] = loop.Event{Events: events, Fd: int32(s.fd), Pad: s.generation}
			count++
		}
	}
	clear(list[len(ready):])
	p.readyCandidates = ready
	return count, nil
}

// Wake plans an iteration at once.
func (p *Process) Wake() {
	p.woken = true
	p.scheduleIterationBy(p.net.now)
}

// notify plans an iteration if a socket has become ready.
func (p *Process) notify(s *socket) {
	if !s.isOpen() || !s.watched || p.exited {
		return
	}
	if !s.isCandidate {
		s.isCandidate = true
		p.readyCandidates = append(p.readyCandidates, s)
	}
	if s.readyEvents() != 0 {
		p.scheduleIterationBy(p.net.now)
	}
}

// allocateDescriptor gives a socket the lowest free descriptor.
func (p *Process) allocateDescriptor(s *socket) (int, error) {
	if p.openDescriptors >= p.maxDescriptors {
		return noDescriptor, unix.EMFILE
	}
	fd := max(firstDescriptor, p.lowestFree)
	for fd < len(p.sockets) && p.sockets[fd] != nil {
		fd++
	}
	for fd >= len(p.sockets) {
		p.sockets = append(p.sockets, nil)
	}
	p.sockets[fd] = s
	p.lowestFree = fd + 1
	p.openDescriptors++
	s.fd = fd
	return fd, nil
}

// socketOf returns the socket of a descriptor. The use of a closed one is a defect of the program under test.
func (p *Process) socketOf(fd int) *socket {
	if fd < 0 || fd >= len(p.sockets) || p.sockets[fd] == nil {
		panic(p.name + ": use of a descriptor that is not open")
	}
	return p.sockets[fd]
}

// Add watches a descriptor.
func (p *Process) Add(fd int, events uint32, generation int32) error {
	s := p.socketOf(fd)
	if s.watched {
		return unix.EEXIST
	}
	s.watched = true
	s.events = events
	s.generation = generation
	p.notify(s)
	return nil
}

// Modify changes the events that a descriptor is watched for.
func (p *Process) Modify(fd int, events uint32, generation int32) error {
	p.advanceClock()
	s := p.socketOf(fd)
	s.events = events
	s.generation = generation
	p.notify(s)
	return nil
}

// Remove ends the watch of a descriptor, which stays open.
func (p *Process) Remove(fd int) { p.socketOf(fd).watched = false }

// Listen opens a listener.
func (p *Process) Listen(addr netip.AddrPort) (int, error) {
	if p.net.listeners[addr] != nil {
		return noDescriptor, unix.EADDRINUSE
	}
	s := &socket{process: p, listening: true, addr: addr}
	fd, err := p.allocateDescriptor(s)
	if err == nil {
		p.net.listeners[addr] = s
		p.listenAddr = addr
	}
	return fd, err
}

// StopQueueing stops new connections at a listener. They get no answer; those in the backlog can still be accepted.
func (p *Process) StopQueueing(fd int) {
	p.advanceClock()
	p.socketOf(fd).queueingStopped = true
}

// Connect begins a connection.
func (p *Process) Connect(addr netip.AddrPort) (int, error) {
	p.advanceClock()
	s := newSocket(p)
	p.connectCount++
	rng := randstream.NewNumbered(p.id, p.connectCount)
	s.rng = &rng
	s.tiebreaker = randstream.CombineHash(p.id, p.connectCount)
	s.connecting = true
	s.addr = addr
	fd, err := p.allocateDescriptor(s)
	if err != nil {
		return noDescriptor, err
	}
	p.net.initiators = append(p.net.initiators, s)
	p.net.sendConnect(s)
	return fd, nil
}

// Accept accepts a connection of the backlog.
func (p *Process) Accept(fd int) (int, error) {
	p.advanceClock()
	listener := p.socketOf(fd)
	if len(listener.backlog) == 0 {
		return noDescriptor, unix.EAGAIN
	}
	accepted, err := p.allocateDescriptor(listener.backlog[0])
	if err != nil {
		return noDescriptor, err
	}
	listener.backlog = listener.backlog[1:]
	return accepted, nil
}

// SocketError returns and clears the error of a socket.
func (p *Process) SocketError(fd int) error { return p.socketOf(fd).consumeError() }

// Read reads received bytes.
func (p *Process) Read(fd int, buffer []byte) (int, error) {
	p.advanceClock()
	return p.socketOf(fd).read(buffer)
}

// Write writes what the window allows.
func (p *Process) Write(fd int, data []byte) (int, error) {
	p.advanceClock()
	return p.socketOf(fd).write(data)
}

// IdleOpen reports whether a connection is open and nothing was received on it.
func (p *Process) IdleOpen(fd int) bool {
	s := p.socketOf(fd)
	return !s.connecting && !s.receivedFIN && !s.isReset && len(s.received) == 0
}

// PeerClosed reports whether the peer has closed its sending side, or the connection is broken.
func (p *Process) PeerClosed(fd int) bool {
	s := p.socketOf(fd)
	return s.receivedFIN || s.isReset
}

// CloseWrite closes the sending side of a connection.
func (p *Process) CloseWrite(fd int) { p.socketOf(fd).closeWrite() }

// Close closes a descriptor.
func (p *Process) Close(fd int) {
	s := p.socketOf(fd)
	p.sockets[fd] = nil
	p.lowestFree = min(p.lowestFree, fd)
	p.openDescriptors--
	s.close()
	s.fd = noDescriptor
	s.watched = false
}

// LastReadSentAt returns when the peer wrote the byte that was read last from a descriptor.
func (p *Process) LastReadSentAt(fd int) float64 { return p.socketOf(fd).lastReadSentAt }

// PeerName returns the process at the other end of a connection.
func (p *Process) PeerName(fd int) string { return p.socketOf(fd).peer.process.name }
