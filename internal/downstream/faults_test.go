package downstream

import (
	"io"
	"maps"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/internal/simulation/faultinject"
)

// Transient faults of system calls, short reads and short writes must neither lose a request nor change a response. The
// test sends the first request of a connection, a second one on the same connection, and one whose client waits for 100 Continue.
func TestTransientSystemCallFaults(t *testing.T) {
	rules := faultinject.TransientRules()
	maps.Copy(rules, map[string]faultinject.Rule{
		"accept, ECONNABORTED": {Call: faultinject.Accept, Errno: unix.ECONNABORTED, MaxHits: 100},
		"accept, ENFILE":       {Call: faultinject.Accept, Errno: unix.ENFILE, MaxHits: 40},
		"accept, ENOBUFS":      {Call: faultinject.Accept, Errno: unix.ENOBUFS, MaxHits: 40},
		"accept, EPERM":        {Call: faultinject.Accept, Errno: unix.EPERM, MaxHits: 40},
		"accept, EHOSTUNREACH": {Call: faultinject.Accept, Errno: unix.EHOSTUNREACH, MaxHits: 40},
	})
	for name, rule := range rules {
		s := newTestServer(t, 8, 4, rule)
		c := s.connect()
		for _, txn := range []string{"1", "2"} {
			c.send(getRequest(txn))
			s.serve(s.nextExchange(), "body-"+txn)
			if _, got := c.response(); got != "body-"+txn {
				t.Errorf("%s: response %q, want %q", name, got, "body-"+txn)
			}
		}
		c.send("POST /pay HTTP/1.1\r\nX-Txn: 3\r\nX-Lane: pay\r\nX-Remaining: 1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		s.Do(func() {}) // gives the server the chance to read the head before the body is sent
		c.send("abc")
		s.serve(s.nextExchange(), "three")
		if got := finalResponse(t, c); got != "three" {
			t.Errorf("%s: response %q, want %q", name, got, "three")
		}
	}
}

// finalResponse skips interim responses and returns the body of the final response.
func finalResponse(t *testing.T, c *client) string {
	t.Helper()
	for {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 100 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
}
