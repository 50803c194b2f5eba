package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"salttrack/internal/epoll/epolltest"
)

// Guards against requests to draining endpoints after a start: the cached endpoint list may be outdated.
// Client connections are refused until discovery has answered, and no request goes to an endpoint that discovery lists as draining.
func TestListensAfterEndpointList(t *testing.T) {
	draining := epolltest.Listen(t).Address().String()
	r := newBalancer(t, endpoint(draining, "in_service"))
	r.Do(func() {
		r.start()
		if conn, err := net.Dial("tcp", r.listen); err == nil { // discovery has not answered yet
			conn.Close()
			t.Error("a client connection is accepted before the endpoint list is known")
		}
	})
	watch, request := r.acceptWatch()
	if since := request.URL.Query().Get("since"); since != "" {
		t.Fatalf("the first request to discovery asks for changes since revision %s, want a snapshot", since)
	}
	sendSnapshot(watch, endpoint(draining, "terminating"))
	conn := r.dialWhenListening()
	io.WriteString(conn, "GET /read/x HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\nX-Lane: read\r\nX-Remaining: 2\r\n\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != 503 {
		t.Errorf("response %v, %v, want 503", response, err)
	}
	r.Do(func() {
		if n, found := r.node.Counters.Value("attempts"); n != 0 || !found {
			t.Errorf("%d attempts at a draining endpoint, counter found: %v", n, found)
		}
		r.node.Shutdown(r.Loop.Now(), func() {})
	})
	conn.Close()
	r.close()
}
