package upstream

import (
	"net/http"
	"strings"
	"testing"

	"salttrack/balance"
)

// largeBody is the size of a body that does not fit into the kernel's buffers, in bytes.
const largeBody = 32 << 20

// afterResponse is what an upstream does with the connection after it has sent its response.
type afterResponse int

const (
	keepOpen afterResponse = iota
	closeWrite
	abort
)

func (a afterResponse) do(c *upstreamConn) {
	switch a {
	case closeWrite:
		c.CloseWrite()
	case abort:
		c.abort()
	}
}

// checkForwarded checks that the upstream receives the request that rig.start sends.
func checkForwarded(t *testing.T, name string, request *http.Request, body string) {
	t.Helper()
	if body != "payload" || request.Method != "POST" || request.RequestURI != "/pay/x?y=z" {
		t.Errorf("%s: %s %s with %q", name, request.Method, request.RequestURI, body)
	}
	header := request.Header
	if header.Get("X-Txn") != "77" || header.Get("Idempotency-Key") != "k" {
		t.Errorf("%s: received header %v", name, header)
	}
	if remaining := header.Get("X-Remaining"); remaining > "0.480" || remaining < "0.000" {
		t.Errorf("%s: X-Remaining %s", name, remaining)
	}
}

func TestOutcomes(t *testing.T) { //revive:disable-line:function-length a table of cases
	for _, tt := range []struct {
		name, response string
		then           afterResponse
		want           balance.Outcome
		body           string
		reused         bool
	}{
		{"OK", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", keepOpen, balance.OK, "ab", true},
		{"OK, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", keepOpen, balance.OK, "ab", true},
		{"OK after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", keepOpen, balance.OK, "ab", true},
		{"OK, ended by a close", "HTTP/1.1 200 OK\r\n\r\nab", closeWrite, balance.OK, "ab", false},
		{"OK with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", keepOpen, balance.OK, "ab", false},
		{"OK of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", keepOpen, balance.OK, "ab", false},
		{"OK, followed by extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200", keepOpen, balance.OK, "ab", false},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"other status", "HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"invalid request", "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.InvalidRequest, "", true},
		{"not found", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.InvalidRequest, "", true},
		{"too many requests", "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"request timeout", "HTTP/1.1 408 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"rejected, overloaded", "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.Overloaded, "", true},
		{"rejected, expired", "HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.Overloaded, "", true},
		{"503 without X-Turned-Away", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"500 with X-Turned-Away", "HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", keepOpen, balance.UpstreamError, "", true},
		{"closed without a response", "", closeWrite, balance.ConnectionReset, "", false},
		{"reset without a response", "", abort, balance.ConnectionReset, "", false},
		{"no length, ended by a reset", "HTTP/1.1 200 OK\r\n\r\nab", abort, balance.ConnectionReset, "", false},
		{"truncated in the header", "HTTP/1.1 200 OK\r\nContent-Le", closeWrite, balance.ConnectionReset, "", false},
		{"truncated in the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", closeWrite, balance.ConnectionReset, "", false},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", closeWrite, balance.ConnectionReset, "", false},
		{"truncated before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", closeWrite, balance.ConnectionReset, "", false},
		{"malformed", "nonsense\r\n\r\n", keepOpen, balance.ConnectionReset, "", false},
		{"too many interim responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40), keepOpen, balance.ConnectionReset, "", false},
		{"header too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("p", 20000), keepOpen, balance.ConnectionReset, "", false},
		{"content length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", keepOpen, balance.ConnectionReset, "", false},
		{"two content lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc", keepOpen, balance.ConnectionReset, "", false},
		{"content length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", keepOpen, balance.ConnectionReset, "", false},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", keepOpen, balance.ConnectionReset, "", false},
	} {
		r := newRig(t, manyDescriptors)
		u := newUpstream(t, r)
		first := r.start("payload")
		c := u.accept()
		request, body := c.request()
		checkForwarded(t, tt.name, request, body)
		c.respond(tt.response)
		tt.then.do(c)
		result := r.checkOutcome(first, tt.name, tt.want)
		if string(result.Body) != tt.body || !first.RequestComplete {
			t.Errorf("%s: body %q, RequestComplete %v", tt.name, result.Body, first.RequestComplete)
		}
		if open := r.CounterValue("upstream_connections_open") == 1; open != tt.reused {
			t.Errorf("%s: connection is open: %v, want %v", tt.name, open, tt.reused)
		}
		if !tt.reused {
			continue
		}
		r.expireReuseDelay()
		second := r.start("again")
		c.request()
		c.respond(tt.response)
		r.checkOutcome(second, tt.name+" again", tt.want)
		r.checkCounter(tt.name, "upstream_connections_reused", 1)
	}
}

func TestLoadReport(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	a := r.start("x")
	u.accept().respond("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 0\r\n\r\n")
	if got := r.result(a); !got.LoadReported || got.ReportedInFlight != 7 {
		t.Errorf("result %+v, want a load report of 7 requests in flight", got)
	}
}

// If a connection breaks before the last byte of the request is sent, the upstream has not run the request, so the
// outcome is ConnectFailed.
func TestBrokenBeforeLastByte(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	a := r.start(strings.Repeat("x", largeBody))
	u.accept().abort()
	r.checkOutcome(a, "reset", balance.ConnectFailed)
	if a.RequestComplete {
		t.Error("the request is recorded as completely sent")
	}
}

// An upstream may respond before the whole request is sent. The status of the response decides the outcome, and the
// connection is not reused.
func TestEarlyResponse(t *testing.T) {
	for response, want := range map[string]balance.Outcome{
		"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n": balance.Overloaded,
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":                     balance.UpstreamError,
		emptyResponse: balance.ConnectFailed, // status 200, but the upstream has not received the whole request
	} {
		r := newRig(t, manyDescriptors)
		u := newUpstream(t, r)
		a := r.start(strings.Repeat("x", largeBody))
		u.accept().respond(response)
		r.checkOutcome(a, response, want)
		r.checkCounter(response, "upstream_connections_open", 0)
	}
}
