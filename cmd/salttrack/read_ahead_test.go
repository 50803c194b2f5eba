package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against attempts for a client that has left: its close arrives behind more requests than the kernel holds, while the first
// of them is at an upstream. The first attempt is reset after holdDuration, and must not be retried.
func TestNoRetryForClientThatLeftBehindManyRequests(t *testing.T) {
	const requestBytes = 200 << 10
	var attempts atomic.Int32
	upstream := func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("X-Txn"), "many") {
			echo(w, r)
			return
		}
		attempts.Add(1)
		conn := hijack(w)
		time.Sleep(holdDuration)
		conn.SetLinger(0)
		conn.Close()
	}
	e := newEnvironment(t, upstream, upstream)
	p := start(t, e.config(nil))
	for n := range 40 { // fills the retry budget
		p.expectStatus("read", fmt.Sprint("read", n), http.StatusOK)
	}
	var requests strings.Builder
	for n := 0; requests.Len() < requestBytes; n++ {
		fmt.Fprintf(&requests, "GET /read/x HTTP/1.1\r\nX-Txn: many%d\r\nX-Lane: read\r\nX-Remaining: 3\r\n\r\n", n)
	}
	conn := p.dial()
	if _, err := conn.Write([]byte(requests.String())); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the first attempt", func() bool { return attempts.Load() > 0 })
	conn.Close()
	time.Sleep(2 * holdDuration)
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts, want the one that began before the client left", n)
	}
	p.terminate()
	p.expectNothingInFlight()
}
