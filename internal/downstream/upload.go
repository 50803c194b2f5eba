package downstream

import (
	"bytes"

	"golang.org/x/sys/unix"

	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// upload is the state of a connection that receives a long body. Its request is dispatched with the head, and may be answered
// before the body is complete.
type upload struct {
	conn   *conn
	stream *bodystream.Stream // passes the body on; nil in all other states
}

// active reports whether a body is being received.
func (u *upload) active() bool { return u.stream != nil }

// startUpload dispatches a request with a long body. Following is what was received and is not decoded.
func (c *conn) startUpload(following []byte) {
	c.stopReading()
	decoder := c.reader.decoder
	stream := bodystream.New(c.server.Buffers, decoder.ContentLength())
	stream.Prepend(decoder.StreamBodyTo(stream.Write))
	r := decoder.Request()
	r.Stream = stream
	stream.OnWritable(func() {
		if c.upload.stream == stream {
			c.server.Loop.Watch(c.fd, loop.Readable|loop.HangUp)
		}
	})
	c.server.counters.requestsStreamed.Inc()
	c.state = &c.upload
	c.upload.stream = stream
	c.reader.body = bodyProgress{started: true}
	c.startTimer(bodyProgressInterval, c.requestTimedOut)
	complete := decoder.Complete()
	c.dispatch(r)
	switch {
	case !c.upload.active(): // answered
	case complete:
		c.upload.complete(following)
	default:
		c.reader.sendContinue()
		stream.Flush()
	}
}

func (u *upload) ready(events uint32) {
	if events&loop.Failed != 0 {
		u.conn.clientDisconnected()
		return
	}
	u.read()
}

// read passes on the received bytes of the body, as far as there is buffer space.
func (u *upload) read() {
	c := u.conn
	stream := u.stream
	for range maxReadsPerTurn {
		space := stream.Available()
		if space == 0 {
			c.reader.body.paused = true
			c.server.Loop.Watch(c.fd, 0)
			return
		}
		n, err := c.server.Loop.Read(c.fd, c.server.readBuffer[:min(space, readBufferBytes)])
		if err == unix.EAGAIN {
			stream.Flush()
			return
		}
		if err != nil || n == 0 {
			c.clientDisconnected()
			return
		}
		if !u.decode(c.server.readBuffer[:n]) {
			return
		}
		stream.Flush()
		if u.stream != stream { // answered meanwhile
			return
		}
	}
}

// decode decodes bytes of the body, and reports whether more of it is to be read.
func (u *upload) decode(p []byte) bool {
	r := &u.conn.reader
	r.receivedAt = u.conn.server.Loop.EarliestArrivalAt(u.conn.fd)
	r.body.bytesSinceCheck += len(p)
	n, err := r.decoder.Feed(p)
	if err != nil {
		u.reject(http1.StatusOf(err))
		return false
	}
	if r.decoder.Complete() {
		u.complete(bytes.Clone(p[n:]))
		return false
	}
	return true
}

// complete handles the last byte of the body: the request's time starts now. Following is what was received behind it.
func (u *upload) complete(following []byte) {
	c := u.conn
	stream := u.stream
	x := c.pending.exchange
	u.stream = nil
	c.state = &c.pending
	c.reader.unread = following
	c.stopTimer()
	c.server.Loop.Watch(c.fd, loop.HangUp)
	c.startDeadline(x, x.Message.(*http1.Request))
	stream.Finish()
	if c.pending.exchange == x {
		c.server.handler.RequestComplete(x)
	}
}

// checkPaused records whether reading still waits for buffer space.
func (u *upload) checkPaused() {
	u.conn.reader.body.paused = u.stream.Available() == 0
	u.stream.Flush()
}

// reject ends a request before its body is complete. What an upstream has of it is aborted.
func (u *upload) reject(status int) {
	c := u.conn
	x := c.pending.exchange
	c.pending.detachExchange(x)
	u.abort()
	c.server.handler.ClientDisconnected(x)
	c.rejectAndClose(status)
}

// abort ends the stream of an incomplete body, if there is one.
func (u *upload) abort() {
	if stream := u.stream; stream != nil {
		u.stream = nil
		stream.Abort()
	}
}

// abandon stops receiving the body, since its request has been answered, and reports whether there was one.
func (u *upload) abandon() bool {
	stream := u.stream
	if stream == nil {
		return false
	}
	u.stream = nil
	stream.Abandon()
	return true
}
