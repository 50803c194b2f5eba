package downstream

import (
	"testing"

	"salttrack/internal/memory"
)

// Guards against more memory than the limit: while none is left, requests get 503 and are not forwarded. Afterwards they are served.
func TestRequestsAreRejectedWithoutMemory(t *testing.T) {
	s := newTestServer(t, 8, 2)
	account := memory.NewAccount(1 << 20)
	s.Do(func() { s.server.Memory = account })
	c := s.connect()
	s.WaitForCounter("client_connections_accepted", 1)
	s.Do(func() { account.Add(memory.Bodies, account.Limit()) })
	c.send(getRequest("1"))
	if response, _ := c.response(); response.StatusCode != 503 {
		t.Errorf("without memory: status %d, want 503", response.StatusCode)
	}
	s.Do(func() { account.Add(memory.Bodies, -account.Limit()) })
	c.send(getRequest("2"))
	s.serve(s.nextExchange(), "ok")
	if response, _ := c.response(); response.StatusCode != 200 {
		t.Errorf("with memory: status %d, want 200", response.StatusCode)
	}
	if n := s.CounterValue("client_memory_rejected"); n != 1 {
		t.Errorf("%d requests were rejected for lack of memory, want 1", n)
	}
}
