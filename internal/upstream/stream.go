package upstream

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// stallTimeout is the longest time without progress of a streamed response whose buffer has space, and of a streamed
// request that has bytes to send. It replaces the timeout of the attempt, which does not apply to them.
const stallTimeout balance.Millis = 10000

// maxResponsePause is the longest time since an upstream sent the last byte of a response for which it still counts as
// sending. Clients count a response as cut off or stalled after 2 s.
const maxResponsePause balance.Millis = 1000

// StreamResponse starts to stream the response of an attempt, if its length is not known and its upstream is still
// sending it. It reports whether it did.
func (p *Pool) StreamResponse(a *exchange.Attempt) bool {
	c := p.active[a]
	if c == nil || c.state != stateActive || c.stream != nil || !c.request.sent() {
		return false
	}
	sending := c.decoder.HasPartOfUnknownLength() && p.loop.Now()-c.lastProgress <= maxResponsePause
	return sending && c.decoder.Status() == http1.StatusOK && c.startStream()
}

// startStream starts streaming a response that may be too large to be buffered completely, and reports whether the attempt
// continues. A response with a status other than 200 ends the attempt without its body.
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

// continueStream is called when the stream's buffer has space again, or the client has disconnected.
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

// checkStall ends an attempt whose streamed request or response has made no progress within stallTimeout. Time during
// which the attempt waits for the client does not count. Otherwise checkStall schedules its next call.
func (c *conn) checkStall() {
	now := c.pool.loop.Now()
	switch {
	case c.stream != nil:
		if c.stream.Available() == 0 { // the client has not read more, so the upstream is not stalled
			c.lastProgress = now
		}
		// Flush returns the buffer that Available may have taken. It comes last, as it may end the attempt.
		defer c.stream.Flush()
	case len(c.request.next()) > 0 || c.attempt.BlockedSince != 0:
	case c.request.body != nil: // the client has not sent more, so the upstream is not stalled
		c.lastProgress = now
	default: // the whole request was sent, so the timeout of the attempt applies
		return
	}
	if remaining := c.lastProgress + stallTimeout - now; remaining > 0 {
		c.timer = c.pool.loop.After(remaining, c.checkStall)
		return
	}
	c.pool.counters.streamsStalled.Inc()
	c.end(c.brokenOutcome())
}
