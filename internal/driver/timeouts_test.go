package driver

import (
	"testing"

	"salttrack/internal/exchange"
)

// A timeout before the request was written completely proves that the request was never executed. A later timeout does
// not, so a non-idempotent request must then fail: a rejection would tell the client that a retry is safe.
func TestTimeout(t *testing.T) {
	for _, tt := range []struct {
		requestComplete bool
		counter         string
		want            exchange.Disposition
	}{
		{true, "attempts_ended_timed_out", exchange.Failed},
		{false, "attempts_ended_connect_failed", exchange.Rejected},
	} {
		f := newFixture(t, testConfig())
		x := f.receive(nonIdempotentClass, 600)
		f.inFlight[0].RequestComplete = tt.requestComplete
		f.advance(1000)
		if f.disposition(x) != tt.want || f.value(tt.counter) != 1 || len(f.cancelled) != 1 {
			t.Errorf("request complete %v: responses %+v, %s %d, %d attempts cancelled", tt.requestComplete, f.responses[x],
				tt.counter, f.value(tt.counter), len(f.cancelled))
		}
	}
}

func TestTimeoutIsNotLaterThanDeadline(t *testing.T) {
	f := newFixture(t, testConfig())
	f.receive(idempotentClass, 300)
	if a := f.inFlight[0]; a.TimeoutAt != f.now+300 {
		t.Errorf("timeout after %.0f ms, deadline after 300 ms", a.TimeoutAt-f.now)
	}
	f.receive(idempotentClass, 5000)
	if a := f.inFlight[1]; a.TimeoutAt >= f.now+800 {
		t.Errorf("timeout after %.0f ms, latency objective 800 ms", a.TimeoutAt-f.now)
	}
}
