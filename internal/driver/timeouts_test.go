package driver

import (
	"testing"

	"salttrack/balance"
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

// A request whose time has passed before its last byte was read gets its final response. No upstream has executed it, so
// it is rejected. The upstream counts as unreachable only if it has stopped reading before the second half of the attempt.
func TestRequestExpires(t *testing.T) {
	for _, tt := range []struct {
		name         string
		bodySent     bool
		blockedAfter balance.Millis // when the upstream stopped reading, in ms from the start; 0 if it still reads
		counter      string
	}{
		{"nothing sent", false, 0, "attempts_ended_connect_failed"},
		{"upstream has stopped reading", true, 100, "attempts_ended_connect_failed"},
		{"upstream reads slowly", true, 900, "attempts_ended_not_sent"},
		{"upstream has read all that there is", true, 0, "attempts_ended_not_sent"},
	} {
		f := newFixture(t, testConfig())
		x := f.receiveIncomplete(nonIdempotentClass)
		a := f.inFlight[0]
		a.RequestComplete = false
		x.BodySent = tt.bodySent
		if tt.blockedAfter > 0 {
			a.BlockedSince = f.now + tt.blockedAfter
		}
		f.advance(1000)
		f.driver.RequestExpired(x)
		f.advance(1)
		if f.disposition(x) != exchange.Rejected || f.value(tt.counter) != 1 || len(f.cancelled) != 1 {
			t.Errorf("%s: responses %+v, %s %d, %d attempts cancelled", tt.name, f.responses[x], tt.counter, f.value(tt.counter), len(f.cancelled))
		}
	}
}

// Guards against long responses that are cut off: one that is still being sent when its attempt times out is streamed, except
// at the shutdown deadline, after which the program exits.
func TestResponseBeingSentAtTimeout(t *testing.T) {
	for _, tt := range []struct {
		name     string
		shutdown bool
		want     exchange.Disposition
	}{
		{"in operation", false, exchange.Served},
		{"at the shutdown deadline", true, exchange.Failed},
	} {
		f := newFixture(t, testConfig())
		f.stillSending = true
		x := f.receive(nonIdempotentClass, 600)
		if tt.shutdown {
			f.driver.SetShutdownDeadline(f.now + 500)
		}
		f.advance(1000)
		if f.disposition(x) != tt.want {
			t.Errorf("%s: responses %+v, want %v", tt.name, f.responses[x], tt.want)
		}
	}
}
