package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"salttrack/internal/memory"
)

// indented returns a message with line breaks and indentation.
func indented(t *testing.T, message string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(message), "", "  "); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Messages may be compact or indented, with LF or CRLF line breaks, and may be received in pieces of any size.
func TestSplitMessages(t *testing.T) {
	compact := snapshot(50, member("s-{1", "in_service"), member("s\\\"]2", "terminating"))
	pretty := indented(t, compact)
	for _, text := range []string{compact, pretty, strings.ReplaceAll(pretty, "\n", "\r\n")} {
		for _, size := range []int{1, 7, 1 << 20} {
			keepalives, messages := 0, 0
			s := messageSplitter{onKeepalive: func() { keepalives++ }, onMessage: func(p []byte) error {
				messages++
				u, err := ParseUpdate(p)
				if err == nil && (u.Revision != 50 || len(u.Endpoints) != 2) {
					err = fmt.Errorf("%+v", u)
				}
				return err
			}}
			for p := []byte("\n" + text + text + "\n \r\n" + text + "\n\n"); len(p) > 0; p = p[min(size, len(p)):] {
				if err := s.feed(p[:min(size, len(p))]); err != nil {
					t.Fatalf("%.40q in pieces of %d bytes: %v", text, size, err)
				}
			}
			if messages != 3 || keepalives != 3 {
				t.Errorf("%.40q in pieces of %d bytes: %d messages, %d keepalives", text, size, messages, keepalives)
			}
		}
	}
}

func TestSplitMalformedStreams(t *testing.T) {
	for _, tt := range []struct {
		text string
		want Violation
	}{
		{"x", MalformedStream},
		{"[]", MalformedStream},
		{`"a"`, MalformedStream},
		{"}", MalformedStream},
		{"{\"revision\":4,\"mem\n{", MalformedStream},
		{"{]", MalformedUpdate},
		{"{\"a\":1]}", MalformedUpdate},
	} {
		s := messageSplitter{onKeepalive: func() {}, onMessage: func(p []byte) error { _, err := ParseUpdate(p); return err }}
		if err := s.feed([]byte(tt.text)); !errors.Is(err, tt.want) {
			t.Errorf("%q: %v, want %v", tt.text, err, tt.want)
		}
	}
}

// A message that never ends fails once more than maxMessageBytes are buffered.
func TestSplitEndlessMessage(t *testing.T) {
	s := messageSplitter{}
	var err error
	for err == nil {
		if len(s.buffer) > 2*maxMessageBytes {
			t.Fatalf("%d bytes buffered, at most %d allowed", len(s.buffer), maxMessageBytes)
		}
		err = s.feed(bytes.Repeat([]byte{'{'}, 1<<20))
	}
	if !errors.Is(err, UpdateTooLarge) {
		t.Errorf("%v, want %v", err, UpdateTooLarge)
	}
}

// Guards against a message that is not counted, or is longer than the memory for peers.
func TestMessageIsCounted(t *testing.T) {
	const limit = 1 << 20
	account := memory.NewAccount(limit)
	s := messageSplitter{account: account}
	piece := bytes.Repeat([]byte{'{'}, 64<<10)
	for len(s.buffer) < limit {
		if err := s.feed(piece); err != nil || account.Used(memory.Discovery) != cap(s.buffer) {
			t.Fatalf("%d bytes buffered, %d counted, %v", len(s.buffer), account.Used(memory.Discovery), err)
		}
	}
	if err := s.feed(piece); !errors.Is(err, UpdateTooLarge) {
		t.Errorf("%v, want %v", err, UpdateTooLarge)
	}
	if s.release(); account.Total() != 0 {
		t.Errorf("%d bytes are counted after the end", account.Total())
	}
}
