package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// bodyBuffering is how long the tests wait until the program has read what it can of a request that its upstream does not read.
const bodyBuffering = 300 * time.Millisecond

// rejection is the response of an upstream that has not executed the request.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"

// hijack returns the connection of a request, whose body has not been read. The handler has to close it.
func hijack(w http.ResponseWriter) *net.TCPConn {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return conn.(*net.TCPConn)
}

// rejectWithoutReading is the handler of an upstream that rejects a request before it has read the body.
func rejectWithoutReading(w http.ResponseWriter, _ *http.Request) {
	conn := hijack(w)
	time.Sleep(bodyBuffering)
	io.WriteString(conn, rejection)
	time.AfterFunc(waitTimeout, func() { conn.Close() })
}

// neverRead is the handler of an upstream that neither reads the body of a request nor responds.
func neverRead(w http.ResponseWriter, _ *http.Request) {
	conn := hijack(w)
	time.AfterFunc(waitTimeout, func() { conn.Close() })
}

// sendLongRequest sends a request with a body of the given length in bytes on a connection of its own.
// It returns the connection without having waited for the response. A write error is ignored: the response may come first.
func (p *program) sendLongRequest(id, remaining string, length int) net.Conn {
	conn := p.dial()
	fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: pay\r\nX-Remaining: %s\r\nContent-Length: %d\r\n\r\n", id, remaining, length)
	go conn.Write(streamedBody()[:length])
	return conn
}

// Guards against buffers of streamed request bodies that are never returned: an attempt may end before it has sent the
// last bytes of a body that has been received completely, as the upstream rejects the request or the client disconnects.
// With all buffers gone, no long request and no long response is forwarded any more.
func TestBodyBuffersAreReturned(t *testing.T) {
	const shortest, longest, step = 96 << 10, 1 << 20, 16 << 10 // of some lengths the last bytes are in a buffer when the attempt ends
	for _, tt := range []struct {
		name         string
		upstream     http.HandlerFunc
		clientLeaves bool
	}{
		{"upstream rejects early", rejectWithoutReading, false},
		{"client disconnects", neverRead, true},
	} {
		e := newEnvironment(t, tt.upstream)
		p := start(t, e.config(nil))
		var clients sync.WaitGroup
		for length := longest; length >= shortest; length -= step { // short ones last: those that are complete count as load
			conn := p.sendLongRequest(fmt.Sprint("long", length), "4.0", length)
			clients.Go(func() {
				if tt.clientLeaves {
					time.Sleep(bodyBuffering)
				} else {
					conn.SetReadDeadline(time.Now().Add(waitTimeout))
					http.ReadResponse(bufio.NewReader(conn), nil)
				}
				conn.Close()
			})
		}
		clients.Wait()
		p.waitFor("the end of all requests", func() bool {
			p.requestCounters()
			return p.latestCounters()("requests_in_progress") == 0
		})
		if c := p.latestCounters(); c("body_buffers_in_use") != 0 || c("client_requests_streamed") == 0 {
			t.Errorf("%s: %d buffers in use without a request in progress, after %d streamed requests", tt.name,
				c("body_buffers_in_use"), c("client_requests_streamed"))
		}
	}
}
