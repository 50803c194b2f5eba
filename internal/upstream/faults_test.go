package upstream

import (
	"maps"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/simulation/faultinject"
)

// A transient local error of a connect is not a failure of the upstream: the connect is retried, and the request is
// served.
func TestTransientLocalFailure(t *testing.T) {
	for _, errno := range []unix.Errno{
		unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH,
	} {
		r := newRig(t, 8, faultinject.Rule{Call: faultinject.Connect, Errno: errno, MaxHits: 3})
		u := newUpstream(t, r)
		a := r.start("x")
		c := u.accept()
		c.request()
		c.respond(okResponse)
		r.checkOutcome(a, errno.Error(), balance.OK)
		r.checkCounter(errno.Error(), "upstream_local_failures", 3)
	}
}

// Guards against a request that goes to a new process at the place of the one that it was meant for, while its connect is tried again.
func TestProcessChangesDuringLocalFailure(t *testing.T) {
	r := newRig(t, 8, faultinject.Rule{Call: faultinject.Connect, Errno: unix.EADDRNOTAVAIL, MaxHits: 3})
	u := newUpstream(t, r)
	var a *exchange.Attempt
	r.Do(func() {
		a = r.begin(r.newExchange(), attemptTimeout)
		r.pool.SetAddress(1, u.Address(), 7)
	})
	r.checkOutcome(a, "restarted", balance.NotSent)
}

// If a local error lasts until the connect timeout, the outcome is NotSent, which is not a failure of the upstream. If
// there is no route to the upstream, the outcome is ConnectFailed.
func TestLastingLocalFailure(t *testing.T) {
	for errno, want := range map[unix.Errno]balance.Outcome{
		unix.ENFILE:        balance.NotSent,
		unix.EADDRNOTAVAIL: balance.NotSent,
		unix.ENETUNREACH:   balance.ConnectFailed,
	} {
		r := newRig(t, 8, faultinject.Rule{Call: faultinject.Connect, Errno: errno})
		newUpstream(t, r)
		a := r.start("x")
		r.AdvanceTimers(1000)
		r.checkOutcome(a, errno.Error(), want)
		cancelled := r.start("x")
		r.Do(func() { r.pool.Cancel(cancelled) })
		r.start("x")
		r.Do(func() { r.pool.CancelUnsent(1) })
		if got := <-r.ended; got.result.Outcome != balance.NotSent {
			t.Errorf("%v: CancelUnsent ends an unsent attempt with outcome %v", errno, got.result.Outcome)
		}
	}
}

// Responses are the same if reads and writes transfer single bytes, if calls fail with transient errors, and if the
// kernel at first has no memory to watch a descriptor.
func TestShortAndTransientCalls(t *testing.T) {
	rules := faultinject.TransientRules()
	maps.Copy(rules, map[string]faultinject.Rule{
		"connect, EINTR":   {Call: faultinject.Connect, Errno: unix.EINTR, MaxHits: 2},
		"connect, no port": {Call: faultinject.Connect, Errno: unix.EADDRINUSE, MaxHits: 2},
	})
	for name, rule := range rules {
		r := newRig(t, 8, rule)
		u := newUpstream(t, r)
		var c *upstreamConn
		for n := range 2 { // on a new connection, then on the same connection
			a := r.start("body")
			if n == 0 {
				c = u.accept()
			}
			if request, body := c.request(); request.Header.Get("X-Txn") != "77" || body != "body" {
				t.Errorf("%s: id %q, body %q", name, request.Header.Get("X-Txn"), body)
			}
			c.respond(okResponse)
			if got := r.checkOutcome(a, name, balance.OK); string(got.Body) != "ok" {
				t.Errorf("%s: body %q", name, got.Body)
			}
			r.expireReuseDelay()
		}
	}
}
