package upstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// stallTimeout is the time that a long response may make no progress while its buffer has space, and a long request
// while there is some of it to send. No timeout of the attempt applies to either.
const stallTimeout balance.Millis = 10000

// startStream begins to pass on a response that is too long to be buffered as a whole, and reports whether the attempt
// goes on. Of other statuses than 200 the body is not passed on.
func (c *conn) startStream() bool {
	if c.decoder.Status() != http1.StatusOK || !c.request.sent() {
		c.complete()
		return false
	}
	p := c.pool
	p.counters.responsesStreamed.Inc()
	stream := bodystream.New(p.buffers, c.decoder.ContentLength())
	stream.Prepend(c.decoder.StreamBodyTo(stream.Write))
	stream.OnWritable(func() { c.continueStream(stream) })
	c.stream = stream
	c.lastProgress = p.loop.Now()
	c.stopTimer()
	c.timer = p.loop.After(stallTimeout, c.checkStall)
	p.listener.ResponseStarted(c.attempt, stream)
	return c.stream == stream && c.state == stateActive
}

// continueStream is called when the client has taken more of a stream, or has disconnected.
func (c *conn) continueStream(stream *bodystream.Stream) {
	if stream.State() != bodystream.Abandoned {
		c.lastProgress = c.pool.loop.Now()
		c.pool.loop.Watch(c.fd, loop.Readable|loop.HangUp)
		return
	}
	if c.stream == stream {
		c.end(balance.Cancelled)
	}
}

// checkStall ends an attempt whose long request or response makes no progress though the client does its part.
func (c *conn) checkStall() {
	now := c.pool.loop.Now()
	switch {
	case c.stream != nil:
		if c.stream.Available() == 0 { // the client has not taken more
			c.lastProgress = now
		}
		c.stream.Flush()
	case len(c.request.next()) > 0:
	case c.request.body != nil: // the client has not sent more
		c.lastProgress = now
	default: // the whole request is sent: the timeout of the attempt applies
		return
	}
	if remaining := c.lastProgress + stallTimeout - now; remaining > 0 {
		c.timer = c.pool.loop.After(remaining, c.checkStall)
		return
	}
	c.pool.counters.streamsStalled.Inc()
	c.end(c.brokenOutcome())
}
