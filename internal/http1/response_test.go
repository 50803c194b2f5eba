package http1

import (
	"fmt"
	"strings"
	"testing"
)

// A response has to be decoded in the same way from fragments of any size.
func TestResponse(t *testing.T) {
	large := strings.Repeat("z", MaxBufferedBodyBytes)
	tests := []struct {
		name, in string
		want     Response
		untilEOF bool
	}{
		{"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", Response{Status: 200, Body: []byte("ab")}, false},
		{"empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Response{Status: 200}, false},
		{"no reason phrase", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", Response{Status: 200}, false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", Response{Status: 200, Body: []byte("ab")}, false},
		{"lines that end in a bare LF", "HTTP/1.1 200 OK\nContent-Length: 2\n\nab", Response{Status: 200, Body: []byte("ab")}, false},
		{"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nz\r\n", MaxBufferedBodyBytes) + "0\r\n\r\n",
			Response{Status: 200, Body: []byte(large)}, false},
		{"body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\nab", Response{Status: 200, Close: true, Body: []byte("ab")}, true},
		{"interim responses before the final one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx",
			Response{Status: 500, Body: []byte("x")}, false},
		{"rejected, with a load report", "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			Response{Status: 503, Rejected: true, LoadReport: "inflight=7,queue=2", Close: true}, false},
		{"status without a body", "HTTP/1.1 204 No Content\r\n\r\n", Response{Status: 204}, false},
	}
	for _, tt := range tests {
		d := NewResponseDecoder(nil)
		for _, n := range fragmentSizes {
			following := "HTTP"
			if tt.untilEOF {
				following = ""
			}
			rest, err := feedInFragments(d.Feed, d.Complete, tt.in+following, n)
			if err != nil || rest != following || d.Complete() == tt.untilEOF || !d.EndOfInput() {
				t.Fatalf("%s in fragments of %d bytes: error %v, complete %v, unconsumed input %q", tt.name, n, err, d.Complete(), rest)
			}
			if got, want := fmt.Sprintf("%+v", d.Response()), fmt.Sprintf("%+v", tt.want); got != want {
				t.Errorf("%s in fragments of %d bytes:\ngot  %.200s\nwant %.200s", tt.name, n, got, want)
			}
			d.Reset()
		}
	}
}

// A response that is cut off at any byte must not count as complete.
func TestTruncatedResponse(t *testing.T) {
	for _, in := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range len(in) {
			d := NewResponseDecoder(nil)
			if _, err := d.Feed([]byte(in[:cut])); err != nil || d.Complete() || d.EndOfInput() {
				t.Errorf("%q: error %v, complete %v", in[:cut], err, d.Complete())
			}
		}
	}
}

// Decoding malformed responses, responses that are too large and responses that salttrack does not expect has to fail.
func TestMalformedResponse(t *testing.T) {
	for _, in := range []string{
		"nonsense\r\n", "HTTP/2 200 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 +20 OK\r\n",
		"HTTP/1.1 101 Switching\r\n\r\n", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxBodyBytes+1),
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", MaxBodyBytes+1),
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		d := NewResponseDecoder(nil)
		if _, err := d.Feed([]byte(in)); err == nil {
			t.Errorf("%.60q: no error", in)
		}
	}
}

// The length of a body that is passed to a sink must not be limited.
func TestSinkBodyLengthIsUnlimited(t *testing.T) {
	n := 0
	d := NewResponseDecoder(func(p []byte) error { n += len(p); return nil })
	d.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for range 100 {
		if _, err := d.Feed([]byte("1000\r\n" + strings.Repeat("x", 4096) + "\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	if n != 409600 {
		t.Errorf("the sink received %d bytes, want 409600", n)
	}
}

// Decoding an encoded response has to yield the same status and the same end of the connection.
func TestAppendResponse(t *testing.T) {
	d := NewResponseDecoder(nil)
	p := AppendResponse(nil, ResponseHead{Status: 503, RetryAfterMS: 250, Close: true}, []byte("x"))
	if !strings.Contains(string(p), "Retry-After: 0.250\r\n") {
		t.Errorf("Retry-After is missing or wrong in %q", p)
	}
	if n, err := d.Feed(p); err != nil || n != len(p) || !d.Complete() || !d.Response().Close || d.Response().Status != 503 {
		t.Errorf("error %v, %d of %d bytes consumed, response %+v", err, n, len(p), d.Response())
	}
}
