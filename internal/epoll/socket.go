package epoll

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddrOf converts an address to the type that package unix takes, and returns its address family.
func sockaddrOf(address netip.AddrPort) (sockaddr unix.Sockaddr, family int) {
	port := int(address.Port())
	if ip := address.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: port, Addr: ip.As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}, unix.AF_INET6
}

// DefaultBufferBytes is the size of the kernel's buffers for each direction of a connection, in bytes. The kernel doubles it
// for its own use. Without a size, the buffers of one connection may grow to several megabytes.
const DefaultBufferBytes = 64 << 10

const listenBacklog = 4096 // maximum number of established connections that wait to be accepted

const socketType = unix.SOCK_STREAM | unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC

// Listen returns a listening socket that is bound to an address. Its connections have buffers of DefaultBufferBytes.
func Listen(address netip.AddrPort) (int, error) { return listenWith(address, DefaultBufferBytes) }

func listenWith(address netip.AddrPort, bufferBytes int) (int, error) {
	sockaddr, family := sockaddrOf(address)
	fd, err := unix.Socket(family, socketType, 0)
	if err != nil {
		return -1, fmt.Errorf("listen on %s: create socket: %w", address, err)
	}
	if err := setUpListener(fd, sockaddr, bufferBytes); err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("listen on %s: %w", address, err)
	}
	return fd, nil
}

func setUpListener(fd int, sockaddr unix.Sockaddr, bufferBytes int) error {
	// Connections of an earlier process may still use the address.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := setBufferBytes(fd, bufferBytes, bufferBytes); err != nil {
		return err
	}
	if err := unix.Bind(fd, sockaddr); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// setBufferBytes sets the sizes of the buffers of a socket, in bytes. Connections that a listening socket accepts later inherit them.
func setBufferBytes(fd, receive, send int) error {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receive); err != nil {
		return err
	}
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, send)
}

// StopQueueing makes a listening socket ignore new connection requests, by a filter that drops all packets to it.
// Clients that connect get no reply until the socket is closed, and are refused then. Established connections are not
// affected. If the kernel rejects the filter, clients can connect until the socket is closed.
func StopQueueing(fd int) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	filter := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
}

// Connect starts a non-blocking connect. Once the socket is writable, the connection is established or has failed;
// SocketError tells which.
func Connect(address netip.AddrPort) (int, error) {
	return connectWith(address, DefaultBufferBytes, DefaultBufferBytes)
}

func connectWith(address netip.AddrPort, receiveBytes, sendBytes int) (int, error) {
	sockaddr, family := sockaddrOf(address)
	fd, err := unix.Socket(family, socketType, 0)
	if err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = setBufferBytes(fd, receiveBytes, sendBytes) // the connection works with buffers of another size
	if err := unix.Connect(fd, sockaddr); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// Accept accepts an established connection. It returns unix.EAGAIN if there is none.
func Accept(fd int) (int, error) {
	connection, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		unix.SetsockoptInt(connection, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return connection, err
}

// SocketError returns the pending error of a socket, or nil if there is none.
func SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Read reads received bytes. Zero bytes without an error mean the end of the stream. Read returns unix.EAGAIN if there
// are no bytes to read.
func Read(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if err != unix.EINTR {
			return max(0, n), err
		}
	}
}

// Write writes as many bytes as fit into the kernel's send buffer. Zero bytes without an error mean that the buffer is
// full.
func Write(fd int, p []byte) (int, error) {
	for {
		n, err := unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL)
		switch err {
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		default:
			return max(0, n), err
		}
	}
}

// IdleOpen reports whether a connection is open and has no unread bytes.
func IdleOpen(fd int) bool {
	var first [1]byte
	for {
		_, _, err := unix.Recvfrom(fd, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN
		}
	}
}

// PeerClosed reports whether the peer has closed its writing side or the connection is broken. It also detects this
// while there are unread bytes.
func PeerClosed(fd int) bool {
	return pollNow(fd, unix.POLLRDHUP)
}

// CanWrite reports whether a third of the kernel's send buffer is free, or the connection is broken.
func CanWrite(fd int) bool { return pollNow(fd, unix.POLLOUT) }

// pollNow reports whether one of the given events, an error or a hang-up is pending.
func pollNow(fd int, events int16) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		n, err := unix.Poll(poll, 0)
		if err != unix.EINTR {
			return err == nil && n > 0
		}
	}
}

// LocalAddress returns the address that a socket is bound to, or the zero value if there is none.
func LocalAddress(fd int) netip.AddrPort {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	switch address := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(address.Addr), uint16(address.Port))
	}
	return netip.AddrPort{}
}
