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

// Guards against a connection that is held for good: an attempt whose client has gone before the end of the body can't be
// completed, so it is cancelled even if the settings do not allow to cancel what an upstream executes.
func TestIncompleteRequestIsCancelled(t *testing.T) {
	cfg := testConfig()
	cfg.CanCancel = false
	for _, incomplete := range []bool{true, false} {
		b := New(cfg, 1, 0)
		b.updateEndpoints(EndpointUpdate{Endpoints: testEndpoints(4), Snapshot: true})
		b.OnRequest(0, &RequestArrived{Request: 1, ExpiresIn: 2000, BodyIncomplete: incomplete})
		discard(b)
		b.OnRequestConcluded(10, 1)
		if cancelled := len(drain[CancelAttempt](b)) == 1; cancelled != incomplete {
			t.Errorf("body incomplete %v: attempt cancelled %v", incomplete, cancelled)
		}
	}
}
