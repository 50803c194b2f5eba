package http1

import (
	"strconv"
	"strings"
	"testing"

	"salttrack/internal/bodystream"
)

// Requests have to be forwarded to upstreams with exactly the expected bytes.
// The fields that salttrack knows are written in a fixed order; all others are dropped.
func TestForwardedRequestBytes(t *testing.T) {
	const all = "Host: client.example\r\nX-Txn: 9b1f\r\nX-Lane: keep\r\nX-Remaining: 0.480\r\nX-Resent: 1\r\n" +
		"Idempotency-Key: k1\r\nX-Labels: a=1, b=2\r\n"
	for _, tt := range []struct {
		name, in  string
		remaining float64
		want      string
	}{
		{"every known field", "POST /keep/a?b=c%20d HTTP/1.1\r\n" + all + "Content-Length: 3\r\n\r\nabc", 479.6,
			"POST /keep/a?b=c%20d HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 9b1f\r\nX-Lane: keep\r\nIdempotency-Key: k1\r\n" +
				"X-Labels: a=1, b=2\r\nX-Remaining: 0.480\r\nX-Resent: 1\r\nContent-Length: 3\r\n\r\nabc"},
		{"fields in different case and order", "POST /keep HTTP/1.1\r\nx-labels:  a=1\r\nIDEMPOTENCY-KEY: k1\r\nx-remaining: 2\r\nX-LANE:keep\r\nx-txn:\t7 \r\n\r\n", 2000,
			"POST /keep HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 7\r\nX-Lane: keep\r\nIdempotency-Key: k1\r\n" +
				"X-Labels: a=1\r\nX-Remaining: 2.000\r\nContent-Length: 0\r\n\r\n"},
		{"unknown and hop-by-hop fields", "GET /read HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: read\r\nX-Remaining: 1\r\nConnection: close, X-Other\r\n" +
			"Keep-Alive: 5\r\nX-Other: x\r\nAuthorization: secret\r\nX-Turned-Away: 1\r\nX-Pressure: inflight=1\r\nX-Resent: 0\r\n\r\n", 1000,
			"GET /read HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 1\r\nX-Lane: read\r\nX-Remaining: 1.000\r\n\r\n"},
		{"HTTP/1.0", "GET /read HTTP/1.0\r\nX-Txn: 1\r\nX-Lane: read\r\nX-Remaining: 1\r\n\r\n", 999.9994,
			"GET /read HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 1\r\nX-Lane: read\r\nX-Remaining: 1.000\r\n\r\n"},
		{"chunked buffered body", "POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-Txn: 2\r\n\r\n", 1,
			"POST /pay HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 0.001\r\nContent-Length: 5\r\n\r\nabcde"},
		{"Expect: 100-continue", "POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx", -5,
			"POST /pay HTTP/1.1\r\nHost: 10.0.0.1:80\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 0.000\r\nContent-Length: 1\r\n\r\nx"},
	} {
		d := NewRequestDecoder()
		if n, err := d.Feed([]byte(tt.in)); err != nil || n != len(tt.in) || !d.Complete() {
			t.Fatalf("%s: %d of %d bytes consumed, complete %v, error %v", tt.name, n, len(tt.in), d.Complete(), err)
		}
		r := d.Request()
		if got := string(AppendRequest(nil, &r, "10.0.0.1:80", tt.remaining)); got != tt.want {
			t.Errorf("%s:\ngot  %q\nwant %q", tt.name, got, tt.want)
		}
	}
}

// A streamed request has to be encoded with exactly the expected bytes, both with a known and with an unknown length.
func TestForwardedStreamBytes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		length int64
		want   string
	}{
		{"known length", 9, "Content-Length: 9\r\n\r\nfirstrest"},
		{"chunked", -1, "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n4\r\nrest\r\n0\r\n\r\n"},
	} {
		stream := bodystream.New(bodystream.NewBufferPool(1, nil), tt.length)
		stream.Prepend([]byte("first"), nil)
		r := Request{Method: "POST", Target: "/pay", ID: "1", Class: "pay", Stream: stream}
		got := string(AppendRequest(nil, &r, "h:1", 1500))
		b := NewBodyEncoder(stream, tt.length < 0)
		got += encodeAvailable(b)
		stream.Available()
		stream.Write([]byte("rest"))
		stream.Finish()
		got += encodeAvailable(b)
		want := "POST /pay HTTP/1.1\r\nHost: h:1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1.500\r\n" + tt.want
		if got != want || !b.Done() {
			t.Errorf("%s:\ngot  %q, done %v\nwant %q", tt.name, got, b.Done(), want)
		}
	}
}

// encodeAvailable returns the encoding of all bytes that the stream holds.
func encodeAvailable(b *BodyEncoder) string {
	var all strings.Builder
	for p := b.Next(); len(p) > 0; p = b.Next() {
		all.Write(p)
		b.Advance(len(p))
	}
	return all.String()
}

// Responses to clients have to be encoded with exactly the expected bytes.
func TestResponseBytes(t *testing.T) {
	for status, reason := range map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
		408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed", 429: "",
		431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
		502: "Bad Gateway", 503: "Service Unavailable", 504: "", 505: "HTTP Version Not Supported"} {
		line := "HTTP/1.1 " + strconv.Itoa(status) + " " + reason + "\r\n"
		for _, tt := range []struct {
			retryAfter float64
			closes     bool
			body       string
			want       string
		}{
			{0, false, "", "Content-Length: 0\r\n\r\n"},
			{0, true, "", "Content-Length: 0\r\nConnection: close\r\n\r\n"},
			{0, false, "abc", "Content-Length: 3\r\n\r\nabc"},
			{250, false, "", "Content-Length: 0\r\nRetry-After: 0.250\r\n\r\n"},
			{1234.5678, true, "x", "Content-Length: 1\r\nRetry-After: 1.235\r\nConnection: close\r\n\r\nx"},
		} {
			if got := string(AppendResponse(nil, ResponseHead{status, tt.retryAfter, tt.closes}, []byte(tt.body))); got != line+tt.want {
				t.Errorf("got  %q\nwant %q", got, line+tt.want)
			}
		}
	}
	if got := string(AppendResponse([]byte("before"), ResponseHead{Status: 200}, nil)); !strings.HasPrefix(got, "beforeHTTP/1.1 200 OK\r\n") {
		t.Errorf("AppendResponse does not append to the slice: %q", got)
	}
	if ContinueResponse != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Errorf("ContinueResponse is %q", ContinueResponse)
	}
}

// The head of a streamed response has to be encoded with exactly the expected bytes.
func TestStreamedResponseHeadBytes(t *testing.T) {
	for _, tt := range []struct {
		length          int64
		chunked, closes bool
		want            string
	}{
		{70000, false, false, "Content-Length: 70000\r\n\r\n"},
		{70000, false, true, "Content-Length: 70000\r\nConnection: close\r\n\r\n"},
		{-1, true, false, "Transfer-Encoding: chunked\r\n\r\n"},
		{-1, true, true, "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"},
		{-1, false, true, "Connection: close\r\n\r\n"},
	} {
		if got := string(AppendStreamedResponseHead(nil, StreamedResponseHead{tt.length, tt.chunked, tt.closes})); got != "HTTP/1.1 200 OK\r\n"+tt.want {
			t.Errorf("got  %q\nwant %q", got, tt.want)
		}
	}
}

// The decoder's errors must have exactly the expected texts, since the admin server writes them into its responses.
func TestErrorTexts(t *testing.T) {
	for in, want := range map[string]string{
		"nonsense\r\n":                                                              "malformed request line",
		"G(T / HTTP/1.1\r\n":                                                        "malformed method",
		"GET /# HTTP/1.1\r\n":                                                       "malformed target",
		"GET /a/../b HTTP/1.1\r\n":                                                  "ambiguous path",
		"GET / HTTP/2.0\r\n":                                                        "not HTTP/1",
		"GET / HTTP/1.1\n":                                                          "line ends in a bare LF",
		"GET / HTTP/1.1\r\nA: \x00\r\n":                                             "control character in a line",
		"GET / HTTP/1.1\r\nA\r\n":                                                   "malformed field",
		"GET / HTTP/1.1\r\nA B: x\r\n":                                              "malformed field name",
		"GET / HTTP/1.1\r\nContent-Length: x\r\n":                                   "malformed Content-Length",
		"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n":                             "transfer coding not known",
		"GET / HTTP/1.1\r\nX-Txn: 1\r\nX-Txn: 2\r\n":                                "X-Txn given twice",
		"GET / HTTP/1.1\r\nX-Lane: a b\r\n":                                         "malformed X-Lane",
		"GET / HTTP/1.1\r\nX-Remaining: x\r\n":                                      "malformed X-Remaining",
		"GET / HTTP/1.1\r\nExpect: x\r\n":                                           "expectation not known",
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                      "chunks in HTTP/1.0",
		"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n":                        "body too large",
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                 "malformed chunk size",
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":           "chunk longer than its size",
		strings.Repeat("\r\n", MaxHeadBytes):                                        "head too large",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": "both a length and a transfer coding",
	} {
		if _, err := NewRequestDecoder().Feed([]byte(in)); err == nil || err.Error() != want {
			t.Errorf("%.60q: error %v, want %q", in, err, want)
		}
	}
}
