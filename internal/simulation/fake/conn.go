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

// errClosedByPeer is the error of a connection whose peer closed it in order.
var errClosedByPeer = errors.New("connection closed by peer")

// conn is one connection of a fake. It buffers what the kernel does not accept yet. It owns its descriptor, which it
// closes on an error, on the peer's close, or by close.
type conn struct {
	host      Host
	fd        int
	connected bool
	closed    bool
	unsent    []byte

	closeWhenFlushed bool
	readPause        float64 // ms between two reads, 0 for a reader that does not pause
	readPauseTimer   *timer.Timer

	onConnected func()
	onData      func(data []byte)
	onClosed    func(err error) // called once, not after close
	onFlushed   func()
}

// dial begins a connection.
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

// send writes data, or buffers it until the kernel accepts it.
func (c *conn) send(data []byte) {
	if c.closed {
		return
	}
	c.unsent = append(c.unsent, data...)
	c.flush()
}

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
			c.updateWatch()
			return
		}
		c.unsent = c.unsent[n:]
	}
	c.unsent = nil
	c.updateWatch()
	if c.closeWhenFlushed {
		c.close()
	}
	if c.onFlushed != nil {
		c.onFlushed()
	}
}

func (c *conn) updateWatch() {
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

// Ready handles events of the descriptor.
func (c *conn) Ready(events uint32) {
	if !c.connected && !c.finishConnect(events) {
		return
	}
	if events&loop.Failed != 0 && c.readPauseTimer != nil { // a broken connection needs no pause
		c.stopReadPause()
	}
	if events&loop.Writable != 0 {
		c.flush()
	}
	if !c.closed && c.readPauseTimer == nil && events&^loop.Writable != 0 {
		c.read()
	}
}

// finishConnect handles events of a connection that was not connected, and reports whether it is now.
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

// read reads until nothing is left, or until a pause begins.
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
			c.updateWatch()
			c.read()
		}
	})
	c.updateWatch()
}

func (c *conn) stopReadPause() {
	c.host.Loop().Timers.Stop(c.readPauseTimer)
	c.readPauseTimer = nil
}

// fail closes the connection for an error.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	if c.onClosed != nil {
		c.onClosed(err)
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.stopReadPause()
	c.host.Loop().Close(c.fd)
}
