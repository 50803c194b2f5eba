package simnet

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/simulation/randstream"
)

// systemCallDuration is the time that a system call takes on the process's clock, in ms.
const systemCallDuration = 0.002

const (
	firstDescriptor = 3  // 0 to 2 are standard input, output and error
	noDescriptor    = -1 // returned with an error, and set in sockets without a descriptor
)

// Now returns the time of the process's clock, in ms.
// During an iteration it is the end of the last system call.
// At the start of an iteration it is therefore in the past, because the process has been waiting since then.
// Between iterations it is the time of the network, or the end of the last system call if that is later.
func (p *Process) Now() float64 {
	if p.running {
		return p.clock
	}
	return max(p.clock, p.net.now)
}

// Wall returns the time of the machine's wall clock, in ms: the time of Now plus the steps of Network.StepClock.
func (p *Process) Wall() float64 { return p.Now() + p.net.clockOffset }

// advanceClock advances the process's clock by the duration of a system call.
func (p *Process) advanceClock() { p.clock = max(p.clock, p.net.now) + systemCallDuration }

// Wait stores the events of ready descriptors and returns their number.
// The order is random, because Linux does not guarantee any order.
// Wait does not block.
// Instead the next iteration of the loop is scheduled for the time when a descriptor is ready or a timer is due.
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

// Wake schedules an iteration of the loop at the current time.
func (p *Process) Wake() {
	p.woken = true
	p.scheduleIterationBy(p.net.now)
}

// notify schedules an iteration of the loop if a socket is watched and has become ready.
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

// allocateDescriptor assigns the lowest free descriptor to a socket.
// It returns unix.EMFILE if the process has reached its limit on open descriptors.
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

// socketOf returns the socket of a descriptor.
// It panics if the descriptor is not open, because its use is a bug in the program under test.
func (p *Process) socketOf(fd int) *socket {
	if fd < 0 || fd >= len(p.sockets) || p.sockets[fd] == nil {
		panic(fmt.Sprintf("%s: system call on descriptor %d, which is not open", p.name, fd))
	}
	return p.sockets[fd]
}

// Add begins to watch a descriptor for events. It returns unix.EEXIST if the descriptor is watched already.
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

// Modify replaces the events and the generation of a watched descriptor.
func (p *Process) Modify(fd int, events uint32, generation int32) error {
	p.advanceClock()
	s := p.socketOf(fd)
	s.events = events
	s.generation = generation
	p.notify(s)
	return nil
}

// Remove stops watching a descriptor, which stays open.
func (p *Process) Remove(fd int) { p.socketOf(fd).watched = false }

// Listen returns a listening socket.
// It returns unix.EADDRINUSE if the address has a listener, and unix.EMFILE at the limit on open descriptors.
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

// StopQueueing makes a listener ignore new connections. Their SYNs get no reply.
// Connections in the backlog can still be accepted.
func (p *Process) StopQueueing(fd int) {
	p.advanceClock()
	p.socketOf(fd).queueingStopped = true
}

// Connect begins a connection. It returns unix.EMFILE at the limit on open descriptors.
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

// Accept accepts the first connection of a listener's backlog.
// It returns unix.EAGAIN if the backlog is empty, and unix.EMFILE at the limit on open descriptors.
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

// SocketError returns and clears the pending error of a socket. It returns nil if there is none.
func (p *Process) SocketError(fd int) error { return p.socketOf(fd).consumeError() }

// Read reads received bytes.
// It returns unix.EAGAIN if there are none, and 0 bytes without an error at the end of the stream.
func (p *Process) Read(fd int, buffer []byte) (int, error) {
	p.advanceClock()
	return p.socketOf(fd).read(buffer)
}

// Write writes as many bytes as the window allows, and returns their number.
func (p *Process) Write(fd int, data []byte) (int, error) {
	p.advanceClock()
	return p.socketOf(fd).write(data)
}

// IdleOpen reports whether a connection is established, neither closed by the peer nor reset, and has no unread bytes.
func (p *Process) IdleOpen(fd int) bool {
	s := p.socketOf(fd)
	return !s.connecting && !s.receivedFIN && !s.isReset && len(s.received) == 0
}

// PeerClosed reports whether the peer has closed its writing side, or the connection was reset.
func (p *Process) PeerClosed(fd int) bool {
	s := p.socketOf(fd)
	return s.receivedFIN || s.isReset
}

// CanWrite reports whether the window has as much space as the event loop.Writable means. If it reports false, the event
// follows once there is space.
func (p *Process) CanWrite(fd int) bool {
	s := p.socketOf(fd)
	canWrite := s.isReset || !s.connecting && s.connectionReadyEvents()&loop.Writable != 0
	s.writeBlocked = s.writeBlocked || !canWrite
	return canWrite
}

// SetBufferBytes has no effect: the windows of simulated connections are those of the network.
func (p *Process) SetBufferBytes(int, int) {}

// ResizeSendBuffer has no effect, and returns false.
func (p *Process) ResizeSendBuffer(int, int) bool { return false }

// BufferedBytes returns 0: the simulated kernel has no memory limit.
func (p *Process) BufferedBytes(int) int { return 0 }

// CloseWrite closes the writing side of a connection.
func (p *Process) CloseWrite(fd int) { p.socketOf(fd).closeWrite() }

// Close closes a descriptor and stops watching it.
func (p *Process) Close(fd int) {
	s := p.socketOf(fd)
	p.sockets[fd] = nil
	p.lowestFree = min(p.lowestFree, fd)
	p.openDescriptors--
	s.close()
	s.fd = noDescriptor
	s.watched = false
}

// LastReadSentAt returns the time, in ms, at which the peer wrote the byte that was last read from a descriptor.
func (p *Process) LastReadSentAt(fd int) float64 { return p.socketOf(fd).lastReadSentAt }

// PeerName returns the name of the process at the other end of a connection.
func (p *Process) PeerName(fd int) string { return p.socketOf(fd).peer.process.name }
