package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxDescriptors is the number of descriptors that withFewDescriptors allows.
const maxDescriptors = 128

// withFewDescriptors changes a configuration to low limits of descriptors and memory.
func withFewDescriptors(config map[string]any) {
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": maxDescriptors}
}

// descriptors returns the number of open descriptors of the program.
func (p *program) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// openIdleConnections opens n connections, on which it sends nothing or an incomplete request.
// It checks that the program keeps its limit of descriptors.
func (p *program) openIdleConnections(n int) []net.Conn {
	p.t.Helper()
	var idle []net.Conn
	for i := range n {
		conn := p.dial()
		idle = append(idle, conn)
		if i%3 == 0 {
			io.WriteString(conn, "GET /read HTTP/1.1\r\nX-Txn: half")
		}
		if n := p.descriptors(); n > maxDescriptors {
			p.t.Fatalf("%d descriptors are open, the limit is %d", n, maxDescriptors)
		}
	}
	return idle
}

// Guards against running out of descriptors because of idle clients, of which there are more than descriptors.
// The limit of descriptors is kept, and a client that sends a complete request is served.
// A broken watch still gets a descriptor to reconnect, so that the balancer learns of a draining endpoint.
func TestManyIdleClients(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := start(t, e.config(withFewDescriptors))
	idle := p.openIdleConnections(400)
	http.DefaultClient.CloseIdleConnections() // makes the next request open a new connection
	p.waitFor("response to a client among many idle ones", func() bool {
		status, _ := p.do("read", "1")
		return status == 200
	})
	if n := p.descriptors(); n > maxDescriptors {
		t.Errorf("%d descriptors are open, the limit is %d", n, maxDescriptors)
	}
	e.breakWatches()
	e.sendUpdate(`{"revision":2,"complete":false,"members":[` + e.endpoint(0, "terminating") + `]}`)
	p.waitFor("the end of requests to a draining endpoint while idle clients use the descriptors", func() bool {
		before, served := e.upstreams[0].requests.Load(), 0
		for n := range 10 {
			if status, _ := p.do("read", fmt.Sprint("d", n)); status == 200 {
				served++
			}
		}
		return e.upstreams[0].requests.Load() == before && served == 10
	})
	for _, conn := range idle {
		conn.Close()
	}
	p.terminate()
	if c := p.latestCounters(); c("watch_requests") < 2 || c("client_connections_shed") < 200 || c("invariant_violations") != 0 {
		t.Errorf("counters %v", p.counters())
	}
}

// statusCounts counts responses by HTTP status.
type statusCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *statusCounts) add(status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[status]++
}

// sendPayments sends three requests of class pay, with bodies of 60,000 bytes, on one connection.
// It counts the statuses of the responses, and stops early if the balancer closes the connection.
func (p *program) sendPayments(client int, statuses *statusCounts) {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Error(err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	reader := bufio.NewReader(conn)
	for n := range 3 {
		fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nX-Txn: %d-%d\r\nX-Lane: pay\r\nX-Remaining: 0.5\r\nContent-Length: 60000\r\n\r\n%s",
			client, n, strings.Repeat("x", 60000))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.t.Errorf("request %d-%d: %v", client, n, err)
			return
		}
		io.Copy(io.Discard, response.Body)
		statuses.add(response.Status[:3])
		if response.Close {
			return
		}
	}
}

// Guards against exhausted descriptors and memory when all upstreams accept requests and never respond.
// Each request still gets one response before its deadline.
func TestUnresponsiveUpstreams(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	e := newEnvironment(t, hang, hang, hang)
	p := start(t, e.config(withFewDescriptors))
	statuses := &statusCounts{counts: map[string]int{}}
	var clients sync.WaitGroup
	for client := range 150 {
		clients.Go(func() { p.sendPayments(client, statuses) })
	}
	clients.Wait()
	if c := statuses.counts; c["502"] == 0 || len(c) > 2 || c["200"] > 0 {
		t.Errorf("responses by status: %v, want 502 and at most one other, not 200", c)
	}
	if n := p.descriptors(); n > maxDescriptors {
		t.Errorf("%d descriptors are open, the limit is %d", n, maxDescriptors)
	}
	p.terminate()
	c := p.latestCounters()
	if c("requests_accepted") != c("requests_rejected")+c("requests_failed")+c("requests_abandoned") || c("requests_in_progress") != 0 || c("upstream_connections_open") != 0 {
		t.Errorf("counters %v", p.counters())
	}
}

// Clients that send their requests byte by byte do not delay other clients.
func TestSlowClients(t *testing.T) {
	e := newEnvironment(t, echo)
	p := start(t, e.config(nil))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 50 {
		clients.Go(func() {
			conn, err := net.Dial("tcp", p.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			for _, b := range []byte("GET /read/" + strings.Repeat("a", 5000)) {
				select {
				case <-stop:
					return
				default:
					conn.Write([]byte{b})
				}
			}
		})
	}
	for i := range 50 {
		p.expectStatus("read", fmt.Sprint(i), 200)
	}
	close(stop)
	clients.Wait()
	p.terminate()
}
