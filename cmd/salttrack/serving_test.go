package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Requests of both classes are served, a request of an unknown class is rejected, and the counters are consistent.
func TestServes(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := start(t, e.config(nil))
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
			id := fmt.Sprint("t", i)
			class, want := "read", "GET "+id+" "
			if i%2 == 0 {
				class, want = "pay", "POST "+id+" payload"
			}
			if status, body := p.do(class, id); status != 200 && status != 503 || status == 200 && body != want {
				t.Errorf("%s: %d %q", id, status, body)
			}
		})
	}
	clients.Wait()
	p.expectStatus("none", "x", 400)
	p.requestCounters()
	p.terminate()
	c := p.latestCounters()
	if c("requests_accepted") != 40 || c("requests_accepted") != c("requests_served")+c("requests_rejected")+c("requests_failed")+c("requests_abandoned")+c("requests_in_progress") || c("requests_malformed") != 1 ||
		c("requests_in_progress") != 0 || c("invariant_violations") != 0 || c("requests_served") != c("attempts_ended_ok") || c("requests_served") == 0 {
		t.Errorf("counters %v", p.counters())
	}
}

// No request goes to an upstream once discovery lists it as draining or terminated.
func TestDrainingUpstream(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := start(t, e.config(nil))
	for i, phase := range []string{"terminating", "terminated"} {
		e.sendUpdate(`{"revision":2,"complete":false,"members":[` + e.endpoint(0, phase) + `]}`)
		p.waitFor("the endpoint update", func() bool {
			p.cmd.Process.Signal(syscall.SIGUSR1)
			time.Sleep(5 * time.Millisecond)
			return p.counters()["endpoint_updates"] >= 3+i // updates from the cached list, the first snapshot and the changes so far
		})
		if n := p.requestsToFirst(e, phase); n != 0 {
			t.Errorf("an upstream in the phase %s got %d requests, want 0", phase, n)
		}
	}
	p.terminate()
}

// While discovery is down, the balancer serves requests with the cached endpoint list.
func TestCachedEndpointList(t *testing.T) {
	e := newEnvironment(t, echo)
	e.discovery.Close()
	p := start(t, e.config(func(config map[string]any) {
		var endpoint any
		json.Unmarshal([]byte(e.endpoint(0, "in_service")), &endpoint)
		config["known"].(map[string]any)["members"] = []any{endpoint}
	}))
	p.expectStatus("read", "1", 200)
	p.terminate()
	if !strings.Contains(p.log.String(), "discovery watch failed") {
		t.Error("the log does not report the failed watch")
	}
}

// If one of two upstreams has stopped and refuses connections, the other one serves the requests.
func TestDeadUpstream(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := start(t, e.config(nil))
	for i := range 40 {
		p.do("read", fmt.Sprint("warmup", i))
	}
	e.upstreams[0].server.Close()
	served := 0
	for i := range 40 {
		if status, _ := p.do("pay", fmt.Sprint(i)); status == 200 {
			served++
		}
	}
	if served < 30 {
		t.Errorf("%d of 40 requests served with one of two upstreams stopped, want at least 30", served)
	}
	p.terminate()
}

// Guards against timers that run before events after a hold-up: a response that arrived while the program was stopped is read
// before the timeout of its attempt is handled, although SIGCONT interrupts the wait for events.
func TestResponseArrivesWhileStopped(t *testing.T) {
	release := make(chan struct{})
	e := newEnvironment(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "late")
	})
	p := start(t, e.config(nil))
	type answer struct {
		status int
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		response, err := p.send(request{class: "pay", path: "x", id: "held", remaining: "0.4", body: strings.NewReader("payload")})
		if err != nil {
			answers <- answer{err: err}
			return
		}
		response.Body.Close()
		answers <- answer{status: response.StatusCode}
	}()
	p.waitFor("the request at the upstream", func() bool { return e.upstreams[0].requests.Load() > 0 })
	p.cmd.Process.Signal(syscall.SIGSTOP)
	close(release)
	time.Sleep(500 * time.Millisecond) // past the timeout of the attempt
	p.cmd.Process.Signal(syscall.SIGCONT)
	if got := <-answers; got.status != http.StatusOK {
		t.Errorf("status %d, %v, want 200: the response arrived before the timeout was handled", got.status, got.err)
	}
}
