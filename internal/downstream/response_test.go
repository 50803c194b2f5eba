package downstream

import (
	"strings"
	"testing"

	"salttrack/internal/exchange"
)

// The status and Retry-After of a response have to match the disposition of its exchange.
// Only the first response of an exchange may be sent.
func TestResponseByDisposition(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	for _, tt := range []struct {
		response   exchange.Response
		status     int
		retryAfter string
	}{
		{exchange.Response{Disposition: exchange.Served}, 200, ""},
		{exchange.Response{Disposition: exchange.Rejected}, 503, ""},
		{exchange.Response{Disposition: exchange.Rejected, RetryAfter: 250}, 503, "0.250"},
		{exchange.Response{Disposition: exchange.Failed}, 502, ""},
		{exchange.Response{Disposition: exchange.Failed, InvalidRequest: true}, 400, ""},
	} {
		c.send(getRequest("1"))
		x := s.nextExchange()
		s.Do(func() {
			if !x.Respond(tt.response) || x.Respond(exchange.Response{Disposition: exchange.Failed}) {
				t.Error("the first response was refused or the second one was not")
			}
		})
		if resp, _ := c.response(); resp.StatusCode != tt.status || resp.Header.Get("Retry-After") != tt.retryAfter {
			t.Errorf("%+v: status %d, Retry-After %q, want %d and %q", tt.response, resp.StatusCode, resp.Header.Get("Retry-After"), tt.status, tt.retryAfter)
		}
	}
}

// A client that is still sending its request body must receive a response that was sent early.
// Closing the connection with unread input would send a reset, by which the client would lose the response.
func TestResponseBeforeUnreadInput(t *testing.T) {
	s := newTestServer(t, 64, 4)
	c := s.connect()
	c.send("POST /pay HTTP/1.1\r\nX-Txn: 1\r\nX-Lane: pay\r\nX-Remaining: 1\r\nContent-Length: 99999999\r\n\r\n" +
		strings.Repeat("x", 300000))
	if resp, _ := c.response(); resp.StatusCode != 413 {
		t.Errorf("status %d, want 413", resp.StatusCode)
	}
	c.expectEOF()
}

// A client that reads slowly has to receive all of its responses and must not delay other clients.
func TestSlowClient(t *testing.T) {
	s := newTestServer(t, 64, 4)
	slow := s.connect()
	body := strings.Repeat("y", 64<<10)
	const many = 300 // number of responses; together they exceed the socket buffers of the kernel
	slow.send(strings.Repeat(getRequest("1"), many))
	go func() {
		for x := range s.exchanges {
			s.serve(x, body)
		}
	}()
	fast := s.connect()
	fast.send(getRequest("2"))
	if _, got := fast.response(); got != body {
		t.Error("the fast client received a wrong response")
	}
	for range many {
		if _, got := slow.response(); got != body {
			t.Fatal("the slow client received a wrong response")
		}
	}
}

// The connection has to end after the response if the request contains Connection: close or is an HTTP/1.0 request.
func TestConnectionClose(t *testing.T) {
	s := newTestServer(t, 64, 4)
	for _, in := range []string{
		strings.Replace(getRequest("1"), "Host: x", "Connection: close", 1),
		strings.Replace(getRequest("1"), "HTTP/1.1", "HTTP/1.0", 1),
	} {
		c := s.connect()
		c.send(in)
		s.serve(s.nextExchange(), "ok")
		if _, got := c.response(); got != "ok" {
			t.Errorf("response %q, want %q", got, "ok")
		}
		c.expectEOF()
	}
}
