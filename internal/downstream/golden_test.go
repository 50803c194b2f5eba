package downstream

import (
	"io"
	"strings"
	"testing"

	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
)

const (
	readyRequest  = "GET /-/ready HTTP/1.1\r\n\r\n"
	readyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// expectBytes reads a response byte for byte. After it the connection has to close if the response says so, and else to serve the
// next request.
func (c *client) expectBytes(name, want string) {
	c.t.Helper()
	closes := strings.Contains(want, "Connection: close\r\n")
	if !closes {
		c.send(readyRequest)
		want += readyResponse
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c.in, got); err != nil || string(got) != want {
		c.t.Errorf("%s: %v\ngot  %q\nwant %q", name, err, got[:n], want)
		return
	}
	if closes {
		c.expectEOF()
	}
}

// statusLine is the first line of a response.
func statusLine(line string) string { return "HTTP/1.1 " + line + "\r\n" }

// The exact bytes of a response by the disposition of its exchange.
func TestResponseBytesByDisposition(t *testing.T) {
	const closes = "Connection: close\r\n"
	old := strings.Replace(getRequest("1"), "HTTP/1.1", "HTTP/1.0", 1)
	for _, tt := range []struct {
		name, in string
		response exchange.Response
		want     string
	}{
		{"served", getRequest("1"), exchange.Response{Disposition: exchange.Served, Body: []byte("abc")},
			statusLine("200 OK") + "Content-Length: 3\r\n\r\nabc"},
		{"served, empty", getRequest("1"), exchange.Response{Disposition: exchange.Served}, statusLine("200 OK") + "Content-Length: 0\r\n\r\n"},
		{"served, HTTP/1.0", old, exchange.Response{Disposition: exchange.Served, Body: []byte("abc")},
			statusLine("200 OK") + "Content-Length: 3\r\n" + closes + "\r\nabc"},
		{"served, HTTP/1.0 keep-alive", strings.Replace(old, "Host: x", "Connection: keep-alive", 1), exchange.Response{Disposition: exchange.Served},
			statusLine("200 OK") + "Content-Length: 0\r\n\r\n"},
		{"served, Connection: close", strings.Replace(getRequest("1"), "Host: x", "Connection: close", 1), exchange.Response{Disposition: exchange.Served},
			statusLine("200 OK") + "Content-Length: 0\r\n" + closes + "\r\n"},
		{"rejected", getRequest("1"), exchange.Response{Disposition: exchange.Rejected}, statusLine("503 Service Unavailable") + "Content-Length: 0\r\n\r\n"},
		{"rejected, with Retry-After", getRequest("1"), exchange.Response{Disposition: exchange.Rejected, RetryAfter: 1250},
			statusLine("503 Service Unavailable") + "Content-Length: 0\r\nRetry-After: 1.250\r\n\r\n"},
		{"failed", getRequest("1"), exchange.Response{Disposition: exchange.Failed}, statusLine("502 Bad Gateway") + "Content-Length: 0\r\n\r\n"},
		{"invalid", getRequest("1"), exchange.Response{Disposition: exchange.Failed, InvalidRequest: true},
			statusLine("400 Bad Request") + "Content-Length: 0\r\n\r\n"},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		c.send(tt.in)
		x := s.nextExchange()
		s.Do(func() { x.Respond(tt.response) })
		c.expectBytes(tt.name, tt.want)
	}
}

// The exact bytes of streamed responses: sized, chunked, and up to the end of the connection for a client of HTTP/1.0.
func TestStreamedResponseBytes(t *testing.T) {
	first, rest := strings.Repeat("a", 70000), strings.Repeat("b", 1000)
	old := strings.Replace(getRequest("1"), "HTTP/1.1", "HTTP/1.0", 1)
	for _, tt := range []struct {
		name, in string
		length   int64
		want     string
	}{
		{"sized", getRequest("1"), 71000, "Content-Length: 71000\r\n\r\n" + first + rest},
		{"chunked", getRequest("1"), -1, "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + first + "\r\n3e8\r\n" + rest + "\r\n0\r\n\r\n"},
		{"sized, HTTP/1.0", old, 71000, "Content-Length: 71000\r\nConnection: close\r\n\r\n" + first + rest},
		{"no length, HTTP/1.0", old, -1, "Connection: close\r\n\r\n" + first + rest},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		c.send(tt.in)
		x := s.nextExchange()
		f := bodystream.New(s.server.Buffers, tt.length)
		f.Prepend([]byte(first))
		s.Do(func() { x.Respond(exchange.Response{Disposition: exchange.Served, Stream: f}) })
		for written := false; !written; {
			s.Do(func() {
				if written = f.Available() > 0; written {
					f.Write([]byte(rest))
					f.Flush()
					f.Finish()
				}
			})
		}
		c.expectBytes(tt.name, statusLine("200 OK")+tt.want)
	}
}

// The exact bytes that response requests which never become an exchange.
func TestResponseBytesWithoutExchange(t *testing.T) {
	const kept, last = "Content-Length: 0\r\n\r\n", "Content-Length: 0\r\nConnection: close\r\n\r\n"
	s := newTestServer(t, 64, 4)
	for in, want := range map[string]string{
		readyRequest:                                                               statusLine("200 OK") + kept,
		"HEAD /-/ready HTTP/1.1\r\n\r\n":                                           statusLine("405 Method Not Allowed") + kept,
		"GET /-/other HTTP/1.1\r\n\r\n":                                            statusLine("404 Not Found") + kept,
		strings.ReplaceAll(getRequest("1"), "read", "none"):                        statusLine("400 Bad Request") + kept,
		strings.Replace(getRequest("1"), "GET", "PUT", 1):                          statusLine("405 Method Not Allowed") + kept,
		"GET / HTTP/2.0\r\n\r\n":                                                   statusLine("505 HTTP Version Not Supported") + last,
		"nonsense\r\n\r\n":                                                         statusLine("400 Bad Request") + last,
		postWithKey + "Transfer-Encoding: gzip\r\n\r\n":                            statusLine("501 Not Implemented") + last,
		postWithKey + "Expect: miracles\r\n\r\n":                                   statusLine("417 Expectation Failed") + last,
		postWithKey + "Content-Length: 99999999\r\n\r\n":                           statusLine("413 Content Too Large") + last,
		postWithKey + "A: " + strings.Repeat("x", http1.MaxHeadBytes) + "\r\n\r\n": statusLine("431 Request Header Fields Too Large") + last,
	} {
		c := s.connect()
		c.send(in)
		c.expectBytes(in[:min(len(in), 60)], want)
	}
	s.connect().send(getRequest("7"))
	s.nextExchange()
	c := s.connect()
	c.send(getRequest("7"))
	c.expectBytes("duplicate request id", statusLine("409 Conflict")+kept)
	c = s.connect()
	c.send("GET /read")
	s.waitForPartialRequest()
	s.AdvanceTimers(requestTimeout + 1)
	c.expectBytes("partial request", statusLine("408 Request Timeout")+last)
}

// The exact bytes of the readiness check of an instance that is not ready.
func TestNotReadyBytes(t *testing.T) {
	s := newTestServer(t, 64, 4)
	s.Do(func() { s.server.Options.Synced = func() bool { return false } })
	c := s.connect()
	c.send(readyRequest)
	want := statusLine("503 Service Unavailable") + "Content-Length: 0\r\n\r\n"
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != want {
		t.Errorf("%v %q", err, got)
	}
}

// The exact bytes of 100 Continue and of the final response behind it.
func TestContinueBytes(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	interim := make([]byte, len(http1.ContinueResponse))
	if _, err := io.ReadFull(c.in, interim); err != nil || string(interim) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Errorf("%v %q", err, interim)
	}
	c.send("ab")
	s.serve(s.nextExchange(), "done")
	c.expectBytes("final response", statusLine("200 OK")+"Content-Length: 4\r\n\r\ndone")
}
