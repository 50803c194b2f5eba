package http1

import (
	"fmt"
	"strings"
	"testing"
)

// streamingDecoder is the common interface of both decoders for streamed bodies.
type streamingDecoder interface {
	Feed([]byte) (int, error)
	NeedsStreaming() bool
	Complete() bool
	ContentLength() int64
	StreamBodyTo(func([]byte)) (received []byte, release func())
}

// A streamed body has to be passed on unchanged for every framing and wherever the input is split,
// and the bytes that follow it must not be consumed.
func TestStreamedBody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", (MaxBufferedBodyBytes+4096)/16)
	half := len(body) / 2
	chunks := fmt.Sprintf("%x;ext=\"a;b\"\r\n%s\r\n%X \r\n%s\r\n000;last\r\nTrailer: x\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	request, response := func() streamingDecoder { return NewRequestDecoder() }, func() streamingDecoder { return NewResponseDecoder(nil) }
	sized, chunked := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "Transfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct {
		decoder               func() streamingDecoder
		head, body, following string
		length                int64
	}{
		{request, "POST /pay HTTP/1.1\r\n" + sized, body, "GET", int64(len(body))},
		{request, "POST /pay HTTP/1.1\r\n" + chunked, chunks, "GET", -1},
		{response, "HTTP/1.1 200 OK\r\n" + sized, body, "HTT", int64(len(body))},
		{response, "HTTP/1.1 200 OK\r\n" + chunked, chunks, "HTT", -1},
		{response, "HTTP/1.1 200 OK\r\n\r\n", body, "", -1}, // body that ends with the connection
	} {
		in := tt.head + tt.body + tt.following
		for split := 1; split < len(in); split++ {
			// All positions in the head and near both ends of the body are tested, and every 3001st in the rest of the body.
			if split > len(tt.head)+40 && split < len(tt.head)+len(tt.body)-80 && split%3001 != 0 {
				continue
			}
			d := tt.decoder()
			var got []byte
			notConsumed := 0
			for _, p := range []string{in[:split], in[split:]} {
				n := 0
				if !d.Complete() {
					var err error
					if n, err = d.Feed([]byte(p)); err != nil {
						t.Fatalf("%q split at byte %d: %v", tt.head, split, err)
					}
				}
				if d.NeedsStreaming() {
					received, _ := d.StreamBodyTo(func(q []byte) { got = append(got, q...) })
					got = append(got, received...)
				}
				notConsumed += len(p) - n
			}
			if string(got) != body || notConsumed != len(tt.following) || d.ContentLength() != tt.length || d.Complete() != (tt.following != "") {
				t.Fatalf("%q split at byte %d: %d of %d body bytes passed on, %d bytes not consumed, length %d, complete %v", tt.head, split, len(got), len(body), notConsumed, d.ContentLength(), d.Complete())
			}
		}
	}
}
