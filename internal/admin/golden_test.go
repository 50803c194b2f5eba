package admin

import (
	"io"
	"strings"
	"testing"
	"time"

	"salttrack/internal/goldentest"
)

// exchange sends a request on a new connection, and returns all bytes that the server sends before it closes the connection.
// If advanceMs is not 0, exchange runs the timers that are due within that time, in ms, after the request is sent.
func (s *testServer) exchange(request string, advanceMs float64) string {
	s.T.Helper()
	before := s.CounterValue(acceptedCounter)
	conn := s.dial(request)
	if advanceMs > 0 {
		s.WaitForCounter(acceptedCounter, before+1)
		// Lets the server read the request. The test does not depend on it: both timeouts, before and after, give the same response.
		time.Sleep(20 * time.Millisecond)
		s.AdvanceTimers(advanceMs)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		s.T.Errorf("%q: %v", request, err)
	}
	return string(response)
}

// endOfHead is the rest of a request without a body, from the HTTP version on.
const endOfHead = " HTTP/1.1\r\nHost: x\r\n\r\n"

// beyondTimeoutsMs is longer than any timeout of the server.
const beyondTimeoutsMs = 11000

// goldenRequests are the requests of TestGoldenResponses.
var goldenRequests = []struct {
	name      string
	notReady  bool // whether the balancer is not ready
	request   string
	advanceMs float64 // time by which the server's timers are advanced after the request, in ms
}{
	{name: "ready", request: "GET /control/ready" + endOfHead},
	{name: "ready with a query", request: "GET /control/ready?verbose=1" + endOfHead},
	{name: "ready, HTTP/1.0", request: "GET /control/ready HTTP/1.0\r\n\r\n"},
	{name: "not ready", notReady: true, request: "GET /control/ready" + endOfHead},
	{name: "ready with POST", request: "POST /control/ready" + endOfHead},
	{name: "ready with HEAD", request: "HEAD /control/ready" + endOfHead},
	{name: "ready with a further path element", request: "GET /control/ready/" + endOfHead},
	{name: "offline", request: "POST /control/upstreams/s-1/offline" + endOfHead},
	{name: "online", request: "POST /control/upstreams/s-1/online" + endOfHead},
	{name: "offline, not ready", notReady: true, request: "POST /control/upstreams/s-1/offline" + endOfHead},
	{name: "escaped id", request: "POST /control/upstreams/a%2Fb%20%25/offline" + endOfHead},
	{name: "body", request: "POST /control/upstreams/s-1/online HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"},
	{name: "body after 100 Continue", request: "POST /control/upstreams/s-1/online HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"},
	{name: "offline with GET", request: "GET /control/upstreams/s-1/offline" + endOfHead},
	{name: "online with PUT", request: "PUT /control/upstreams/s-1/online" + endOfHead},
	{name: "unknown id", request: "POST /control/upstreams/unlisted/offline" + endOfHead},
	{name: "empty id", request: "POST /control/upstreams//online" + endOfHead},
	{name: "malformed id", request: "POST /control/upstreams/%zz/online" + endOfHead},
	{name: "override not stored", request: "POST /control/upstreams/fails/offline" + endOfHead},
	{name: "override not done in time", request: "POST /control/upstreams/hangs/offline" + endOfHead, advanceMs: beyondTimeoutsMs},
	{name: "incomplete request", request: "POST /control/upstreams/s-1/offl", advanceMs: beyondTimeoutsMs},
	{name: "unknown operation", request: "POST /control/upstreams/s-1/drain" + endOfHead},
	{name: "too many path elements", request: "POST /control/upstreams/a/b/offline" + endOfHead},
	{name: "root", request: "GET /" + endOfHead},
	{name: "path of the downstream server", request: "GET /-/ready" + endOfHead},
	{name: "malformed target", request: "GET nowhere" + endOfHead},
	{name: "malformed request line", request: "GET\r\n\r\n"},
	{name: "unknown version", request: "GET /control/ready HTTP/3.0\r\n\r\n"},
	{name: "malformed length", request: "POST /control/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n"},
	{name: "unknown expectation", request: "POST /control/ready HTTP/1.1\r\nExpect: x\r\n\r\n"},
	{name: "long header", request: "GET /control/ready HTTP/1.1\r\nA: " + strings.Repeat("a", 70000)},
}

// Compares the exact bytes of the responses with the golden file. The requests cover each path and method, success and errors.
func TestGoldenResponses(t *testing.T) {
	var transcript strings.Builder
	for _, tt := range goldenRequests {
		s := startServer(t, 4, &fakeBalancer{ready: !tt.notReady})
		transcript.WriteString("=== " + tt.name + "\n" + s.exchange(tt.request, tt.advanceMs) + "\n")
	}
	got := strings.ReplaceAll(transcript.String(), "\r\n", "<CRLF>\n")
	goldentest.Compare(t, "testdata/responses.golden", got)
}
