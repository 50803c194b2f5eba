package driver

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/invariant"
	"salttrack/internal/memory"
)

func TestServed(t *testing.T) {
	f := newFixture(t, testConfig())
	x := f.receive(idempotentClass, 1000)
	f.advance(20)
	f.end(f.inFlight[0], balance.OK, "body")
	if f.disposition(x) != exchange.Served || string(f.responses[x][0].Body) != "body" {
		t.Errorf("responses %+v, want one that is served with the body of the attempt", f.responses[x])
	}
	if len(f.driver.exchanges) != 0 || len(f.driver.attemptTimeouts) != 0 {
		t.Errorf("%d exchanges and %d timeouts left in the driver", len(f.driver.exchanges), len(f.driver.attemptTimeouts))
	}
}

func TestClientDisconnects(t *testing.T) {
	f := newFixture(t, testConfig())
	x := f.receive(idempotentClass, 1000)
	a := f.inFlight[0]
	f.driver.ClientDisconnected(x)
	f.driver.ClientDisconnected(x)
	if len(f.responses[x]) != 0 || len(f.cancelled) != 1 || f.value("requests_abandoned") != 1 || f.value("attempts_ended_cancelled") != 1 {
		t.Errorf("%d responses, %d attempts cancelled, %d requests abandoned", len(f.responses[x]), len(f.cancelled), f.value("requests_abandoned"))
	}
	f.driver.AttemptEnded(a, exchange.Result{Outcome: balance.OK}) // the response arrives while the attempt is being cancelled
	if f.value("requests_served") != 0 || len(f.driver.exchanges) != 0 {
		t.Error("a request whose client disconnected is counted as served or not removed")
	}
}

// Guards against a request that is held but not counted: its client has gone, and its attempt may not be cancelled.
func TestRequestOfGoneClientIsCounted(t *testing.T) {
	config := testConfig()
	config.CanCancel = false
	f := newFixture(t, config)
	f.driver.memory = memory.NewAccount(1 << 20)
	x := f.receive(idempotentClass, 1000)
	x.MessageBytes = 5000
	f.driver.ClientDisconnected(x)
	if used := f.driver.memory.Total(); used != exchangeBytes+5000 {
		t.Errorf("%d bytes are counted, want %d", used, exchangeBytes+5000)
	}
	f.end(f.inFlight[0], balance.OK, "")
	if used := f.driver.memory.Total(); used != 0 {
		t.Errorf("%d bytes are counted after the end", used)
	}
}

// A client may have closed its connection without the driver having been told yet. The driver then sends neither a first
// attempt nor a retry, since it asks the client whether it is connected before it sends.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	f := newFixture(t, testConfig())
	f.disconnected = true
	if x := f.receive(idempotentClass, 500); len(f.inFlight) != 0 || x.Disposition() != exchange.Abandoned {
		t.Errorf("%d attempts sent, disposition %v", len(f.inFlight), x.Disposition())
	}
	f.disconnected = false
	f.serve(40)
	x := f.receive(idempotentClass, 500)
	f.disconnected = true
	f.end(f.inFlight[0], balance.ConnectFailed, "")
	if len(f.inFlight) != 0 || f.value("retries") != 0 || x.Disposition() != exchange.Abandoned {
		t.Errorf("%d retries sent, disposition %v", len(f.inFlight), x.Disposition())
	}
	if n := f.value("requests_abandoned"); n != 2 || f.driver.Exchanges() != 0 {
		t.Errorf("%d requests abandoned, %d exchanges left in the driver", n, f.driver.Exchanges())
	}
}

// A ForwardRequest that is executed after the client has disconnected sends nothing and is counted as not sent.
func TestNotSentAfterClientDisconnected(t *testing.T) {
	f := newFixture(t, testConfig())
	x := f.receive(idempotentClass, 1000)
	f.driver.ClientDisconnected(x)
	f.driver.exchanges[x.ID] = x // the driver keeps the exchange while other attempts are in flight
	f.driver.execute(&balance.ForwardRequest{Request: x.ID, Upstream: 2})
	if len(f.inFlight) != 0 || f.value("attempts_ended_not_sent") != 1 {
		t.Errorf("%d attempts sent, %d counted as not sent", len(f.inFlight), f.value("attempts_ended_not_sent"))
	}
}

// If an attempt ends while it is being started, the actions that follow from its end must wait
// until the current action has been executed.
func TestAttemptEndsWhileStarting(t *testing.T) {
	f := newFixture(t, testConfig())
	for range 30 { // fills the retry budget
		f.receive(idempotentClass, 1000)
		f.advance(10)
		f.end(f.inFlight[0], balance.OK, "")
	}
	var upstreams []balance.UpstreamID
	f.onStart = func(a *exchange.Attempt) {
		upstreams = append(upstreams, a.Upstream)
		f.driver.AttemptEnded(a, exchange.Result{Outcome: balance.ConnectFailed})
	}
	x := f.receive(nonIdempotentClass, 1000)
	if len(upstreams) < 2 || upstreams[0] == upstreams[1] || f.disposition(x) != exchange.Rejected {
		t.Errorf("attempts at upstreams %v, responses %+v; want attempts at different upstreams, then a rejection", upstreams, f.responses[x])
	}
	_, more := f.driver.balancer.NextAction()
	if f.driver.executing || more || len(f.driver.exchanges) != 0 {
		t.Error("actions or exchanges are left in the driver")
	}
}

// A request that an upstream finds invalid fails at once.
// It is not retried, and does not count as a failure of the upstream.
func TestInvalidRequest(t *testing.T) {
	f := newFixture(t, testConfig())
	f.serve(20) // fills the retry budget and provides the samples that throttling needs
	for range 30 {
		x := f.receive(idempotentClass, 1000)
		f.end(f.inFlight[0], balance.InvalidRequest, "")
		if f.disposition(x) != exchange.Failed || !f.responses[x][0].InvalidRequest || len(f.inFlight) != 0 {
			t.Fatalf("responses %+v, %d attempts in flight; want a failure with InvalidRequest and no attempt", f.responses[x], len(f.inFlight))
		}
	}
	for range 20 {
		x := f.receive(nonIdempotentClass, 1000)
		if len(f.inFlight) != 1 {
			t.Fatalf("%d attempts in flight for a valid request, responses %+v; want 1 attempt", len(f.inFlight), f.responses[x])
		}
		f.end(f.inFlight[0], balance.OK, "")
	}
	if f.value("attempts_ended_invalid_request") != 30 || f.value("retries") != 0 || f.value("requests_rejected") != 0 {
		t.Errorf("%d invalid, %d retries, %d rejected", f.value("attempts_ended_invalid_request"), f.value("retries"), f.value("requests_rejected"))
	}
}

func TestLateResponsesAreCounted(t *testing.T) {
	f := newFixture(t, testConfig())
	f.receive(idempotentClass, 100)
	f.now += 200 // simulates that the process was not scheduled for 200 ms
	f.timers.Run(f.now)
	f.receive(idempotentClass, 100)
	f.advance(105) // after the deadline of the response, before the client's own deadline
	if f.value("responses_late") != 1 || f.value("requests_failed")+f.value("requests_rejected") != 2 {
		t.Errorf("%d late responses, want 1", f.value("responses_late"))
	}
}

// Guards against a violated invariant, at which the debug build panics: the client may reset its connection while a long response
// starts, which ends the attempt before Respond returns.
func TestAttemptEndsWhileResponseStarts(t *testing.T) {
	f := newFixture(t, testConfig())
	x := f.receive(idempotentClass, 1000)
	a := f.inFlight[0]
	f.onRespond = func() { f.end(a, balance.Cancelled, "") }
	violations := invariant.Violations()
	f.driver.ResponseStarted(a, bodystream.New(bodystream.NewBufferPool(1, nil), -1))
	if n := invariant.Violations() - violations; n != 0 || f.disposition(x) != exchange.Served || f.driver.Exchanges() != 0 {
		t.Errorf("%d violations, disposition %v, %d exchanges left", n, f.disposition(x), f.driver.Exchanges())
	}
}
