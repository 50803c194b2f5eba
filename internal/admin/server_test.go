package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// response reads the response on a connection, and returns its status and body. The server has to close the connection after it.
func response(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	body, _ := io.ReadAll(r.Body)
	if rest, _ := io.ReadAll(conn); len(rest) > 0 || !r.Close {
		t.Error("the connection is not closed after its response")
	}
	return r.StatusCode, string(body)
}

// The response has the status that fits the path, method and upstream of the request. An override is applied once if the status is 200.
func TestRequests(t *testing.T) {
	s := startServer(t, 4, &fakeBalancer{ready: true})
	for _, tt := range []struct {
		request  string
		status   int
		override string
	}{
		{"GET /control/ready", 200, ""},
		{"GET /control/ready?x=1", 200, ""},
		{"POST /control/ready", 405, ""},
		{"POST /control/upstreams/s-1/offline", 200, "disable s-1"},
		{"POST /control/upstreams/s%2D1/online", 200, "enable s-1"},
		{"POST /control/upstreams/a%2Fb%2ec%20%25/offline", 200, "disable a/b.c %"},
		{"GET /control/upstreams/s-1/offline", 405, ""},
		{"POST /control/upstreams/unlisted/offline", 404, ""},
		{"POST /control/upstreams/unlisted/online", 404, ""},
		{"POST /control/upstreams/fails/offline", 503, ""},
		{"POST /control/upstreams//online", 400, ""},
		{"POST /control/upstreams/%zz/online", 400, ""},
		{"POST /control/upstreams/s-1/away", 404, ""},
		{"POST /control/upstreams/a/b/offline", 404, ""},
		{"GET /", 404, ""},
		{"GET nowhere", 400, ""},
	} {
		status, body := response(t, s.dial(tt.request+" HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"))
		override := ""
		if len(s.balancer.applied) > 0 {
			override = <-s.balancer.applied
		}
		if status != tt.status || override != tt.override || strings.Contains(body, `"error"`) != (tt.status >= 300) {
			t.Errorf("%s: %d %q, override %q", tt.request, status, body, override)
		}
	}
}

// A request may arrive in two parts, which are split at any byte.
func TestSplitRequest(t *testing.T) {
	s := startServer(t, 4, &fakeBalancer{ready: true})
	const request = "POST /control/upstreams/s-1/offline HTTP/1.1\r\n\r\n"
	for i := range request {
		conn := s.dial(request[:i])
		io.WriteString(conn, request[i:])
		if status, _ := response(t, conn); status != 200 {
			t.Errorf("request split after %d bytes: status %d, want 200", i, status)
		}
	}
}

// Incomplete requests of many clients don't block the server: it sheds idle connections, and responds to each complete request.
// An incomplete request is rejected with status 408 at its timeout.
func TestIncompleteRequests(t *testing.T) {
	const maxConnections = 8
	s := startServer(t, maxConnections, &fakeBalancer{ready: true})
	for range 6 {
		for range 40 {
			s.dial("POST /control/upstreams/s-1/offl")
		}
		if status, _ := response(t, s.dial("GET /control/ready HTTP/1.1\r\n\r\n")); status != 200 {
			t.Errorf("complete request: status %d, want 200", status)
		}
	}
	if n := s.CounterValue(shedCounter); n < 200 {
		t.Errorf("%d connections shed, want at least 200", n)
	}
	newest := s.dial("")
	s.WaitForCounter(acceptedCounter, 6*41+1)
	for range maxConnections { // several calls, since AdvanceTimers stops at the first due timer that was set during the call
		s.AdvanceTimers(requestTimeout + 1)
	}
	if status, _ := response(t, newest); status != 408 {
		t.Errorf("incomplete request: status %d, want 408", status)
	}
}

// The error of a failed override wraps its cause, and a parsing error is an HTTPError with the status of the response.
func TestHTTPErrors(t *testing.T) {
	if err := error(overrideFailed(errNoSpace)); !errors.Is(err, errNoSpace) {
		t.Errorf("error %v does not wrap its cause", err)
	}
	_, parseErr := parseRequest("GET", "/control/upstreams/s-1/offline")
	var httpErr *HTTPError
	if !errors.As(error(parseErr), &httpErr) || httpErr.Status != statusMethodNotAllowed {
		t.Errorf("%v, want status %d", parseErr, statusMethodNotAllowed)
	}
}
