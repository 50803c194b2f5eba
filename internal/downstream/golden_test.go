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

// expectBytes checks that the next response has exactly the expected bytes.
// If it contains Connection: close, the server has to close the connection after it, otherwise to serve another request.
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

// statusLine returns the status line with a status code and a reason phrase.
func statusLine(status string) string { return "HTTP/1.1 " + status + "\r\n" }

// The response for each disposition of an exchange must consist of exactly the expected bytes.
func TestResponseBytesByDisposition(t *testing.T) {
	const closes = "Connection: close\r\n"
	http10 := strings.Replace(getRequest("1"), "HTTP/1.1", "HTTP/1.0", 1)
	for _, tt := range []struct {
		name, in string
		response exchange.Response
		want     string
	}{
		{"served", getRequest("1"), exchange.Response{Disposition: exchange.Served, Body: []byte("abc")},
			statusLine("200 OK") + "Content-Length: 3\r\n\r\nabc"},
		{"served, empty", getRequest("1"), exchange.Response{Disposition: exchange.Served}, statusLine("200 OK") + "Content-Length: 0\r\n\r\n"},
		{"served, HTTP/1.0", http10, exchange.Response{Disposition: exchange.Served, Body: []byte("abc")},
			statusLine("200 OK") + "Content-Length: 3\r\n" + closes + "\r\nabc"},
		{"served, HTTP/1.0 keep-alive", strings.Replace(http10, "Host: x", "Connection: keep-alive", 1), exchange.Response{Disposition: exchange.Served},
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

// Streamed responses must consist of exactly the expected bytes, with Content-Length and with chunked transfer coding.
// To an HTTP/1.0 client a body of unknown length ends with the connection.
func TestStreamedResponseBytes(t *testing.T) {
	first, rest := strings.Repeat("a", 70000), strings.Repeat("b", 1000)
	http10 := strings.Replace(getRequest("1"), "HTTP/1.1", "HTTP/1.0", 1)
	for _, tt := range []struct {
		name, in string
		length   int64
		want     string
	}{
		{"known length", getRequest("1"), 71000, "Content-Length: 71000\r\n\r\n" + first + rest},
		{"chunked", getRequest("1"), -1, "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + first + "\r\n3e8\r\n" + rest + "\r\n0\r\n\r\n"},
		{"known length, HTTP/1.0", http10, 71000, "Content-Length: 71000\r\nConnection: close\r\n\r\n" + first + rest},
		{"unknown length, HTTP/1.0", http10, -1, "Connection: close\r\n\r\n" + first + rest},
	} {
		s := newTestServer(t, 64, 4)
		c := s.connect()
		c.send(tt.in)
		x := s.nextExchange()
		stream := bodystream.New(s.server.Buffers, tt.length)
		stream.Prepend([]byte(first), nil)
		s.Do(func() { x.Respond(exchange.Response{Disposition: exchange.Served, Stream: stream}) })
		for written := false; !written; {
			s.Do(func() {
				if written = stream.Available() > 0; written {
					stream.Write([]byte(rest))
					stream.Flush()
					stream.Finish()
				}
			})
		}
		c.expectBytes(tt.name, statusLine("200 OK")+tt.want)
	}
}

// The responses to requests without an exchange must consist of exactly the expected bytes.
func TestResponseBytesWithoutExchange(t *testing.T) {
	const keepAlive, closes = "Content-Length: 0\r\n\r\n", "Content-Length: 0\r\nConnection: close\r\n\r\n"
	s := newTestServer(t, 64, 4)
	for in, want := range map[string]string{
		readyRequest:                                                               statusLine("200 OK") + keepAlive,
		"HEAD /-/ready HTTP/1.1\r\n\r\n":                                           statusLine("405 Method Not Allowed") + keepAlive,
		"GET /-/other HTTP/1.1\r\n\r\n":                                            statusLine("404 Not Found") + keepAlive,
		strings.ReplaceAll(getRequest("1"), "read", "none"):                        statusLine("400 Bad Request") + keepAlive,
		strings.Replace(getRequest("1"), "GET", "PUT", 1):                          statusLine("405 Method Not Allowed") + keepAlive,
		"GET / HTTP/2.0\r\n\r\n":                                                   statusLine("505 HTTP Version Not Supported") + closes,
		"nonsense\r\n\r\n":                                                         statusLine("400 Bad Request") + closes,
		postWithKey + "Transfer-Encoding: gzip\r\n\r\n":                            statusLine("501 Not Implemented") + closes,
		postWithKey + "Expect: miracles\r\n\r\n":                                   statusLine("417 Expectation Failed") + closes,
		postWithKey + "Content-Length: 99999999\r\n\r\n":                           statusLine("413 Content Too Large") + closes,
		postWithKey + "A: " + strings.Repeat("x", http1.MaxHeadBytes) + "\r\n\r\n": statusLine("431 Request Header Fields Too Large") + closes,
	} {
		c := s.connect()
		c.send(in)
		c.expectBytes(in[:min(len(in), 60)], want)
	}
	s.connect().send(getRequest("7"))
	s.nextExchange()
	c := s.connect()
	c.send(getRequest("7"))
	c.expectBytes("duplicate request id", statusLine("409 Conflict")+keepAlive)
	c = s.connect()
	c.send("GET /read")
	s.waitForPartialRequest()
	s.AdvanceTimers(requestTimeout + 1)
	c.expectBytes("partial request", statusLine("408 Request Timeout")+closes)
}

// The response to a readiness check must consist of exactly the expected bytes while the instance is not ready.
func TestNotReadyBytes(t *testing.T) {
	s := newTestServer(t, 64, 4)
	s.Do(func() { s.server.Options.Synced = func() bool { return false } })
	c := s.connect()
	c.send(readyRequest)
	want := statusLine("503 Service Unavailable") + "Content-Length: 0\r\n\r\n"
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != want {
		t.Errorf("error %v, response %q, want %q", err, got, want)
	}
}

// 100 Continue and the final response after it must consist of exactly the expected bytes.
func TestContinueBytes(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	interim := make([]byte, len(http1.ContinueResponse))
	if _, err := io.ReadFull(c.in, interim); err != nil || string(interim) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Errorf("error %v, interim response %q", err, interim)
	}
	c.send("ab")
	s.serve(s.nextExchange(), "done")
	c.expectBytes("final response", statusLine("200 OK")+"Content-Length: 4\r\n\r\ndone")
}
