package fake

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

const (
	readBufferBytes     = 16 << 10
	slowReadBufferBytes = 512
)

// errClosedByPeer is passed to onClosed after an orderly close by the peer.
var errClosedByPeer = errors.New("connection closed by peer")

// conn is one TCP connection of a fake. It buffers data that the kernel does not accept yet.
// It owns its descriptor, and closes it on an I/O error, when the peer has closed the connection, or in close.
type conn struct {
	host      Host
	fd        int
	connected bool
	closed    bool
	unsent    []byte // passed to send, not accepted by the kernel yet

	closeWhenFlushed bool
	readPause        float64      // ms between two reads, 0 for no pauses
	readPauseTimer   *timer.Timer // runs during a pause, nil otherwise

	onConnected func()
	onData      func(data []byte)
	onClosed    func(err error) // called once, unless the connection was closed by close
	onFlushed   func()          // called when the kernel has accepted all data
}

// dial begins to connect to an address. onConnected is called when the connection is established.
func dial(host Host, addr netip.AddrPort) (*conn, error) {
	fd, err := host.Loop().Connect(addr)
	if err != nil {
		return nil, err
	}
	c := &conn{host: host, fd: fd}
	if err := host.Loop().Add(fd, loop.Readable|loop.Writable|loop.HangUp, c); err != nil {
		host.Loop().Close(fd)
		return nil, err
	}
	return c, nil
}

// send writes data, and buffers what the kernel does not accept yet. It does nothing on a closed connection.
func (c *conn) send(data []byte) {
	if c.closed {
		return
	}
	c.unsent = append(c.unsent, data...)
	c.flush()
}

// flush writes the buffered data as far as the kernel accepts it.
func (c *conn) flush() {
	if !c.connected || c.closed {
		return
	}
	for len(c.unsent) > 0 {
		n, err := c.host.Loop().Write(c.fd, c.unsent)
		if err != nil {
			c.fail(err)
			return
		}
		if n == 0 {
			c.updateInterest()
			return
		}
		c.unsent = c.unsent[n:]
	}
	c.unsent = nil
	c.updateInterest()
	if c.closeWhenFlushed {
		c.close()
	}
	if c.onFlushed != nil {
		c.onFlushed()
	}
}

// updateInterest sets the readiness events that the connection waits for.
func (c *conn) updateInterest() {
	if c.closed {
		return
	}
	events := uint32(0)
	if c.readPauseTimer == nil {
		events = loop.Readable | loop.HangUp
	}
	if len(c.unsent) > 0 || !c.connected {
		events |= loop.Writable
	}
	c.host.Loop().Watch(c.fd, events)
}

// Ready handles readiness events of the descriptor.
func (c *conn) Ready(events uint32) {
	if !c.connected && !c.finishConnect(events) {
		return
	}
	if events&loop.Failed != 0 && c.readPauseTimer != nil { // end the pause, so that the error is read at once
		c.stopReadPause()
	}
	if events&loop.Writable != 0 {
		c.flush()
	}
	if !c.closed && c.readPauseTimer == nil && events&^loop.Writable != 0 {
		c.read()
	}
}

// finishConnect handles readiness events during the connection setup, and reports whether the connection is established.
func (c *conn) finishConnect(events uint32) bool {
	err := c.host.Loop().SocketError(c.fd)
	if err == nil && events&loop.Failed != 0 {
		err = unix.ECONNREFUSED
	}
	if err != nil {
		c.fail(err)
		return false
	}
	if events&loop.Writable == 0 {
		return false
	}
	c.connected = true
	if c.onConnected != nil {
		c.onConnected()
	}
	return true
}

// read reads until no data is available, the connection closes, or a pause begins.
func (c *conn) read() {
	size := readBufferBytes
	if c.readPause > 0 {
		size = slowReadBufferBytes
	}
	buffer := make([]byte, size)
	for !c.closed && c.readPauseTimer == nil {
		n, err := c.host.Loop().Read(c.fd, buffer)
		switch {
		case err == unix.EAGAIN:
			return
		case err != nil:
			c.fail(err)
		case n == 0:
			c.fail(errClosedByPeer)
		default:
			if c.readPause > 0 {
				c.startReadPause()
			}
			c.onData(buffer[:n])
		}
	}
}

func (c *conn) startReadPause() {
	c.readPauseTimer = c.host.Loop().After(c.readPause, func() {
		c.readPauseTimer = nil
		if !c.closed {
			c.updateInterest()
			c.read()
		}
	})
	c.updateInterest()
}

func (c *conn) stopReadPause() {
	c.host.Loop().Timers.Stop(c.readPauseTimer)
	c.readPauseTimer = nil
}

// fail closes the connection because of an error, and passes the error to onClosed.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	if c.onClosed != nil {
		c.onClosed(err)
	}
}

// close closes the connection without a call of onClosed, and discards unsent data.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.stopReadPause()
	c.host.Loop().Close(c.fd)
}
