package upstream

import (
	"net/netip"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/epoll"
	"salttrack/internal/exchange"
)

func TestConnectFails(t *testing.T) {
	r := newRig(t, manyDescriptors)
	u := newUpstream(t, r)
	u.Close()
	r.checkOutcome(r.start("x"), "refused", balance.ConnectFailed)
	r.Do(func() { r.pool.Remove(1) })
	r.checkOutcome(r.start("x"), "unknown upstream", balance.ConnectFailed)
}

// fullListener returns the address of a listener whose accept queue is full, so that connects to it get no reply.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	address := epoll.LocalAddress(fd)
	for range 4 {
		c, err := epoll.Connect(address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(c) })
	}
	return address
}

// A connect that gets no reply, as from an unreachable machine, fails after the connect timeout.
func TestConnectTimeout(t *testing.T) {
	address := fullListener(t)
	r := newRig(t, manyDescriptors)
	r.Do(func() { r.pool.SetAddress(1, address, 0) })
	a := r.start("x")
	r.checkOutcome(a, "no reply", balance.ConnectFailed)
	if a.RequestComplete {
		t.Error("the request is recorded as completely sent")
	}
	r.checkCounter("no reply", "upstream_connect_timed_out", 1)
}

// An attempt for which no descriptor is free ends with the outcome NotSent, which is not a failure of the upstream.
func TestNoDescriptor(t *testing.T) {
	r := newRig(t, 4) // the pool may use three quarters of them
	u := newUpstream(t, r)
	var started []*exchange.Attempt
	for range 3 {
		started = append(started, r.start("x"))
		u.accept()
	}
	r.checkOutcome(r.start("x"), "no descriptor", balance.NotSent)
	r.checkCounter("no descriptor", "upstream_no_descriptor", 1)
	r.Do(func() { r.pool.Cancel(started[0]) })
	r.start("x")
	u.accept()
}

// A connection may be established long after its attempt started. Nothing is sent if the upstream was removed or has
// restarted in the meantime, or if the attempt may no longer be sent. Otherwise X-Remaining is the time that remains
// when the connection is established.
func TestConnectionEstablishedLate(t *testing.T) {
	for _, tt := range []struct {
		name    string
		between func(*rig, *exchange.Attempt)
		want    balance.Outcome
	}{
		{"no change", func(_ *rig, a *exchange.Attempt) { a.TimeoutAt -= 200 }, balance.OK},
		{"not sendable", func(r *rig, _ *exchange.Attempt) { r.notSendable = true }, balance.NotSent},
		{"removed, then cancelled", func(r *rig, _ *exchange.Attempt) { r.pool.Remove(1); r.pool.CancelUnsent(1) }, balance.NotSent},
		{"removed", func(r *rig, _ *exchange.Attempt) { r.pool.Remove(1) }, balance.NotSent},
		{"restarted", func(r *rig, _ *exchange.Attempt) { r.pool.SetAddress(1, r.pool.endpoints[1].address, 7) }, balance.NotSent},
	} {
		r := newRig(t, manyDescriptors)
		u := newUpstream(t, r)
		x := r.newExchange()
		var a *exchange.Attempt
		r.Do(func() { // the loop handles the established connection only after this function returns
			a = r.begin(x, attemptTimeout)
			tt.between(r, a)
		})
		c := u.accept()
		if tt.want == balance.OK {
			checkRemaining(t, c, 0.28)
			c.respond(emptyResponse)
		} else if b, err := c.reader.ReadByte(); err == nil {
			t.Errorf("%s: the upstream receives %q", tt.name, b)
		}
		r.checkOutcome(a, tt.name, tt.want)
		if a.RequestComplete != (tt.want == balance.OK) {
			t.Errorf("%s: RequestComplete is %v", tt.name, a.RequestComplete)
		}
	}
}

// checkRemaining reads a request and checks that its X-Remaining header, in seconds, is at most a maximum.
func checkRemaining(t *testing.T, c *upstreamConn, maximum float64) {
	t.Helper()
	request, _ := c.request()
	remaining, err := strconv.ParseFloat(request.Header.Get("X-Remaining"), 64)
	if err != nil || remaining > maximum {
		t.Errorf("X-Remaining is %v s (error %v), want at most %v s", remaining, err, maximum)
	}
}
