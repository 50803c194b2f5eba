package downstream

import (
	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/loop"
)

// lingeringClose is the state of a connection after its last response. Sending has ended, and input is read and discarded for a
// moment: closing with unread input would send a reset, which can destroy the response on its way.
type lingeringClose struct {
	conn    *conn
	started bool
	timeout balance.Millis
}

// start ends the sending side of the connection.
func (l *lingeringClose) start() {
	c := l.conn
	c.state = l
	l.started = true
	c.server.Loop.CloseWrite(c.fd)
	c.startTimer(l.timeout, l.finish)
	c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
	l.discard()
}

func (l *lingeringClose) ready(uint32) { l.discard() }

// discard reads until the client has closed.
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
