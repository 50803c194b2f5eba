package downstream

import (
	"strings"
	"testing"
)

// postWithKey is the first part of the head of a request of the class "keep", which requires an idempotency key.
const postWithKey = "POST /keep HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: keep\r\nX-Remaining: 1\r\nIdempotency-Key: k\r\n"

// invalidRequests are requests that have to be rejected without an exchange.
var invalidRequests = []struct {
	name, in string
	status   int  // expected status code of the response
	closes   bool // the response announces the end of the connection
}{
	{"not HTTP", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, true},
	{"request line without a target", "GET\r\n\r\n", 400, true},
	{"unsupported version", "GET / HTTP/2.0\r\n\r\n", 505, true},
	{"field without colon", "GET /read HTTP/1.1\r\nnonsense\r\n\r\n", 400, true},
	{"folded field", "GET /read HTTP/1.1\r\nX-Txn: 1\r\n more\r\n\r\n", 400, true},
	{"head too large", "GET /read HTTP/1.1\r\nX-Txn: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431, true},
	{"two different Content-Length fields", postWithKey + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, true},
	{"Content-Length and Transfer-Encoding", postWithKey + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, true},
	{"unknown transfer coding", postWithKey + "Transfer-Encoding: gzip\r\n\r\n", 501, true},
	{"body too large", postWithKey + "Content-Length: 34603009\r\n\r\n" + strings.Repeat("x", 65537), 413, true},
	{"chunked body too large", postWithKey + "Transfer-Encoding: chunked\r\n\r\n2100001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413, true},
	{"malformed chunk size", postWithKey + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
	{"unknown class", strings.ReplaceAll(getRequest("1"), "read", "none"), 400, false},
	{"class differs from the path", strings.ReplaceAll(getRequest("1"), "X-Lane: read", "X-Lane: pay"), 400, false},
	{"no request id", strings.ReplaceAll(getRequest("1"), "X-Txn", "X-Other"), 400, false},
	{"no remaining time", strings.ReplaceAll(getRequest("1"), "X-Remaining", "X-Other"), 400, false},
	{"remaining time not a number", strings.ReplaceAll(getRequest("1"), "g: 2", "g: soon"), 400, true},
	{"negative remaining time", strings.ReplaceAll(getRequest("1"), "g: 2", "g: -1"), 400, true},
	{"idempotency key missing", strings.Replace(postWithKey, "Idempotency-Key", "X-Other", 1) + "\r\n", 400, false},
	{"idempotent class with a body", strings.Replace(getRequest("1"), "Host: x", "Content-Length: 1", 1) + "x", 400, false},
	{"idempotent class with an idempotency key", strings.Replace(getRequest("1"), "Host: x", "Idempotency-Key: k", 1), 400, false},
	{"idempotent class with POST", strings.Replace(getRequest("1"), "GET", "POST", 1), 405, false},
	{"idempotency key class with GET", strings.Replace(postWithKey, "POST", "GET", 1) + "\r\n", 405, false},
	{"non-idempotent class with GET", strings.ReplaceAll(getRequest("1"), "read", "pay"), 405, false},
	{"non-idempotent class with an idempotency key", strings.ReplaceAll(postWithKey, "keep", "pay") + "\r\n", 400, false},
	{"method not supported", strings.Replace(getRequest("1"), "GET", "DELETE", 1), 405, false},
	{"unknown internal path", "GET /-/other HTTP/1.1\r\n\r\n", 404, false},
	{"unknown expectation", postWithKey + "Expect: miracles\r\n\r\n", 417, true},
}

func TestInvalidRequests(t *testing.T) {
	s := newTestServer(t, 64, 4)
	for i, tt := range invalidRequests {
		c := s.connect()
		c.send(tt.in)
		resp, _ := c.response()
		if resp.StatusCode != tt.status || resp.Close != tt.closes {
			t.Errorf("%s: status %d, closes %v; want %d, %v", tt.name, resp.StatusCode, resp.Close, tt.status, tt.closes)
		}
		if tt.closes {
			c.expectEOF()
		}
		if n := s.CounterValue("requests_malformed"); n != uint64(i+1) {
			t.Errorf("%s: requests_malformed is %d, want %d", tt.name, n, i+1)
		}
	}
	if len(s.exchanges) > 0 {
		t.Error("an invalid request was passed to the request handler")
	}
}

// A request must be rejected if another request with the same id is open.
// The id may be reused once that request has its response or its client has disconnected.
func TestDuplicateRequestID(t *testing.T) {
	s := newTestServer(t, 64, 4)
	first, other := s.connect(), s.connect()
	first.send(getRequest("1"))
	x := s.nextExchange()
	for range 3 {
		other.send(getRequest("1"))
		if resp, _ := other.response(); resp.StatusCode != 409 || resp.Close {
			t.Errorf("status %d, closes %v, want 409 and an open connection", resp.StatusCode, resp.Close)
		}
	}
	s.serve(x, "one")
	if _, got := first.response(); got != "one" {
		t.Errorf("response to the first request: %q, want %q", got, "one")
	}
	other.send(getRequest("1"))
	s.nextExchange()
	other.Close()
	<-s.disconnected
	first.send(getRequest("1"))
	s.serve(s.nextExchange(), "again")
	if _, got := first.response(); got != "again" {
		t.Errorf("response after the disconnect: %q, want %q", got, "again")
	}
	s.Do(func() {
		if len(s.server.openRequestIDs) != 0 {
			t.Errorf("%d request ids are still open, want none", len(s.server.openRequestIDs))
		}
	})
}
