package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

const (
	slowPeersMemory = 16      // memory limit in MB; an eighth of it at most is for buffers of streamed bodies, which are 64 of 32 KiB
	slowPeers       = 100     // peers that read nothing, more than there are buffers
	longBodyBytes   = 4 << 20 // more than the kernel's buffers hold
	maxHold         = 2 * time.Second
)

// serveLong is an upstream's handler that responds to a GET with a long body, and reads a POST if its path ends with "read".
func serveLong(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == "GET":
		w.Header().Set("Content-Length", strconv.Itoa(longBodyBytes))
		w.Write(streamedBody()[:longBodyBytes])
	case r.URL.Path == "/pay/read":
		echo(w, r)
	default:
		neverRead(w, r)
	}
}

// startWithFewBuffers starts a program that has fewer buffers of streamed bodies than slowPeers.
func startWithFewBuffers(t *testing.T) *program {
	e := newEnvironment(t, serveLong)
	return start(t, e.config(func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": slowPeersMemory, "sockets": 1024}
	}))
}

// expectLongBodiesPass checks that a long response and a long request pass without a pause.
func (p *program) expectLongBodiesPass(what string) {
	p.t.Helper()
	started := time.Now()
	response, err := p.send(request{class: "read", path: "x", id: "response", remaining: "4"})
	if err != nil || response.StatusCode != http.StatusOK {
		p.t.Fatalf("%s: response %v, %v", what, response, err)
	}
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != longBodyBytes || time.Since(started) > maxHold {
		p.t.Errorf("%s: %d bytes of the response after %v, %v", what, n, time.Since(started), err)
	}
	started = time.Now()
	body := io.LimitReader(neverEnding{}, 1<<20)
	response, err = p.send(request{class: "pay", path: "read", id: "request", remaining: "4", body: body})
	if err != nil || response.StatusCode != http.StatusOK || time.Since(started) > maxHold {
		p.t.Errorf("%s: response %v to the request after %v, %v", what, response, time.Since(started), err)
	}
}

// neverEnding is a reader of zeros.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against long bodies that stand still, because clients that do not read their responses hold all buffers.
func TestLongBodiesPassBesideClientsThatDoNotRead(t *testing.T) {
	p := startWithFewBuffers(t)
	for n := range slowPeers {
		conn := p.dial()
		conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nX-Txn: slow%d\r\nX-Lane: read\r\nX-Remaining: 4\r\n\r\n", n)
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(bodyBuffering)
	p.expectLongBodiesPass("beside clients that do not read")
}

// Guards against long bodies that stand still, because requests to an upstream that does not read them hold all buffers.
func TestLongBodiesPassBesideRequestsThatAreNotRead(t *testing.T) {
	p := startWithFewBuffers(t)
	for n := range slowPeers {
		p.sendLongRequest(fmt.Sprint("slow", n), "4", longBodyBytes)
	}
	time.Sleep(bodyBuffering)
	p.expectLongBodiesPass("beside requests that are not read")
}
