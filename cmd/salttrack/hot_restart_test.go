package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// hotRestartTest is a test in which the processes of one balancer replace each other.
type hotRestartTest struct {
	t           *testing.T
	environment *environment
	listener    *os.File // listening socket that all processes inherit
	address     string   // address of the listening socket
	directory   string   // parent directory of the hot restart records

	stop       chan struct{} // closed to stop the clients
	clients    sync.WaitGroup
	sent, lost atomic.Int64 // numbers of requests that were sent, and that got no response of status 200 or 503
}

// process is one process of the balancer.
type process struct {
	*program
	admin string // address of the admin server
}

// startProcess starts the next process, and waits until it is ready.
// Then it opens 200 connections to its admin server and 40 to its address for clients, and sends an incomplete request on each.
func (h *hotRestartTest) startProcess() *process {
	h.t.Helper()
	addAdmin, admin := withAdmin(h.t)
	path := h.environment.config(func(config map[string]any) {
		addAdmin(config)
		config["listen"] = h.address
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512}
		settingsOf(config)["invariants"].(map[string]any)["cold_ms"] = 200
	})
	p := &process{program: start(h.t, path, withInheritedListener(h.listener, h.directory)), admin: admin}
	p.waitFor("status 200 of the admin server", func() bool { return adminCall(admin, "ready") == 200 })
	for i := range 240 {
		conn, err := net.Dial("tcp", []string{admin, p.address}[i/200])
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(func() { conn.Close() })
		fmt.Fprint(conn, "GET /incomplete")
	}
	return p
}

// startLoad starts clients that send requests one after the other on persistent connections, until stopLoad is called.
// If the balancer closes a connection while a request is being sent, the HTTP client retries the request.
func (h *hotRestartTest) startLoad(p *process) {
	for i := range 8 {
		h.clients.Go(func() {
			for {
				select {
				case <-h.stop:
					return
				case <-time.After(time.Millisecond):
				}
				if status, _ := p.do("read", fmt.Sprint("load", i, "-", h.sent.Add(1))); status != 200 && status != 503 {
					h.lost.Add(1)
				}
			}
		})
	}
}

// stopLoad stops the clients, and checks that each request got a response of status 200 or 503.
func (h *hotRestartTest) stopLoad() {
	h.t.Helper()
	close(h.stop)
	h.clients.Wait()
	if h.lost.Load() != 0 || h.sent.Load() < 100 {
		h.t.Errorf("%d of %d requests got no response of status 200 or 503, want 0 of at least 100", h.lost.Load(), h.sent.Load())
	}
}

// replace starts a new process, terminates the old one, and returns the new one.
// It checks that an override which is set in either process comes into force in the other.
func (h *hotRestartTest) replace(old *process) *process {
	h.t.Helper()
	next := h.startProcess()
	h.expectAdmin(old, "upstreams/s-1/offline", 200)
	next.waitFor("the override of the old process", func() bool { return strings.Contains(next.log.String(), "upstream=s-1") })
	h.expectAdmin(next, "upstreams/s-1/online", 200)
	old.waitFor("the override of the new process", func() bool {
		return strings.Contains(old.log.String(), `"upstream enabled by operator" name=n1 upstream=s-1`)
	})
	old.terminate()
	if !strings.Contains(old.log.String(), "has_successor=true") {
		h.t.Errorf("the old process shut down without knowing its successor; log:\n%s", old.log)
	}
	return next
}

// expectAdmin sends a request to the admin server of a process, and checks the status of the response.
func (h *hotRestartTest) expectAdmin(p *process, path string, want int) {
	h.t.Helper()
	if status := adminCall(p.admin, path); status != want {
		h.t.Errorf("%s: status %d, want %d", path, status, want)
	}
}

// Processes replace each other three times under load, with an inherited listening socket.
// No request is lost, and overrides are in force in all processes: a disabled upstream gets no requests until it is enabled.
// The admin servers respond although 200 clients hold connections with incomplete requests.
// A connection that is opened while no process runs is served by the next process.
func TestHotRestarts(t *testing.T) {
	e := newEnvironment(t, echo, echo, echo)
	h := &hotRestartTest{t: t, environment: e, directory: t.TempDir(), stop: make(chan struct{})}
	h.listener, h.address = listenerFile(t)
	p := h.startProcess()
	if p.requestsToFirst(e, "before") == 0 {
		t.Error("the upstream gets no requests before it is disabled")
	}
	for path, want := range map[string]int{"upstreams/s-9/offline": 404, "upstreams/s-0/offline": 200, "upstreams/s%2d0/offline": 200} {
		h.expectAdmin(p, path, want)
	}
	before := e.upstreams[0].requests.Load()
	h.startLoad(p)
	for range 3 {
		p = h.replace(p)
	}
	h.stopLoad()
	if n := e.upstreams[0].requests.Load() - before; n != 0 {
		t.Errorf("a disabled upstream got %d requests", n)
	}
	h.expectAdmin(p, "upstreams/s-0/online", 200)
	p.waitFor("requests to the enabled upstream", func() bool { return p.requestsToFirst(e, fmt.Sprint(time.Now().UnixNano())) > 0 })
	p.terminate()
	if p.latestCounters()("invariant_violations") != 0 {
		t.Error("invariants were violated")
	}
	h.expectQueuedConnectionServed()
}

// expectQueuedConnectionServed opens a connection while no process runs, and checks that the next process serves it.
func (h *hotRestartTest) expectQueuedConnectionServed() {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer conn.Close()
	served := make(chan error, 1)
	go func() {
		fmt.Fprint(conn, "GET /-/ready HTTP/1.1\r\n\r\n")
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		served <- err
	}()
	p := h.startProcess()
	if err := <-served; err != nil {
		h.t.Errorf("the queued connection got no response: %v", err)
	}
	p.terminate()
}
