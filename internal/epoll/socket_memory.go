package epoll

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// ResizeSendBuffer changes the size of the kernel's send buffer of a connection, in bytes. It reports whether the kernel has done so.
func ResizeSendBuffer(fd, bytes int) bool {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes) == nil
}

// socketMemory is the memory of a socket as the kernel reports it for the option SO_MEMINFO, in bytes.
type socketMemory struct {
	received       uint32 // bytes that wait for this process
	receiveLimit   uint32
	sending        uint32 // bytes that are in transit
	sendLimit      uint32
	forwardAlloc   uint32
	queuedToSend   uint32 // bytes that wait for the peer; they include those in transit
	options        uint32
	backlog        uint32
	droppedPackets uint32
}

// BufferedBytes returns the memory of the kernel's buffers of a connection in bytes, with the kernel's overhead. It returns 0 if the
// kernel does not tell, or the descriptor is not a socket.
func BufferedBytes(fd int) int {
	var m socketMemory
	size := uint32(unsafe.Sizeof(m))
	_, _, err := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&m)), uintptr(unsafe.Pointer(&size)), 0)
	if err != 0 {
		return 0
	}
	return int(m.received) + int(m.queuedToSend)
}
