package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request of a usual client.
type request struct {
	id        string
	class     string
	method    string
	key       string
	body      string
	remaining time.Duration
}

// answer is how a request ended for its client.
type answer struct {
	request
	sent   float64 // time of its last byte
	ended  float64
	status int   // 0 if there was no whole answer
	err    error // why there was no answer
	body   string
}

// clients sends requests, each on a kept connection that rests, or on a new one.
type clients struct {
	scene    *scene
	address  string
	fresh    bool          // each request comes on a new connection
	patience time.Duration // how long a client waits beyond its time before it counts the request as unanswered

	mu      sync.Mutex
	resting []*clientConn
	answers []answer
	sending sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5a17000000000000+lastID.Add(1)) }

func (c *clients) take() (*clientConn, bool, error) {
	c.mu.Lock()
	if n := len(c.resting); n > 0 && !c.fresh {
		conn := c.resting[n-1]
		c.resting = c.resting[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", c.address, 2*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, false, nil
}

// send sends a request and waits for its answer. A request that meets a close on a kept connection is sent once more on a new one.
func (c *clients) send(r request) answer {
	c.sending.Add(1)
	defer c.sending.Done()
	conn, kept, err := c.take()
	a := answer{request: r, err: err, sent: c.scene.now()}
	if err == nil {
		a = c.exchange(conn, r)
		if kept && a.status == 0 && a.ended-a.sent < 0.005 {
			if fresh, err := net.DialTimeout("tcp4", c.address, 2*time.Second); err == nil {
				a = c.exchange(&clientConn{Conn: fresh, in: bufio.NewReader(fresh)}, r)
			}
		}
	}
	c.scene.log("client: %s %s sent at %.4f, ended %.4f: status %d, body %.60q, error %v", r.class, r.id, a.sent, a.ended, a.status, a.body, a.err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

func (c *clients) exchange(conn *clientConn, r request) answer {
	var head strings.Builder
	fmt.Fprintf(&head, "%s /%s/x HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\n", r.method, r.class, r.id, r.class, r.remaining.Seconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.method == "POST" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n" + r.body)
	conn.SetDeadline(time.Now().Add(r.remaining + c.patience))
	a := answer{request: r}
	_, a.err = conn.Write([]byte(head.String()))
	a.sent = c.scene.now()
	if a.err == nil {
		var response *http.Response
		if response, a.err = http.ReadResponse(conn.in, &http.Request{Method: r.method}); a.err == nil {
			var body []byte
			if body, a.err = io.ReadAll(response.Body); a.err == nil {
				a.status = response.StatusCode
				a.body = string(body)
				if !response.Close && !c.fresh {
					c.mu.Lock()
					c.resting = append(c.resting, conn)
					c.mu.Unlock()
					a.ended = c.scene.now()
					return a
				}
			}
		}
	}
	a.ended = c.scene.now()
	conn.Close()
	return a
}

// load sends requests at a steady rate for a time. The function next makes the requests.
func (c *clients) load(perSecond float64, duration time.Duration, next func(i int) request) {
	interval := time.Duration(float64(time.Second) / perSecond)
	end := time.Now().Add(duration)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; time.Now().Before(end); i++ {
		r := next(i)
		c.sending.Add(1)
		go func() { defer c.sending.Done(); c.send(r) }()
		<-tick.C
	}
}

// statuses counts the answers by their status.
func (c *clients) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, a := range c.answers {
		counts[a.status]++
	}
	return counts
}
