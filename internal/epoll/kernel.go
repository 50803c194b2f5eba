// Package epoll is the kernel of the operating system as a loop needs it: epoll, clocks and non-blocking sockets.
package epoll

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
)

// wakeGeneration marks events of the descriptor that ends a wait. No watch of a loop has it.
const wakeGeneration = -1

const microsecondsPerMillisecond = 1000

// Kernel is a loop.Kernel. It owns its epoll descriptor, the descriptor that ends a wait and an inherited listener, if
// there is one; all other descriptors are owned by its callers. All methods but Wake are called on the loop.
type Kernel struct {
	epollFD           int
	wakeFD            int
	inheritedListener int // 0: none
	start             time.Time
	startUnix         float64 // ms
}

// New returns a kernel, which has to be released. Its clock starts with the Unix time and then follows the monotonic
// clock: it never goes back, and times of other machines need no conversion.
func New() (*Kernel, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	now := time.Now()
	k := &Kernel{epollFD: epollFD, wakeFD: wakeFD, start: now, startUnix: unixMilliseconds(now)}
	if err := k.Add(wakeFD, loop.Readable, wakeGeneration); err != nil {
		k.Release()
		return nil, err
	}
	return k, nil
}

func unixMilliseconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / microsecondsPerMillisecond
}

// Now returns the time of the clock that never goes back, in milliseconds.
func (k *Kernel) Now() float64 {
	return k.startUnix + float64(time.Since(k.start).Microseconds())/microsecondsPerMillisecond
}

// Wall returns the time of the machine's clock, in milliseconds.
func (k *Kernel) Wall() float64 { return unixMilliseconds(time.Now()) }

// Add begins to watch a descriptor.
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
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// Remove stops watching a descriptor, which stays open.
func (k *Kernel) Remove(fd int) { _ = unix.EpollCtl(k.epollFD, unix.EPOLL_CTL_DEL, fd, nil) }

// Wait waits until descriptors are ready, Wake is called or a timeout in milliseconds has passed; -1 is none.
func (k *Kernel) Wait(events []loop.Event, timeout int) (int, error) {
	n, err := unix.EpollWait(k.epollFD, events, timeout)
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("epoll: %w", err)
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

// Wake ends a Wait. It may be called from any goroutine.
func (k *Kernel) Wake() {
	one := [8]byte{1}
	unix.Write(k.wakeFD, one[:]) // if the counter is full, the wait ends as well
}

// Close closes a descriptor and stops watching it. The kernel stops watching a socket when its last descriptor is
// closed, and of an inherited listener other processes have more.
func (k *Kernel) Close(fd int) {
	if fd == k.inheritedListener {
		k.Remove(fd)
		k.inheritedListener = 0
	}
	unix.Close(fd)
}

// Release closes the epoll descriptor and the one that ends a wait.
func (k *Kernel) Release() {
	unix.Close(k.epollFD)
	unix.Close(k.wakeFD)
}

// Listen returns a listening socket.
func (k *Kernel) Listen(address netip.AddrPort) (int, error) { return Listen(address) }

// StopQueueing stops the establishment of new connections at a listening socket. It has no effect on an inherited one,
// at which other processes accept.
func (k *Kernel) StopQueueing(fd int) {
	if fd != k.inheritedListener {
		StopQueueing(fd)
	}
}

// Connect begins a connection.
func (k *Kernel) Connect(address netip.AddrPort) (int, error) { return Connect(address) }

// SocketError returns the pending error of a socket, nil if there is none.
func (k *Kernel) SocketError(fd int) error { return SocketError(fd) }

// Read reads what was received.
func (k *Kernel) Read(fd int, p []byte) (int, error) { return Read(fd, p) }

// Write writes what fits into the kernel's buffer.
func (k *Kernel) Write(fd int, p []byte) (int, error) { return Write(fd, p) }

// IdleOpen reports whether a connection is open and has nothing to read.
func (k *Kernel) IdleOpen(fd int) bool { return IdleOpen(fd) }

// PeerClosed reports whether the peer has closed its writing side or the connection is broken.
func (k *Kernel) PeerClosed(fd int) bool { return PeerClosed(fd) }

// CloseWrite closes the writing side of a connection.
func (k *Kernel) CloseWrite(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }
