package fake

import (
	"fmt"

	"salttrack/internal/http1"
)

// client sends calls to balancers and keeps idle connections for later calls.
// It closes a connection when the balancer closes it or sends invalid data, on an I/O error, and when a call on it is
// cancelled or times out.
type client struct {
	host     Host
	recorder Recorder
	rng      Stream
	classes  []Class
	idle     map[string][]*clientConn // by name of the balancer
}

func newClient(host Host, recorder Recorder, classes []Class, rng Stream) *client {
	return &client{host: host, recorder: recorder, rng: rng, classes: classes, idle: map[string][]*clientConn{}}
}

// newID returns a new request ID or idempotency key.
func (c *client) newID() string { return fmt.Sprintf("%016x", c.rng.Uint64()) }

// now returns the time of the client's loop, in ms.
func (c *client) now() float64 { return c.host.Loop().Now() }

// start sends a call on an idle connection to its balancer, or on a new connection if there is none or the call needs one.
func (c *client) start(call *call) {
	if !call.newConnection {
		if idle := c.popIdle(call.balancer.Name); idle != nil {
			idle.send(call)
			return
		}
	}
	conn, err := dial(c.host, call.balancer.Addr)
	if err != nil {
		call.end(callUnsent)
		return
	}
	opened := &clientConn{client: c, conn: conn, balancer: call.balancer, decoder: http1.NewResponseDecoder(nil)}
	conn.onData = opened.onData
	conn.onClosed = opened.onClosed
	opened.send(call)
}

// startPair pipelines two calls on one new connection: it sends the second before the response to the first.
func (c *client) startPair(first, second *call) {
	first.newConnection = true
	second.pipelined = true
	c.start(first)
	if first.conn != nil && !first.conn.conn.closed {
		first.conn.send(second)
	} else {
		second.end(callUnsent)
	}
}

// popIdle removes and returns the connection to a balancer that became idle most recently, nil if none is idle.
func (c *client) popIdle(balancer string) *clientConn {
	idle := c.idle[balancer]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[balancer] = idle[:len(idle)-1]
	return conn
}

func (c *client) addIdle(conn *clientConn) {
	c.idle[conn.balancer.Name] = append(c.idle[conn.balancer.Name], conn)
}

func (c *client) removeIdle(conn *clientConn) {
	idle := c.idle[conn.balancer.Name]
	for i, other := range idle {
		if other == conn {
			c.idle[conn.balancer.Name] = append(idle[:i:i], idle[i+1:]...)
			return
		}
	}
}
