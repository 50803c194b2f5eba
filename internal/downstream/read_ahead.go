package downstream

import (
	"bytes"
	"slices"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// maxReadAheadBytes is the number of bytes that are read behind a request before its response is sent. A client that closes its
// connection behind more bytes is noticed only when they are read.
const maxReadAheadBytes = 256 << 10

// arrivalResolution is the time within which bytes count as having arrived together, at the earliest time. It bounds the number of
// arrivals of a client that sends its bytes one by one.
const arrivalResolution balance.Millis = 10

// unreadInput holds the bytes that were received after the last request and have not been decoded yet. They are read while that
// request has no response, so that a close behind them is noticed.
type unreadInput struct {
	conn     *conn
	bytes    []byte
	size     int       // bytes of memory that they keep in use, counted in the account; 0 if they are in the server's read buffer
	arrivals []arrival // of the bytes, in order
}

// arrival is the earliest time at which a number of bytes may have arrived.
type arrival struct {
	bytes int
	at    balance.Millis
}

// take returns the bytes and the memory that they keep in use, which the caller has to count from now on.
func (u *unreadInput) take() (p []byte, size int) {
	p, size = u.bytes, u.size
	u.replace(nil, 0)
	return p, size
}

// replace replaces the bytes. Their arrivals stay.
func (u *unreadInput) replace(p []byte, size int) {
	if len(p) == 0 {
		p, size = nil, 0
	}
	u.conn.server.Memory.Add(memory.ReadAhead, size-u.size)
	u.bytes, u.size = p, size
}

// append adds a copy of bytes that may have arrived at a time or later.
func (u *unreadInput) append(p []byte, at balance.Millis) {
	if len(p) == 0 {
		return
	}
	joined := append(u.bytes, p...)
	u.replace(joined, max(u.size, cap(joined)))
	u.addArrival(p, at)
}

// borrow sets bytes in the server's read buffer, which may have arrived at a time or later. The caller has to call
// copyFromReadBuffer before anything is read into the buffer again.
func (u *unreadInput) borrow(p []byte, at balance.Millis) {
	if len(p) > 0 {
		u.replace(slices.Clip(p), 0)
		u.addArrival(p, at)
	}
}

// copyFromReadBuffer copies the bytes that are left of those in the server's read buffer.
func (u *unreadInput) copyFromReadBuffer() {
	if u.size == 0 && len(u.bytes) > 0 {
		p := bytes.Clone(u.bytes)
		u.replace(p, cap(p))
	}
}

// addArrival records that bytes may have arrived at a time or later.
func (u *unreadInput) addArrival(p []byte, at balance.Millis) {
	if last := len(u.arrivals) - 1; last >= 0 && at-u.arrivals[last].at < arrivalResolution {
		u.arrivals[last].bytes += len(p)
		return
	}
	u.arrivals = append(u.arrivals, arrival{len(p), at})
}

// consume removes the arrivals of the first n bytes, and returns the earliest time at which the last of these may have arrived.
// It reports whether there was one.
func (u *unreadInput) consume(n int) (at balance.Millis, found bool) {
	for n > 0 && len(u.arrivals) > 0 {
		first := &u.arrivals[0]
		at, found = first.at, true
		if first.bytes > n {
			first.bytes -= n
			break
		}
		n -= first.bytes
		u.arrivals = u.arrivals[1:]
	}
	return at, found
}

// clear removes all bytes.
func (u *unreadInput) clear() {
	u.replace(nil, 0)
	u.arrivals = nil
}

// readAhead reads bytes behind the request that has no response yet, up to maxReadAheadBytes. At the end of the input the client has
// disconnected.
func (u *unreadInput) readAhead() {
	c := u.conn
	for range maxReadsPerTurn {
		space := maxReadAheadBytes - len(u.bytes)
		if space <= 0 || c.server.Memory.Full(memory.ReadAhead) {
			c.server.Loop.Watch(c.fd, loop.HangUp)
			return
		}
		buffer := c.server.readBuffer[:min(space, len(c.server.readBuffer))]
		n, err := c.server.Loop.Read(c.fd, buffer)
		if err == unix.EAGAIN {
			return
		}
		if err != nil || n == 0 {
			c.clientDisconnected()
			return
		}
		u.append(buffer[:n], c.server.Loop.EarliestArrivalAt(c.fd))
	}
}
