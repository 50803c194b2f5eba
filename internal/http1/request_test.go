package http1

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// A request has to be decoded in the same way from fragments of any size, and also when it is the second one on a connection.
func TestRequest(t *testing.T) {
	tests := []struct {
		name, in string
		want     Request
	}{
		{"idempotent request", "GET /read/x?q=1 HTTP/1.1\r\nHost: a\r\nX-Txn: 9b1f\r\nX-Lane: read\r\nX-Remaining: 0.480\r\n\r\n",
			Request{Method: "GET", Target: "/read/x?q=1", ID: "9b1f", Class: "read", RemainingSeconds: 0.48}},
		{"with an idempotency key", "POST /keep HTTP/1.1\r\nx-txn:1\r\nX-LANE:\t keep \r\nX-Remaining: 2\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello",
			Request{Method: "POST", Target: "/keep", ID: "1", Class: "keep", IdempotencyKey: "k", RemainingSeconds: 2, Body: []byte("hello")}},
		{"chunked", "POST /p HTTP/1.1\r\nX-Txn: 1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n00A;x=y\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n",
			Request{Method: "POST", Target: "/p", ID: "1", RemainingSeconds: math.NaN(), Body: []byte("abc0123456789")}},
		{"unambiguous path with unusual characters", "GET /read/a%20b/...;c=d/?e=../f//g%2e HTTP/1.1\r\n\r\n",
			Request{Method: "GET", Target: "/read/a%20b/...;c=d/?e=../f//g%2e", RemainingSeconds: math.NaN()}},
		{"labels, retried, close", "GET / HTTP/1.1\r\nX-Labels: a=1, b=2\r\nX-Resent: 1\r\nConnection: foo, Close\r\n\r\n",
			Request{Method: "GET", Target: "/", Labels: "a=1, b=2", Retried: true, Close: true, RemainingSeconds: math.NaN()}},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", Request{Method: "GET", Target: "/", Close: true, HTTP10: true, RemainingSeconds: math.NaN()}},
		{"HTTP/1.0, keep-alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", Request{Method: "GET", Target: "/", HTTP10: true, RemainingSeconds: math.NaN()}},
		{"empty line first", "\r\nGET / HTTP/1.1\r\nX-Txn: 1\r\n\r\n", Request{Method: "GET", Target: "/", ID: "1", RemainingSeconds: math.NaN()}},
	}
	for _, tt := range tests {
		d := NewRequestDecoder()
		for _, n := range fragmentSizes {
			for range 2 { // two requests in sequence
				rest, err := feedInFragments(d.Feed, d.Complete, tt.in+"next", n)
				if err != nil || !d.Complete() || rest != "next" {
					t.Fatalf("%s in fragments of %d bytes: error %v, complete %v, unconsumed input %q", tt.name, n, err, d.Complete(), rest)
				}
				if got, want := fmt.Sprintf("%+v", d.Request()), fmt.Sprintf("%+v", tt.want); got != want {
					t.Errorf("%s in fragments of %d bytes:\ngot  %s\nwant %s", tt.name, n, got, want)
				}
				d.Reset()
			}
		}
	}
}

// Decoding a forwarded request has to yield the request that was received.
func TestForwardedRequest(t *testing.T) {
	in := Request{Method: "POST", Target: "/keep/a?b=c%20d", ID: "9b", Class: "keep", IdempotencyKey: "k1", Labels: "x=1", Retried: true,
		Body: []byte("payload\r\n\r\n")}
	d := NewRequestDecoder()
	p := AppendRequest(nil, &in, "127.0.0.1:80", 479.6)
	if n, err := d.Feed(p); err != nil || n != len(p) || !d.Complete() {
		t.Fatalf("%d of %d bytes consumed, complete %v, error %v", n, len(p), d.Complete(), err)
	}
	in.RemainingSeconds = 0.480
	if got, want := fmt.Sprintf("%+v", d.Request()), fmt.Sprintf("%+v", in); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// malformedRequests maps requests that have to be rejected to the status codes of the responses to them.
var malformedRequests = map[string]int{
	"GET / HTTP/1.1\r\nX-Txn: a\rb\r\n\r\n":                                              400,
	"GET / HTTP/1.1\r\nX-Txn: a\x00b\r\n\r\n":                                            400,
	"GET / HTTP/1.1\r\n: x\r\n\r\n":                                                      400,
	"GET / HTTP/1.1\r\nX Txn: x\r\n\r\n":                                                 400,
	"GET / HTTP/1.1\r\nX-Txn: 1\r\nX-Txn: 2\r\n\r\n":                                     400,
	"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                       400,
	"GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n":                                       400,
	"GET / HTTP/1.1\r\nContent-Length: \r\n\r\n":                                         400,
	"GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n":                                     400,
	"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n":                     400,
	"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                               400,
	"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": 501,
	"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n123456789\r\n":                  400,
	"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n":                         400,
	"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n":                   400,
	"GET / HTTP/1.1\r\nX-Remaining: NaN\r\n\r\n":                                         400,
	"GET / HTTP/1.1\r\nX-Remaining: Inf\r\n\r\n":                                         400,
	"GET / HTTP/1.1\r\nX-Remaining: 0x1p3\r\n\r\n":                                       400,
	"GET / HTTP/1.1\r\nX-Remaining: 1e1\r\n\r\n":                                         400,
	"GET / HTTP/1.1\r\nX-Remaining: -1\r\n\r\n":                                          400,
	"GET / HTTP/1.1\r\nX-Remaining: \r\n\r\n":                                            400,
	"GET / HTTP/1.1\r\nX-Remaining: 1\r\nX-Remaining: 2\r\n\r\n":                         400,
	"GET /\xffread HTTP/1.1\r\n\r\n":                                                     400,
	"GET /a\tb HTTP/1.1\r\n\r\n":                                                         400,
	"GET / HTTP/1.1\r\nX-Txn: \xe9\r\n\r\n":                                              400,
	"GET / HTTP/1.1\r\nX-Txn: a b\r\n\r\n":                                               400,
	"GET / HTTP/1.1\r\nIdempotency-Key: a\tb\r\n\r\n":                                    400,
	"GET / HTTP/1.1\r\nX-Labels: a=\xff\r\n\r\n":                                         400,
	"GET http://x/ HTTP/1.1\r\n\r\n":                                                     400,
	"GET / HTTP/1.1 \r\n\r\n":                                                            505,
	// Requests that different parsers may interpret differently: lines that end in a bare LF, and ambiguous paths.
	"GET / HTTP/1.1\nX-Txn: 1\r\n\r\n":                                       400,
	"GET / HTTP/1.1\r\nX-Txn: 1\n\r\n":                                       400,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n": 400,
	"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\n0\r\n\r\n": 400,
	"GET /read/../pay HTTP/1.1\r\n\r\n":                                      400,
	"GET /read/.. HTTP/1.1\r\n\r\n":                                          400,
	"GET /read/./a HTTP/1.1\r\n\r\n":                                         400,
	"GET /read//a HTTP/1.1\r\n\r\n":                                          400,
	"GET //read HTTP/1.1\r\n\r\n":                                            400,
	"GET /read/%2e%2E/a HTTP/1.1\r\n\r\n":                                    400,
	"GET /read%2fa HTTP/1.1\r\n\r\n":                                         400,
	"GET /read%5Ca HTTP/1.1\r\n\r\n":                                         400,
	"GET /read\\a HTTP/1.1\r\n\r\n":                                          400,
	"GET /read%00 HTTP/1.1\r\n\r\n":                                          400,
	"GET /read%2 HTTP/1.1\r\n\r\n":                                           400,
	"GET /read%zz HTTP/1.1\r\n\r\n":                                          400,
	"GET /read#a HTTP/1.1\r\n\r\n":                                           400,
	"GE(T / HTTP/1.1\r\n\r\n":                                                400,
	"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", MaxHeadBytes):              431,
	strings.Repeat("\r\n", MaxHeadBytes):                                     431,
}

func TestMalformedRequest(t *testing.T) {
	for in, status := range malformedRequests {
		for _, n := range fragmentSizes {
			d := NewRequestDecoder()
			_, err := feedInFragments(d.Feed, d.Complete, in, n)
			var e *Error
			if !errors.As(err, &e) || e.Status != status {
				t.Errorf("%.60q in fragments of %d bytes: error %v, want one with status %d", in, n, err, status)
			}
		}
	}
}
