package upstream

import (
	"container/list"
	"slices"

	"salttrack/balance"
)

// A connection is not reused before the reuse delay has passed since its last response. Some upstreams send extra
// bytes, such as a duplicate of the response, a few milliseconds after the response. If the connection is idle then, it
// is closed. If it had been reused, the extra bytes would be taken for the response to the next request. The delay is
// twice the longest time after which extra bytes were received, but at least minReuseDelay and at most maxReuseDelay.
// It prevents little reuse, as most services take longer than the delay to respond.
const (
	minReuseDelay balance.Millis = 25
	maxReuseDelay balance.Millis = 200
)

// idleState holds the data of a connection that is needed while it is idle.
type idleState struct {
	since   balance.Millis // when the connection became idle
	element *list.Element  // its element in Pool.idle, nil while the connection is not idle
}

// makeIdle makes a connection whose response is complete available for reuse.
func (c *conn) makeIdle() {
	p := c.pool
	c.state = stateIdle
	c.decoder.Reset()
	c.idle.since = p.loop.Now()
	c.idle.element = p.idle.PushBack(c)
	c.endpoint.idle = append(c.endpoint.idle, c)
	c.timer = p.loop.After(p.idleTimeout, func() {
		p.counters.connectionsIdleClosed.Inc()
		c.close(reasonIdleTimeout)
	})
}

// leaveIdle removes a connection from the idle connections. It has no effect if the connection is not idle.
func (c *conn) leaveIdle() {
	if c.idle.element == nil {
		return
	}
	c.pool.idle.Remove(c.idle.element)
	c.idle.element = nil
	c.endpoint.removeIdle(c)
	c.stopTimer()
}

// removeIdle removes a connection from the idle connections of an endpoint. It searches from the end, as the connection
// is usually the one that became idle last.
func (e *endpoint) removeIdle(c *conn) {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if e.idle[i] == c {
			e.idle = slices.Delete(e.idle, i, i+1)
			return
		}
	}
}

// readWhileIdle closes an idle connection that has become readable: the upstream has closed it or has sent unrequested
// bytes.
func (c *conn) readWhileIdle() {
	p := c.pool
	p.counters.connectionsClosedByPeer.Inc()
	reason := reasonClosedByUpstream
	if n, _ := p.loop.Read(c.fd, p.readBuffer); n > 0 {
		reason = reasonExtraResponse
		p.counters.extraResponses.Inc()
		receivedAfter := p.loop.Now() - c.idle.since
		p.reuseDelay = max(p.reuseDelay, min(maxReuseDelay, 2*receivedAfter))
	}
	c.close(reason)
}

// takeIdle returns the most recently used idle connection to an endpoint whose reuse delay has passed, and removes it
// from the idle connections. It returns nil if there is none.
func (p *Pool) takeIdle(e *endpoint) *conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if p.loop.Now()-c.idle.since < p.reuseDelay {
			continue
		}
		if !p.loop.IdleOpen(c.fd) { // closed or readable, but the loop has not handled the event yet
			p.counters.connectionsClosedByPeer.Inc()
			c.close(reasonClosedByUpstream)
			continue
		}
		p.counters.connectionsReused.Inc()
		c.leaveIdle()
		return c
	}
	return nil
}

// closeIdle closes all idle connections to an endpoint.
func (p *Pool) closeIdle(e *endpoint) {
	for len(e.idle) > 0 {
		p.counters.connectionsIdleClosed.Inc()
		e.idle[len(e.idle)-1].close(reasonEndpointChanged)
	}
}

// shedIdle closes the connection that has been idle for the longest time and reports whether there was one.
func (p *Pool) shedIdle() bool {
	front := p.idle.Front()
	if front == nil {
		return false
	}
	p.counters.connectionsShed.Inc()
	front.Value.(*conn).close(reasonShed)
	return true
}
