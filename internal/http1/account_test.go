package http1

import (
	"strings"
	"testing"

	"salttrack/internal/memory"
)

// Guards against more memory than the limit: bodies that are buffered together are limited by the account. The one that exceeds it
// is streamed, and all memory is returned when the bodies end.
func TestBodiesAreStreamedWithoutMemory(t *testing.T) {
	const length = 40 << 10
	head := "POST /pay/x HTTP/1.1\r\nContent-Length: 40960\r\n\r\n"
	const heads = 1 << 10                            // for what is kept of the heads, in bytes
	account := memory.NewAccount(4*length + 2*heads) // bodies are buffered up to half of it
	var decoders []*RequestDecoder
	for n := range 4 {
		d := NewRequestDecoder()
		d.CountMemory(account)
		decoders = append(decoders, d)
		if _, err := d.Feed([]byte(head + strings.Repeat("a", length-1))); err != nil {
			t.Fatal(err)
		}
		if streams, want := d.NeedsStreaming(), n >= 2; streams != want {
			t.Errorf("body %d is streamed: %v, want %v", n, streams, want)
		}
		if d.NeedsStreaming() {
			_, release := d.StreamBodyTo(func([]byte) {})
			release()
		}
		if _, err := d.Feed([]byte("a")); err != nil || !d.Complete() {
			t.Errorf("body %d is incomplete: %v", n, err)
		}
	}
	if bodies := account.Used(memory.Bodies); bodies > 2*length {
		t.Errorf("%d bytes are buffered, the limit is %d", bodies, 2*length)
	}
	decoders[0].Reset()
	for _, d := range decoders[1:] {
		d.Release()
	}
	if account.Total() != 0 {
		t.Errorf("%d bytes are not returned", account.Total())
	}
}

// While there is no memory for bodies, one that is complete or short is buffered nevertheless: streaming it would save no memory.
func TestShortBodiesAreBufferedWithoutMemory(t *testing.T) {
	for _, tt := range []struct{ limit, length int }{
		{0, 20000},
		{0, minRejectedBytes},
		{minStreamedBodyBytes * 3 / 2, minStreamedBodyBytes}, // over half of the account, under three quarters
	} {
		d := NewRequestDecoder()
		d.CountMemory(memory.NewAccount(tt.limit))
		_, err := d.Feed([]byte("POST /pay/x HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("a", tt.length)))
		if err != nil || d.NeedsStreaming() {
			t.Errorf("a body of which %d bytes are received is streamed, or %v", d.bodyBytes, err)
		}
	}
}

// Guards against more memory than the limit: hundreds of clients send long lines or long values in their heads, which are rejected
// while there is no memory for them. Short ones are kept.
func TestLongHeadsAreRejectedWithoutMemory(t *testing.T) {
	long := strings.Repeat("a", minRejectedBytes)
	for name, tt := range map[string]struct {
		text     string
		rejected bool
	}{
		"incomplete line":       {"GET /read/x HTTP/1.1\r\nA: " + long, true},
		"path":                  {"GET /read/" + long + " HTTP/1.1\r\n", true},
		"value":                 {"GET /read/x HTTP/1.1\r\nX-Labels: " + long + "a\r\n", true},
		"unused value":          {"GET /read/x HTTP/1.1\r\nA: " + long + "a\r\n", false},
		"many short fields":     {"GET /read/x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 1000), false},
		"short incomplete line": {"GET /read/x HTTP/1.1\r\nX-Labels: " + long[:900], false},
	} {
		for _, limit := range []int{0, 1 << 20} {
			d := NewRequestDecoder()
			account := memory.NewAccount(limit)
			account.Add(memory.Connections, 1)
			d.CountMemory(account)
			_, err := d.Feed([]byte(tt.text))
			if rejected := err == errNoMemoryForHead; rejected != (tt.rejected && limit == 0) || err != nil && !rejected {
				t.Errorf("%s with a limit of %d bytes: %v", name, limit, err)
			}
			d.Release()
			if account.Total() != 1 {
				t.Errorf("%s: %d bytes are not returned", name, account.Total()-1)
			}
		}
	}
}
