package http1

import (
	"fmt"
	"testing"
)

// FuzzRequest checks for any input that the decoder does not panic and does not buffer more than its limits allow.
// It also checks that the result is the same whether the input is fed at once or in fragments.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /keep HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: 5\r\n\r\nhello"), uint8(3))
	f.Add([]byte("POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, p []byte, n uint8) {
		atOnce, inFragments := NewRequestDecoder(), NewRequestDecoder()
		k, err := atOnce.Feed(p)
		rest, errInFragments := feedInFragments(inFragments.Feed, inFragments.Complete, string(p), int(n)+1)
		if (err == nil) != (errInFragments == nil) || atOnce.Complete() != inFragments.Complete() {
			t.Fatalf("at once: %v %v, in fragments: %v %v", err, atOnce.Complete(), errInFragments, inFragments.Complete())
		}
		if atOnce.Complete() && (len(p)-k != len(rest) || fmt.Sprintf("%+v", atOnce.Request()) != fmt.Sprintf("%+v", inFragments.Request())) {
			t.Fatalf("at once: %+v, in fragments: %+v", atOnce.Request(), inFragments.Request())
		}
		if len(atOnce.body) > MaxBufferedBodyBytes || len(atOnce.partialLine) > MaxHeadBytes {
			t.Fatalf("the decoder buffers %d bytes of a body and %d bytes of a line", len(atOnce.body), len(atOnce.partialLine))
		}
	})
}

// FuzzResponse checks the same properties of the response decoder as FuzzRequest does of the request decoder.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"), uint8(3))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("HTTP/1.0 500 No\r\n\r\nto the end"), uint8(9))
	f.Fuzz(func(t *testing.T, p []byte, n uint8) {
		atOnce, inFragments := NewResponseDecoder(nil), NewResponseDecoder(nil)
		k, err := atOnce.Feed(p)
		rest, errInFragments := feedInFragments(inFragments.Feed, inFragments.Complete, string(p), int(n)+1)
		if (err == nil) != (errInFragments == nil) || atOnce.Complete() != inFragments.Complete() {
			t.Fatalf("at once: %v %v, in fragments: %v %v", err, atOnce.Complete(), errInFragments, inFragments.Complete())
		}
		if atOnce.Complete() && (len(p)-k != len(rest) || fmt.Sprintf("%+v", atOnce.Response()) != fmt.Sprintf("%+v", inFragments.Response())) {
			t.Fatalf("at once: %+v, in fragments: %+v", atOnce.Response(), inFragments.Response())
		}
		if len(atOnce.body) > MaxBufferedBodyBytes || len(atOnce.partialLine) > MaxHeadBytes {
			t.Fatalf("the decoder buffers %d bytes of a body and %d bytes of a line", len(atOnce.body), len(atOnce.partialLine))
		}
	})
}
