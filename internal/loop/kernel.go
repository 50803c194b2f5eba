package loop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// The events of a descriptor.
const (
	Readable = unix.EPOLLIN                  // there is something to read
	Writable = unix.EPOLLOUT                 // something can be written
	HangUp   = unix.EPOLLRDHUP               // the peer has closed the connection or its writing side
	Failed   = unix.EPOLLERR | unix.EPOLLHUP // the socket has an error or both sides are closed; always reported
)

// Event says that a descriptor is ready: Fd is the descriptor, Pad the generation under which it was added.
type Event = unix.EpollEvent

// Sockets are the calls on sockets. None blocks. Errors are those of package unix. The caller owns the descriptors that
// they return.
type Sockets interface {
	// Listen returns a listening socket.
	Listen(netip.AddrPort) (int, error)
	// StopQueueing stops the establishment of new connections at a listening socket that no other process has.
	// Established ones can still be accepted. Without support of the kernel it has no effect.
	StopQueueing(fd int)
	// Connect begins a connection. When the socket is writable it is established or has failed, see SocketError.
	Connect(netip.AddrPort) (int, error)
	// Accept accepts an established connection. unix.EAGAIN says that there is none.
	Accept(fd int) (int, error)
	// SocketError returns the pending error of a socket, nil if there is none.
	SocketError(fd int) error
	// Read reads what was received. Zero bytes without an error are the end of the stream. unix.EAGAIN says that
	// nothing was received.
	Read(fd int, p []byte) (int, error)
	// Write writes what fits into the kernel's buffer. Zero bytes without an error say that it is full.
	Write(fd int, p []byte) (int, error)
	// IdleOpen reports whether a connection is open and nothing was received that is not read.
	IdleOpen(fd int) bool
	// PeerClosed reports whether the peer has closed its writing side or the connection is broken, even if there is
	// something to read.
	PeerClosed(fd int) bool
	// CloseWrite closes the writing side of a connection.
	CloseWrite(fd int)
}

// Kernel is what a loop runs on: the operating system, or a simulation of it.
type Kernel interface {
	Sockets
	// Now returns the time of a clock that never goes back, in milliseconds. It begins with Unix time and is not
	// affected by later changes of the machine's clock.
	Now() float64
	// Wall returns the time of the machine's clock, in milliseconds of Unix time. It may be set forward and back.
	Wall() float64
	// Add begins to watch a descriptor for events. They are reported with the generation.
	Add(fd int, events uint32, generation int32) error
	// Modify replaces the events and the generation of a watched descriptor.
	Modify(fd int, events uint32, generation int32) error
	// Remove stops watching a descriptor, which stays open.
	Remove(fd int)
	// Close closes a descriptor and stops watching it.
	Close(fd int)
	// Wait waits until descriptors are ready, Wake is called or a timeout in milliseconds has passed; -1 is none. It
	// returns how many events it has stored.
	Wait(events []Event, timeout int) (int, error)
	// Wake ends a Wait. It may be called from any goroutine.
	Wake()
}
