package balance

import "testing"

func TestStreamingResponse(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Streaming = true
	f := newWarmHost(t, cfg, 4)
	req := f.submit(0, 2000)
	f.now += 100
	req.responded = true
	f.b.OnResponseStarted(f.now, &ResponseStarted{Request: req.id, Elapsed: 100})
	f.executeActions()
	req.attempts[0].endsAt = f.now + 60000
	for range 1000 {
		f.step()
	}
	if len(f.b.requests.byID) != 1 {
		t.Fatalf("%d requests in progress while the response is streamed, want 1", len(f.b.requests.byID))
	}
	f.endAttempt(req, 0, OK)
	if len(f.b.requests.byID) != 0 {
		t.Error("the request is still in progress after its response has ended")
	}
}
