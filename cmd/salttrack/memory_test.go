package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	memoryLimitMB     = 32
	memoryDescriptors = 1024
	memoryClients     = 700 // as many as the descriptors allow, with room for upstreams
	memoryBodyBytes   = 64000
	memoryTestTime    = 2500 * time.Millisecond
)

// buildProgram builds the program without the race detector, which multiplies the memory in use, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "salttrack")
	if output, err := exec.Command("go", "build", "-race=false", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return path
}

// writeInParts writes a text slowly.
func writeInParts(conn net.Conn, text string) {
	const parts = 50
	for size := len(text) / parts; len(text) > 0; time.Sleep(memoryTestTime / (2 * parts)) {
		part := text[:min(size, len(text))]
		text = text[len(part):]
		io.WriteString(conn, part)
	}
}

// readSlowly reads some bytes of a response from time to time.
func readSlowly(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(memoryTestTime))
	for p := make([]byte, 4<<10); ; time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(p); err != nil {
			return
		}
	}
}

const (
	memoryPost  = "POST /pay/x HTTP/1.1\r\nX-Txn: %d\r\nX-Lane: pay\r\nX-Remaining: 2\r\n"
	memorySized = "Content-Length: 64000\r\n\r\n" // memoryBodyBytes
)

// heavyClients are clients that make the program buffer much, by what they do.
var heavyClients = map[string]func(conn net.Conn, n int){
	"body sent slowly": func(conn net.Conn, n int) {
		fmt.Fprintf(conn, memoryPost+memorySized, n)
		writeInParts(conn, strings.Repeat("a", memoryBodyBytes))
	},
	"half of a body": func(conn net.Conn, n int) {
		fmt.Fprintf(conn, memoryPost+"Transfer-Encoding: chunked\r\n\r\n1fff0\r\n", n)
		io.WriteString(conn, strings.Repeat("a", memoryBodyBytes))
		time.Sleep(memoryTestTime)
	},
	"head of many fields": func(conn net.Conn, n int) {
		fmt.Fprintf(conn, memoryPost+strings.Repeat("a:b\r\n", 3000), n)
		time.Sleep(memoryTestTime)
	},
	"many requests at once": func(conn net.Conn, n int) {
		conn.SetDeadline(time.Now().Add(memoryTestTime))
		for i := range 1000 {
			fmt.Fprintf(conn, memoryPost+"Content-Length: 0\r\n\r\n", n*1000+i)
		}
		readSlowly(conn)
	},
	"response read slowly": func(conn net.Conn, n int) {
		fmt.Fprintf(conn, memoryPost+memorySized, n)
		io.WriteString(conn, strings.Repeat("a", memoryBodyBytes))
		readSlowly(conn)
	},
	"long response read slowly": func(conn net.Conn, n int) {
		fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nX-Txn: %d\r\nX-Lane: read\r\nX-Remaining: 2\r\n\r\n", n)
		readSlowly(conn)
	},
}

// Guards against a process that passes its memory limit: hundreds of clients send a body slowly, stop half way through one, send
// heads of very many fields, send many requests at once, or read responses slowly.
func TestMemoryLimitIsKept(t *testing.T) {
	binary := buildProgram(t)
	for name, client := range heavyClients {
		e := newEnvironment(t, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho)
		p := start(t, e.config(func(config map[string]any) {
			config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": memoryDescriptors}
		}), func(c *exec.Cmd) { c.Path = binary })
		p.playClients(memoryClients, client)
		peakMB := p.usage().peakMB
		t.Logf("%s: peak memory %.1f MB", name, peakMB)
		if peakMB > memoryLimitMB {
			t.Errorf("%s: peak memory %.1f MB, the limit is %d MB", name, peakMB, memoryLimitMB)
		}
		p.expectStatus("read", "afterwards", 200)
		p.terminate()
		p.expectNothingInFlight()
		if buffered := p.latestCounters()("buffered_bytes"); buffered != 0 {
			t.Errorf("%s: %d bytes are still counted as buffered", name, buffered)
		}
	}
}

// playClients runs a number of clients at once, each on a connection of its own with a small receive buffer.
func (p *program) playClients(count int, client func(conn net.Conn, n int)) {
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() {
			conn, err := net.Dial("tcp", p.address)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.(*net.TCPConn).SetReadBuffer(16 << 10)
			client(conn, n)
		})
	}
	clients.Wait()
}

// serveLongOrEcho is an upstream's handler that responds to a GET with a long body, and to a POST with the body of the request.
func serveLongOrEcho(w http.ResponseWriter, r *http.Request) {
	if r.Method == "GET" {
		serveLong(w, r)
		return
	}
	echo(w, r)
}
