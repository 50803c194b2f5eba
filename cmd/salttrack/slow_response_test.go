package main

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

const (
	slowBodyBytes  = 120 << 10
	slowBodyPart   = 4 << 10
	slowBodyPause  = 50 * time.Millisecond // between two parts: the body takes 1.5 s, and its first 64 KiB 0.8 s
	slowBodyOnTime = 400                   // ms; latency objective of the classes
)

// writeSlowly is an upstream's handler that responds with slowBodyBytes, of which it writes a part at a time. The framing is that of
// the path: "chunked", or "close" for a body that ends with the connection.
func writeSlowly(w http.ResponseWriter, r *http.Request) {
	var out io.Writer = w
	flush := http.NewResponseController(w).Flush
	if r.URL.Path == "/read/close" || r.URL.Path == "/pay/close" {
		io.Copy(io.Discard, r.Body)
		conn := hijack(w)
		defer conn.Close()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		out = conn
		flush = func() error { return nil }
	}
	for sent := 0; sent < slowBodyBytes; sent += slowBodyPart {
		if _, err := out.Write(streamedBody()[sent : sent+slowBodyPart]); err != nil || flush() != nil {
			return
		}
		time.Sleep(slowBodyPause)
	}
}

// Guards against long responses that are cut off while their upstream is still sending them: the latency objective passes before
// the first 64 KiB have arrived, and the length of the response is not known.
func TestSlowLongResponsesAreNotCutOff(t *testing.T) {
	want := streamedBody()[:slowBodyBytes] // computed here, as that takes longer than the latency objective
	e := newEnvironment(t, writeSlowly)
	p := start(t, e.config(func(config map[string]any) {
		for n := range 2 {
			classOf(settingsOf(config), n)["on_time_ms"] = slowBodyOnTime
		}
	}))
	for _, class := range []string{"read", "pay"} {
		for _, framing := range []string{"chunked", "close"} {
			r := request{class: class, path: framing, id: class + framing, remaining: "2.5"}
			if class == "pay" {
				r.body = bytes.NewReader([]byte("payload"))
			}
			response, err := p.send(r)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || !bytes.Equal(body, want) {
				t.Errorf("%s, %s: status %d, %d bytes, %v", class, framing, response.StatusCode, len(body), err)
			}
		}
	}
	p.terminate()
	p.expectNothingInFlight()
}
