// Package epoll implements loop.Kernel by the operating system: epoll, clocks and non-blocking sockets.
package epoll

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
)

// wakeGeneration marks events of the descriptor that ends a wait. A loop uses no negative generation.
const wakeGeneration = -1

const microsecondsPerMillisecond = 1000

// Kernel implements loop.Kernel. It owns its epoll descriptor, the descriptor that ends a wait and the inherited
// listener, if there is one. All other descriptors are owned by its callers. All methods except Now and Wake are called
// on the loop.
type Kernel struct {
	epollFD              int
	wakeFD               int              // an eventfd that ends a wait
	inheritedListener    int              // 0 if there is none
	listeners            map[int]struct{} // descriptors of the sockets that Listen has opened, and of the inherited listener
	bufferBytes          int              // size of both buffers of an accepted connection, and of the send buffer of an outgoing one
	outgoingReceiveBytes int              // size of the receive buffer of an outgoing connection
	start                time.Time
	startUnix            float64 // the Unix time of start, in ms
}

// New returns a kernel. The caller has to release it. Its clock starts at the Unix time and then follows the monotonic
// clock. So it never goes back, and it can be compared with times of other machines without conversion.
func New() (*Kernel, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	now := time.Now()
	k := &Kernel{epollFD: epollFD, wakeFD: wakeFD, start: now, startUnix: unixMilliseconds(now)}
	k.listeners = map[int]struct{}{}
	k.bufferBytes = DefaultBufferBytes
	k.outgoingReceiveBytes = DefaultBufferBytes
	if err := k.Add(wakeFD, loop.Readable, wakeGeneration); err != nil {
		k.Release()
		return nil, err
	}
	return k, nil
}

func unixMilliseconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / microsecondsPerMillisecond
}

// Now returns the time of the monotonic clock, in milliseconds. The clock starts at the Unix time. Now may be called from
// any goroutine.
func (k *Kernel) Now() float64 {
	return k.startUnix + float64(time.Since(k.start).Microseconds())/microsecondsPerMillisecond
}

// Wall returns the time of the wall clock, in milliseconds of Unix time.
func (k *Kernel) Wall() float64 { return unixMilliseconds(time.Now()) }

// Add starts watching a descriptor for events. They are reported with the generation.
func (k *Kernel) Add(fd int, events uint32, generation int32) error {
	return k.control(unix.EPOLL_CTL_ADD, fd, events, generation)
}

// Modify replaces the events and the generation of a watched descriptor.
func (k *Kernel) Modify(fd int, events uint32, generation int32) error {
	return k.control(unix.EPOLL_CTL_MOD, fd, events, generation)
}

func (k *Kernel) control(operation, fd int, events uint32, generation int32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: generation}
	if err := unix.EpollCtl(k.epollFD, operation, fd, &event); err != nil {
		return fmt.Errorf("epoll_ctl for descriptor %d: %w", fd, err)
	}
	return nil
}

// Remove stops watching a descriptor, which stays open.
func (k *Kernel) Remove(fd int) { _ = unix.EpollCtl(k.epollFD, unix.EPOLL_CTL_DEL, fd, nil) }

// Wait blocks until descriptors are ready, Wake is called or a timeout in milliseconds has passed. A timeout of -1
// means no timeout. Wait returns the number of events that it has stored. A wait that was interrupted, as by SIGCONT after
// SIGSTOP, still returns the events that have occurred: the loop has to handle them before the timers that became due.
func (k *Kernel) Wait(events []loop.Event, timeout int) (int, error) {
	n, err := unix.EpollWait(k.epollFD, events, timeout)
	if err == unix.EINTR {
		n, err = unix.EpollWait(k.epollFD, events, 0)
	}
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("epoll_wait: %w", err)
	}
	for i := range n {
		if events[i].Pad == wakeGeneration {
			var counter [8]byte
			unix.Read(k.wakeFD, counter[:])
			events[i] = events[n-1]
			return n - 1, nil
		}
	}
	return n, nil
}

// Wake makes the current or the next Wait return at once. It may be called from any goroutine.
func (k *Kernel) Wake() {
	one := [8]byte{1}
	unix.Write(k.wakeFD, one[:]) // fails if the counter of the eventfd is full, which ends the wait as well
}

// Close closes a descriptor and stops watching it. Epoll stops watching a socket by itself only when the last
// descriptor of the socket is closed. As other processes may have descriptors of an inherited listener, Close removes
// the listener from epoll explicitly.
func (k *Kernel) Close(fd int) {
	if fd == k.inheritedListener {
		k.Remove(fd)
		k.inheritedListener = 0
	}
	delete(k.listeners, fd)
	unix.Close(fd)
}

// Release closes the epoll descriptor and the descriptor that ends a wait.
func (k *Kernel) Release() {
	unix.Close(k.epollFD)
	unix.Close(k.wakeFD)
}

// Listen returns a listening socket that is bound to an address.
func (k *Kernel) Listen(address netip.AddrPort) (int, error) {
	fd, err := listenWith(address, k.bufferBytes)
	if err == nil {
		k.listeners[fd] = struct{}{}
	}
	return fd, err
}

// SetBufferBytes sets the sizes of the kernel's buffers of later connections, in bytes: of both buffers of an accepted one
// and the send buffer of an outgoing one, and of the receive buffer of an outgoing one.
func (k *Kernel) SetBufferBytes(base, outgoingReceive int) {
	k.outgoingReceiveBytes = outgoingReceive
	if base == k.bufferBytes {
		return
	}
	k.bufferBytes = base
	for fd := range k.listeners {
		_ = setBufferBytes(fd, base, base) // connections work with buffers of another size
	}
}

// StopQueueing makes a listening socket ignore new connection requests. It has no effect on an inherited listener, on
// which other processes may accept connections.
func (k *Kernel) StopQueueing(fd int) {
	if fd != k.inheritedListener {
		StopQueueing(fd)
	}
}

// Connect starts a non-blocking connect.
func (k *Kernel) Connect(address netip.AddrPort) (int, error) {
	return connectWith(address, k.outgoingReceiveBytes, k.bufferBytes)
}

// SocketError returns the pending error of a socket, or nil if there is none.
func (k *Kernel) SocketError(fd int) error { return SocketError(fd) }

// Read reads received bytes.
func (k *Kernel) Read(fd int, p []byte) (int, error) { return Read(fd, p) }

// Write writes as many bytes as fit into the kernel's send buffer.
func (k *Kernel) Write(fd int, p []byte) (int, error) { return Write(fd, p) }

// IdleOpen reports whether a connection is open and has no unread bytes.
func (k *Kernel) IdleOpen(fd int) bool { return IdleOpen(fd) }

// PeerClosed reports whether the peer has closed its writing side or the connection is broken.
func (k *Kernel) PeerClosed(fd int) bool { return PeerClosed(fd) }

// CanWrite reports whether a third of the kernel's send buffer is free, or the connection is broken.
func (k *Kernel) CanWrite(fd int) bool { return CanWrite(fd) }

// ResizeSendBuffer changes the size of the kernel's send buffer of a connection, in bytes. It reports whether the kernel has
// done so.
func (k *Kernel) ResizeSendBuffer(fd, bytes int) bool { return ResizeSendBuffer(fd, bytes) }

// BufferedBytes returns the memory of the kernel's buffers of a connection in bytes, 0 if the kernel does not tell.
func (k *Kernel) BufferedBytes(fd int) int { return BufferedBytes(fd) }

// CloseWrite closes the writing side of a connection.
func (k *Kernel) CloseWrite(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }
