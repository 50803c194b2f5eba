package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// runCounter counts how often an upstream has run each request, by its id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// serve is the handler of an upstream that takes some time for each request.
func (c *runCounter) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.runs[r.Header.Get("X-Txn")]++
	c.mu.Unlock()
	time.Sleep(holdDuration)
	echo(w, r)
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// sendPay sends a request that must not run twice on a new connection to an address.
func sendPay(t *testing.T, address, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: pay\r\nX-Remaining: 4\r\nContent-Length: 1\r\n\r\n1", id)
	return conn
}

// payStatus sends a request like sendPay, and returns the status of its response.
func payStatus(t *testing.T, address, id string) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(sendPay(t, address, id)), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// Guards against a request that runs twice, because its id comes again after its client has left or has got its response.
func TestRepeatedIDIsNotRunAgain(t *testing.T) {
	c := &runCounter{runs: map[string]int{}}
	p := start(t, newEnvironment(t, c.serve).config(nil))
	left := sendPay(t, p.address, "left")
	p.waitFor("the request at the upstream", func() bool { return c.of("left") == 1 })
	left.Close()
	p.waitFor("the end of the request", func() bool {
		p.requestCounters()
		return p.latestCounters()("requests_in_progress") == 0
	})
	if status := payStatus(t, p.address, "served"); status != http.StatusOK {
		t.Errorf("a new id: status %d", status)
	}
	for _, id := range []string{"left", "served"} {
		if status := payStatus(t, p.address, id); status != http.StatusConflict || c.of(id) != 1 {
			t.Errorf("%s again: status %d, run %d times", id, status, c.of(id))
		}
	}
}

// Guards against a request that runs twice, because its id comes again at the other process of a hot restart.
func TestRepeatedIDIsNotRunAgainByNextProcess(t *testing.T) {
	c := &runCounter{runs: map[string]int{}}
	h := &hotRestartTest{t: t, environment: newEnvironment(t, c.serve), directory: t.TempDir()}
	h.listener, h.address = listenerFile(t)
	old := h.startProcess()
	left := sendPay(t, h.address, "left")
	old.waitFor("the request at the upstream", func() bool { return c.of("left") == 1 })
	next := h.startProcess()
	left.Close()
	old.terminate()
	if status := payStatus(t, h.address, "left"); status != http.StatusConflict || c.of("left") != 1 {
		t.Errorf("the id at the next process: status %d, run %d times", status, c.of("left"))
	}
	if status := payStatus(t, h.address, "new"); status != http.StatusOK {
		t.Errorf("a new id at the next process: status %d", status)
	}
	next.terminate()
}

// A request that has not run may come again with its id.
func TestIDOfRequestThatHasNotRunMayComeAgain(t *testing.T) {
	rejects := true
	p := start(t, newEnvironment(t, func(w http.ResponseWriter, r *http.Request) {
		if rejects {
			w.Header().Set("X-Turned-Away", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	}).config(nil))
	if status := payStatus(t, p.address, "again"); status != http.StatusServiceUnavailable {
		t.Errorf("rejected by the upstream: status %d", status)
	}
	rejects = false
	p.waitFor("the response to the repeated request", func() bool { return payStatus(t, p.address, "again") == http.StatusOK })
}
