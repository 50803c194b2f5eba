package discovery

import (
	"io"
	"testing"
)

// Guards against requests to draining upstreams while a watch that ended instead of telling a change waits for its backoff.
func TestAnsweredStreamIsReopenedWithoutBackoff(t *testing.T) {
	ready := member("s-1", "in_service")
	for _, tt := range []struct {
		name string
		ends func(*serverStream)
	}{
		{"after a snapshot", func(s *serverStream) { s.send(snapshot(43, ready)); io.WriteString(s, "0\r\n\r\n") }},
		{"after a keepalive", func(s *serverStream) { s.send("\n"); s.Close() }},
		{"without a message", func(s *serverStream) { io.WriteString(s, "0\r\n\r\n") }},
		{"with a reset", func(s *serverStream) { s.send(snapshot(43, ready)); s.SetLinger(0); s.Close() }},
		{"with a malformed change", func(s *serverStream) { s.send(snapshot(43, ready) + "\n" + malformedMember) }},
	} {
		service := newService(t)
		f := watch(t, service.Address())
		for ended := uint64(1); ended <= 6; ended++ {
			s := service.next()
			s.sendHeader()
			tt.ends(s)
			f.WaitForCounter("watch_failures", ended)
			if f.AdvanceTimers(100); f.CounterValue("watch_requests") != ended+1 {
				t.Fatalf("%s: no stream within 100 ms after stream %d ended", tt.name, ended)
			}
		}
	}
}

// A service that does not answer properly is asked again after a growing backoff only.
func TestFailedStreamsBackOff(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fails func(*serverStream)
	}{
		{"no response", func(s *serverStream) { s.Close() }},
		{"status 503", func(s *serverStream) { io.WriteString(s, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }},
		{"first message malformed", func(s *serverStream) { s.sendHeader(); s.send(malformedMember) }},
	} {
		service := newService(t)
		f := watch(t, service.Address())
		for range 4 {
			tt.fails(service.next())
		}
		f.WaitForCounter("watch_failures", 4)
		if f.AdvanceTimers(500); f.CounterValue("watch_requests") != 4 {
			t.Errorf("%s: the service was asked again within 500 ms after the fourth failure", tt.name)
		}
	}
}
