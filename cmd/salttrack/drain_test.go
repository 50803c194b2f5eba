package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// After SIGTERM the balancer serves the requests in flight, and accepts new ones for a limited time.
func TestRequestsDuringShutdown(t *testing.T) {
	entered, release := make(chan struct{}, 10), make(chan struct{})
	e := newEnvironment(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Txn") == "slow" {
			entered <- struct{}{}
			<-release
		}
		echo(w, r)
	})
	p := start(t, e.config(nil))
	responded := make(chan int, 1)
	go func() {
		status, _ := p.do("pay", "slow")
		responded <- status
	}()
	<-entered
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitFor("status 503 of GET /-/ready", func() bool { return p.readyStatus() == 503 })
	p.expectStatus("read", "late", 200)
	select {
	case <-p.exited:
		t.Fatal("the program exited with a request in flight")
	case status := <-responded:
		t.Fatalf("the client got status %d before the upstream responded", status)
	default:
	}
	close(release)
	if status := <-responded; status != 200 {
		t.Errorf("the request in flight: status %d", status)
	}
	p.waitForExit()
	if c := p.latestCounters(); c("requests_served") != 2 || c("requests_in_progress") != 0 {
		t.Errorf("counters %v", p.counters())
	}
}

// persistentClient sends requests one after the other on a persistent connection.
// If a connection that was used before is closed while a request is being sent, the client retries once on a new connection.
type persistentClient struct {
	address string
	mayDial func() bool
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // whether the connection has carried a response
}

// outcome is the result of a request of a persistentClient.
type outcome struct {
	sent      bool // whether the request was written to a connection
	responded bool // whether a complete response was received
	err       error
}

// do sends a request and waits for its response.
func (c *persistentClient) do(id string) outcome {
	var err error
	for range 2 {
		if c.conn == nil && !c.dial() {
			return outcome{}
		}
		var response *http.Response
		if response, err = c.exchange(id); err == nil {
			c.used = true
			if response.Close {
				c.close()
			}
			return outcome{sent: true, responded: true}
		}
		mayRetry := c.used && response == nil
		c.close()
		if !mayRetry {
			break
		}
	}
	return outcome{sent: true, err: err}
}

// exchange sends a request and reads its response. The returned response is nil if its head was not received.
func (c *persistentClient) exchange(id string) (*http.Response, error) {
	if _, err := fmt.Fprintf(c.conn, "GET /read HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining: 5\r\n\r\n", id); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// dial opens a new connection, unless new connections are no longer allowed, and reports whether it succeeded.
func (c *persistentClient) dial() bool {
	if !c.mayDial() {
		return false
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	conn.SetDeadline(time.Now().Add(waitTimeout))
	c.conn, c.reader = conn, bufio.NewReader(conn)
	c.used = false
	return true
}

func (c *persistentClient) close() {
	c.conn.Close()
	c.conn = nil
}

// loadTest is a program to which persistent clients send requests.
type loadTest struct {
	*program
	mu           sync.Mutex
	terminatedAt time.Time // time at which SIGTERM was sent, zero before that
	responses    int
}

// connectDuration is the time after SIGTERM in which clients open new connections.
// It is shorter than the 400 ms in which clients of the platform connect, so that a slow machine does not make the test fail.
const connectDuration = 100 * time.Millisecond

// mayDial reports whether clients may open new connections.
func (l *loadTest) mayDial() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.terminatedAt.IsZero() || time.Since(l.terminatedAt) < connectDuration
}

// run sends requests with pauses until one gets no response. It reports an error if that request was sent.
func (l *loadTest) run(client int) {
	c := &persistentClient{address: l.address, mayDial: l.mayDial}
	for n := 0; ; n++ {
		o := c.do(fmt.Sprintf("%d-%d", client, n))
		if o.sent && !o.responded {
			l.t.Errorf("request %d-%d got no response: %v", client, n, o.err)
		}
		if !o.responded {
			return
		}
		l.mu.Lock()
		l.responses++
		l.mu.Unlock()
		time.Sleep(time.Duration(client) * time.Millisecond) // clients with low numbers are always busy, others are often idle
	}
}

// sendSIGTERM sends SIGTERM to the program and records the time.
func (l *loadTest) sendSIGTERM() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cmd.Process.Signal(syscall.SIGTERM)
	l.terminatedAt = time.Now()
}

// No request is lost when the balancer shuts down while clients send requests.
func TestShutdownUnderLoad(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	l := &loadTest{program: start(t, e.config(nil))}
	var clients sync.WaitGroup
	for client := range 40 {
		clients.Go(func() { l.run(client) })
	}
	l.waitFor("200 responses", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.responses > 200
	})
	l.sendSIGTERM()
	clients.Wait()
	l.terminate()
	c := l.latestCounters()
	if c("requests_in_progress") != 0 || c("invariant_violations") != 0 || c("requests_accepted") != c("requests_served")+c("requests_rejected")+c("requests_failed")+c("requests_abandoned") {
		t.Errorf("counters %v", l.counters())
	}
}
