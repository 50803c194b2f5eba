package loop

import (
	"math"

	"golang.org/x/sys/unix"
)

// maxAcceptRetries is the maximum number of consecutive failures that one call of Accept ignores.
const maxAcceptRetries = 16

// Accept accepts an established connection. It returns unix.EAGAIN if there is none. After any other error, such as
// that of a connection that its client has aborted, it retries up to maxAcceptRetries times.
func (l *Loop) Accept(fd int) (int, error) {
	connection, err := l.Sockets.Accept(fd)
	for retries := 0; err != nil && err != unix.EAGAIN && retries < maxAcceptRetries; retries++ {
		connection, err = l.Sockets.Accept(fd)
	}
	return connection, err
}

// Read reads received bytes, as Sockets.Read does. It returns unix.EAGAIN for a transient failure: the kernel reports
// the descriptor again for as long as it has unread bytes.
func (l *Loop) Read(fd int, p []byte) (int, error) {
	n, err := l.Sockets.Read(fd, p)
	switch {
	case err == unix.EAGAIN:
		l.MarkRead(fd)
	case err == nil:
		l.markUnread(fd)
	case isTransient(err):
		l.markUnread(fd)
		return 0, unix.EAGAIN
	}
	return n, err
}

// Write writes as many bytes as fit into the kernel's send buffer, as Sockets.Write does. A transient failure is
// treated like a full buffer: Write returns zero bytes without an error. If the buffer is full, it is made larger if possible.
func (l *Loop) Write(fd int, p []byte) (int, error) {
	n, err := l.writeParts(fd, p)
	if err == nil && n < len(p) && l.enlargeSendBuffer(fd) {
		more, err := l.writeParts(fd, p[n:])
		return n + more, err
	}
	return n, err
}

// writeParts writes parts of which two fit into the send buffer. A peer that gets one segment at a time delays its acknowledgements.
func (l *Loop) writeParts(fd int, p []byte) (written int, err error) {
	part := l.writePart(fd)
	for written < len(p) {
		size := min(part, len(p)-written)
		n, err := l.writeOnce(fd, p[written:written+size])
		written += n
		if err != nil || n < size {
			return written, err
		}
	}
	return written, nil
}

// writePart returns the size of the parts that are written to a connection, in bytes.
func (l *Loop) writePart(fd int) int {
	sizes := l.large.sizes
	if sizes.Base == 0 || fd < len(l.watches) && l.watches[fd].largeSendBuffer {
		return math.MaxInt
	}
	return sizes.Base
}

// CanWrite reports whether the kernel's send buffer has as much space as the event Writable means, as Sockets.CanWrite does. If the
// buffer is full, it is made larger if possible.
func (l *Loop) CanWrite(fd int) bool {
	return l.Sockets.CanWrite(fd) || l.enlargeSendBuffer(fd) && l.Sockets.CanWrite(fd)
}

func (l *Loop) writeOnce(fd int, p []byte) (int, error) {
	n, err := l.Sockets.Write(fd, p)
	if err != nil && (isTransient(err) || err == unix.EAGAIN) {
		return 0, nil
	}
	return n, err
}

// markUnread records that a descriptor may have unread bytes, the first of which may have been received in the current
// turn.
func (l *Loop) markUnread(fd int) {
	if fd < len(l.watches) && l.watches[fd].unreadSince == 0 {
		l.watches[fd].unreadSince = l.earliestArrival
	}
}

// MarkRead records that all bytes that a descriptor has received were read, or will never be read.
func (l *Loop) MarkRead(fd int) {
	if fd < len(l.watches) {
		l.watches[fd].unreadSince = 0
	}
}

// MarkUnreadSince sets the earliest time, in milliseconds, at which the unread bytes of a descriptor may have been
// received. A time of 0 means that it is unknown; EarliestArrivalAt then returns EarliestArrival.
func (l *Loop) MarkUnreadSince(fd int, since float64) { l.watches[fd].unreadSince = since }

// EarliestArrivalAt returns the earliest time at which the unread bytes of one descriptor may have been received, in
// milliseconds. It is earlier than EarliestArrival if the bytes are read over several turns, or if they were reported
// late because the kernel had no memory to watch the descriptor: they may have been received in the first of these
// turns.
func (l *Loop) EarliestArrivalAt(fd int) float64 {
	if since := l.watches[fd].unreadSince; since != 0 {
		return min(since, l.earliestArrival)
	}
	return l.earliestArrival
}
