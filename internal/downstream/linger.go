package downstream

import (
	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/loop"
)

// lingeringClose is the state of a connection after its last response.
// The sending side is closed, and input is read and discarded until the client closes the connection or the timeout expires.
// Closing a socket with unread input would send a TCP reset, which can make the client lose the response.
type lingeringClose struct {
	conn    *conn
	started bool
	timeout balance.Millis // lingerTimeout or incompleteRequestLinger
}

// start closes the sending side of the connection and begins to discard input, beginning with what was read behind the last request.
func (l *lingeringClose) start() {
	c := l.conn
	c.state = l
	l.started = true
	c.reader.unread.clear()
	c.server.Loop.CloseWrite(c.fd)
	c.startTimer(l.timeout, func(c *conn) { c.linger.finish() })
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	l.discard()
}

func (l *lingeringClose) ready(uint32) { l.discard() }

// discard reads and drops the available input. It closes the connection if the client has closed it.
func (l *lingeringClose) discard() {
	c := l.conn
	for range maxReadsPerTurn {
		n, err := c.server.Loop.Read(c.fd, c.server.readBuffer)
		if err == unix.EAGAIN {
			return
		}
		if err != nil || n == 0 {
			l.finish()
			return
		}
	}
}

// finish closes the connection.
func (l *lingeringClose) finish() { l.conn.close(reasonLastResponseSent) }
