package node

import (
	"io"
	"net"
	"testing"
)

// Checks the exact bytes of the responses to GET /-/ready. Connections are refused until the endpoint list is known.
// After that the status is 200, and from the start of the shutdown on it is 503.
func TestReadyResponses(t *testing.T) {
	r := newBalancer(t, "")
	r.Do(r.start)
	watch, _ := r.acceptWatch()
	if conn, err := net.Dial("tcp", r.listen); err == nil {
		conn.Close()
		t.Error("a client connection is accepted before the endpoint list is known")
	}
	sendSnapshot(watch, endpoint("127.0.0.1:1", "in_service"))
	const request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	expect := func(when, want string) {
		t.Helper()
		conn := r.dialWhenListening()
		io.WriteString(conn, request)
		if got, err := io.ReadAll(conn); err != nil || string(got) != want {
			t.Errorf("%s: %q, %v, want %q", when, got, err, want)
		}
	}
	expect("after the endpoint update", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	r.Do(func() { r.node.Shutdown(r.Loop.Now(), func() {}) })
	expect("during the shutdown", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	r.close()
}
