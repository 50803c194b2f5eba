package loop

import (
	"net/netip"
	"slices"
)

// maxReclaimProbes is the largest number of connections that one call of reclaimSendBuffer looks at.
const maxReclaimProbes = 4

// BufferSizes are the sizes of the kernel's buffers of connections, in bytes for each direction. With a Base of 0, the sizes are those of
// the kernel.
type BufferSizes struct {
	Base            int // of a connection
	OutgoingReceive int // the receive buffer of an outgoing connection
	Large           int // the receive buffer of some outgoing connections, and the send buffer of some that send long messages
	MaxLargeReceive int // largest number of large receive buffers
	MaxLargeSend    int // largest number of large send buffers
}

// largeBuffers has the connections with large buffers.
type largeBuffers struct {
	sizes     BufferSizes
	receiving map[int]struct{} // descriptors with a large receive buffer
	sending   []int            // descriptors with a large send buffer; the one that got it first comes first
}

// SetBufferSizes sets the sizes of the kernel's buffers of connections that are opened or accepted from now on.
func (l *Loop) SetBufferSizes(sizes BufferSizes) {
	l.large.sizes = sizes
	l.SetBufferBytes(sizes.Base, sizes.OutgoingReceive)
}

// Connect starts a non-blocking connect, as Sockets.Connect does. The connection gets a large receive buffer if there are not too many.
// The size of a receive buffer has to be known before the connection is opened: if it grows later, the kernel drops segments.
func (l *Loop) Connect(address netip.AddrPort) (int, error) {
	sizes := l.large.sizes
	if sizes.OutgoingReceive >= sizes.Large || len(l.large.receiving) >= sizes.MaxLargeReceive {
		return l.Sockets.Connect(address)
	}
	l.SetBufferBytes(sizes.Base, sizes.Large)
	fd, err := l.Sockets.Connect(address)
	l.SetBufferBytes(sizes.Base, sizes.OutgoingReceive)
	if err == nil {
		l.large.receiving[fd] = struct{}{}
	}
	return fd, err
}

// enlargeSendBuffer gives a large send buffer to a connection whose send buffer is full. It reports whether it has done so. It does
// nothing if the connection has one, or as many connections as allowed have unsent bytes in theirs.
func (l *Loop) enlargeSendBuffer(fd int) bool {
	sizes := l.large.sizes
	if sizes.Base >= sizes.Large || fd >= len(l.watches) || l.watches[fd].handler == nil || l.watches[fd].largeSendBuffer {
		return false
	}
	if sizes.MaxLargeSend == 0 || len(l.large.sending) >= sizes.MaxLargeSend && !l.reclaimSendBuffer() {
		return false
	}
	if !l.ResizeSendBuffer(fd, sizes.Large) {
		return false
	}
	l.watches[fd].largeSendBuffer = true
	l.large.sending = append(l.large.sending, fd)
	return true
}

// reclaimSendBuffer takes the large send buffer of a connection back that has nothing in its buffers. It reports whether it has done so.
func (l *Loop) reclaimSendBuffer() bool {
	for range min(maxReclaimProbes, len(l.large.sending)) {
		fd := l.large.sending[0]
		l.large.sending = l.large.sending[1:]
		if l.BufferedBytes(fd) == 0 && l.ResizeSendBuffer(fd, l.large.sizes.Base) {
			l.watches[fd].largeSendBuffer = false
			return true
		}
		l.large.sending = append(l.large.sending, fd)
	}
	return false
}

// forgetBuffers removes a descriptor that is being closed from those with large buffers.
func (l *Loop) forgetBuffers(fd int) {
	delete(l.large.receiving, fd)
	if fd < len(l.watches) && l.watches[fd].largeSendBuffer {
		l.watches[fd].largeSendBuffer = false
		if i := slices.Index(l.large.sending, fd); i >= 0 {
			l.large.sending = slices.Delete(l.large.sending, i, i+1)
		}
	}
}
