package loop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// Readiness events of a descriptor, as bits of an event mask.
const (
	Readable = unix.EPOLLIN                  // received bytes, the end of the stream or a new connection are pending
	Writable = unix.EPOLLOUT                 // the kernel's send buffer has space, or a connect has completed
	HangUp   = unix.EPOLLRDHUP               // the peer has closed the connection or its writing side
	Failed   = unix.EPOLLERR | unix.EPOLLHUP // the socket has an error or both directions are closed; always reported
)

// Event reports that a descriptor is ready. Fd is the descriptor, Pad is the generation that was passed to Kernel.Add
// or Kernel.Modify.
type Event = unix.EpollEvent

// Sockets is the interface for socket calls. No call blocks. Errors are those of package unix. The caller owns the
// descriptors that the calls return.
type Sockets interface {
	// Listen returns a listening socket.
	Listen(netip.AddrPort) (int, error)
	// StopQueueing makes a listening socket ignore new connection requests, unless another process also has the
	// socket. Established connections can still be accepted. If the kernel does not support it, it has no effect.
	StopQueueing(fd int)
	// Connect starts a non-blocking connect. Once the socket is writable, the connection is established or has
	// failed; SocketError tells which.
	Connect(netip.AddrPort) (int, error)
	// Accept accepts an established connection. It returns unix.EAGAIN if there is none.
	Accept(fd int) (int, error)
	// SocketError returns the pending error of a socket, or nil if there is none.
	SocketError(fd int) error
	// Read reads received bytes. Zero bytes without an error mean the end of the stream. Read returns unix.EAGAIN if
	// there are no bytes to read.
	Read(fd int, p []byte) (int, error)
	// Write writes as many bytes as fit into the kernel's send buffer. Zero bytes without an error mean that the
	// buffer is full.
	Write(fd int, p []byte) (int, error)
	// IdleOpen reports whether a connection is open and has no unread bytes.
	IdleOpen(fd int) bool
	// PeerClosed reports whether the peer has closed its writing side or the connection is broken. It also detects
	// this while there are unread bytes.
	PeerClosed(fd int) bool
	// CanWrite reports whether the kernel's send buffer has as much space as the event Writable means. If it reports
	// false, the event follows once there is space.
	CanWrite(fd int) bool
	// CloseWrite closes the writing side of a connection.
	CloseWrite(fd int)
	// SetBufferBytes sets the sizes of the kernel's buffers of later connections, in bytes: of both buffers of an accepted
	// one and the send buffer of an outgoing one, and of the receive buffer of an outgoing one.
	SetBufferBytes(base, outgoingReceive int)
	// ResizeSendBuffer changes the size of the kernel's send buffer of a connection, in bytes. It reports whether the kernel
	// has a buffer whose size can be changed.
	ResizeSendBuffer(fd, bytes int) bool
	// BufferedBytes returns the memory of the kernel's buffers of a connection in bytes, 0 if the kernel does not tell.
	BufferedBytes(fd int) int
}

// Kernel is the interface of a loop to the operating system or to a simulation of it.
type Kernel interface {
	Sockets
	// Now returns the time of a monotonic clock, in milliseconds. The clock starts at the Unix time and is not
	// affected by later steps of the wall clock.
	Now() float64
	// Wall returns the time of the wall clock, in milliseconds of Unix time. The wall clock may be stepped forward
	// and back.
	Wall() float64
	// Add starts watching a descriptor for events. They are reported with the generation.
	Add(fd int, events uint32, generation int32) error
	// Modify replaces the events and the generation of a watched descriptor.
	Modify(fd int, events uint32, generation int32) error
	// Remove stops watching a descriptor, which stays open.
	Remove(fd int)
	// Close closes a descriptor and stops watching it.
	Close(fd int)
	// Wait blocks until descriptors are ready, Wake is called or a timeout in milliseconds has passed. A timeout of -1
	// means no timeout. Wait returns the number of events that it has stored.
	Wait(events []Event, timeout int) (int, error)
	// Wake makes the current or the next Wait return at once. It may be called from any goroutine.
	Wake()
}
