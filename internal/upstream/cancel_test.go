package upstream

import (
	"io"
	"testing"

	"salttrack/balance"
	"salttrack/internal/exchange"
)

// Cancelling an attempt closes its connection, as the response to the cancelled request could still be received on it.
func TestCancel(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	a := r.start("x")
	c := u.accept()
	c.request()
	r.Do(func() {
		r.pool.Cancel(a)
		r.pool.Cancel(a)
	})
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("the upstream reads %v", err)
	}
	if r.CounterValue("upstream_connections_open") != 0 || len(r.ended) != 0 {
		t.Error("the connection of a cancelled attempt is open, or AttemptEnded was called for the attempt")
	}
}

// When an upstream is disabled, CancelUnsent ends an attempt whose connection is not established yet with the outcome
// NotSent. An attempt that was sent continues.
func TestCancelUnsent(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	sent := r.start("a")
	c := u.accept()
	c.request()
	x := r.newExchange()
	var unsent *exchange.Attempt
	r.Do(func() {
		unsent = r.begin(x, attemptTimeout)
		r.pool.CancelUnsent(1)
		r.pool.CancelUnsent(2) // an unknown upstream
	})
	r.checkOutcome(unsent, "connecting", balance.NotSent)
	c.respond(emptyResponse)
	r.checkOutcome(sent, "sent", balance.OK)
}
