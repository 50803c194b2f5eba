package upstream

import (
	"io"
	"testing"

	"salttrack/balance"
	"salttrack/internal/exchange"
)

// Cancelling an attempt closes its connection, on which the response is still to be received.
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
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the upstream reads %v", err)
	}
	if r.CounterValue("upstream_connections_open") != 0 || len(r.ended) != 0 {
		t.Error("a cancelled attempt is kept, or ends again")
	}
}

// An attempt of which nothing is sent ends as not sent when its upstream is disabled. One that was sent goes on.
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
		r.pool.CancelUnsent(2) // unknown
	})
	r.checkOutcome(unsent, "connecting", balance.NotSent)
	c.respond(emptyResponse)
	r.checkOutcome(sent, "sent", balance.OK)
}
