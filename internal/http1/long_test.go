package http1

import (
	"fmt"
	"strings"
	"testing"
)

// Long bodies come out the same however they are framed and wherever they are cut, and what follows is left over.
func TestLong(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", (MaxBody+4096)/16)
	half := len(body) / 2
	chunks := fmt.Sprintf("%x;ext=\"a;b\"\r\n%s\r\n%X \r\n%s\r\n000;last\r\nTrailer: x\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	for _, tt := range []struct {
		name, head, tail string
		length           int64
	}{
		{"a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body, int64(len(body))},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", chunks, -1},
		{"to the end", "\r\n", body, -1},
	} {
		for _, request := range []bool{false, true} {
			if request && tt.name == "to the end" {
				continue
			}
			first := "HTTP/1.1 200 OK\r\n"
			if request {
				first = "POST /pay HTTP/1.1\r\n"
			}
			head := first + tt.head
			whole, more := head+tt.tail, "GET"
			if tt.name == "to the end" {
				more = ""
			}
			in := whole + more
			var cuts []int
			for i := 1; i < len(head)+40; i++ { // each byte of the head and the first of the body, and some further in
				cuts = append(cuts, i)
			}
			for i := len(head) + 40; i < len(in); i += 3001 {
				cuts = append(cuts, i)
			}
			for i := max(1, len(whole)-80); i < len(in); i++ {
				cuts = append(cuts, i)
			}
			for _, cut := range cuts {
				var got []byte
				feed, long, done := (func([]byte) (int, error))(nil), (func() bool)(nil), (func() bool)(nil)
				var d *decoder
				if request {
					r := NewRequestDecoder()
					d, feed, long, done = &r.decoder, r.Feed, r.Long, r.Done
				} else {
					r := NewResponseDecoder(nil)
					d, feed, long, done = &r.decoder, r.Feed, r.Long, r.Done
				}
				left := 0
				for _, p := range []string{in[:cut], in[cut:]} {
					if done() {
						left += len(p)
						continue
					}
					n, err := feed([]byte(p))
					if err != nil {
						t.Fatalf("%s cut at %d: %v", tt.name, cut, err)
					}
					if long() {
						got = append(got, d.Divert(func(q []byte) { got = append(got, q...) })...)
					}
					left += len(p) - n
				}
				if string(got) != body || left != len(more) || d.Length() != tt.length || done() != (tt.name != "to the end") {
					t.Fatalf("%s cut at %d: %d bytes of %d, %d left over, length %d, done %v", tt.name, cut, len(got), len(body), left, d.Length(), done())
				}
			}
		}
	}
}
