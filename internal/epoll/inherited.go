package epoll

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// inheritedAcceptTimeout is the receive timeout of an inherited listener. It bounds an accept that blocks because
// another process has cleared the non-blocking flag of the socket just before.
var inheritedAcceptTimeout = unix.Timeval{Usec: 1000}

// Adopt prepares a listening socket that the process has inherited at its start for use by the loop. Other processes
// may have the same socket. If two of them accept at the same time, there may be a connection for one of them only, so
// Adopt makes the socket non-blocking. Of the properties that the processes share, it changes only this one and the
// receive timeout.
func (k *Kernel) Adopt(fd int) error {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return fmt.Errorf("descriptor %d is not a listening socket (%v)", fd, err)
	}
	unix.CloseOnExec(fd)
	k.inheritedListener = fd
	k.listeners[fd] = struct{}{}
	err := k.setNonblocking()
	if err == nil {
		timeout := inheritedAcceptTimeout
		err = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout)
	}
	if err != nil {
		return fmt.Errorf("set options of inherited listener %d: %w", fd, err)
	}
	return nil
}

// setNonblocking makes the inherited listener non-blocking if it is not. All processes that have the socket share the
// flag, and any of them, such as the parent process, may have cleared it.
func (k *Kernel) setNonblocking() error {
	flags, err := unix.FcntlInt(uintptr(k.inheritedListener), unix.F_GETFL, 0)
	if err == nil && flags&unix.O_NONBLOCK == 0 {
		err = unix.SetNonblock(k.inheritedListener, true)
	}
	return err
}

// Accept accepts an established connection. It returns unix.EAGAIN if there is none. It sets the buffer sizes of
// connections from an inherited listener; those from a listener that Listen has opened inherit its buffer sizes.
func (k *Kernel) Accept(fd int) (int, error) {
	if fd != k.inheritedListener {
		return Accept(fd)
	}
	k.setNonblocking()
	connection, err := Accept(fd)
	if err == nil {
		_ = setBufferBytes(connection, k.bufferBytes, k.bufferBytes) // the connection works with buffers of another size
	}
	return connection, err
}
