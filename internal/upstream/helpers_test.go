package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/epoll/epolltest"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/simulation/faultinject"
)

const (
	manyDescriptors = 64
	attemptTimeout  = 480.0  // ms
	longTimeout     = 3600e3 // ms; longer than any test runs

	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// endedAttempt has the arguments of a call of AttemptEnded.
type endedAttempt struct {
	attempt *exchange.Attempt
	result  exchange.Result
}

// rig is a test fixture: a pool on a loop of its own. It implements the listener of the pool's attempts and the client
// of their exchanges.
type rig struct {
	*epolltest.Rig
	pool    *Pool
	ended   chan endedAttempt
	streams chan *bodystream.Stream

	notSendable bool           // Sendable returns false for all attempts
	remaining   balance.Millis // time until the deadline that Deadline returns
}

func (r *rig) AttemptEnded(a *exchange.Attempt, result exchange.Result) {
	r.ended <- endedAttempt{a, result}
}
func (r *rig) ResponseStarted(_ *exchange.Attempt, stream *bodystream.Stream) { r.streams <- stream }
func (r *rig) Sendable(*exchange.Attempt) bool                                { return !r.notSendable }
func (r *rig) Connected(*exchange.Exchange) bool                              { return true }
func (r *rig) Deadline(*exchange.Exchange) balance.Millis                     { return r.Loop.Now() + r.remaining }
func (r *rig) Respond(*exchange.Exchange, exchange.Response)                  {}

func newRig(t *testing.T, descriptors int, rules ...faultinject.Rule) *rig {
	t.Helper()
	r := &rig{
		Rig:     epolltest.Start(t, rules...),
		ended:   make(chan endedAttempt, 100),
		streams: make(chan *bodystream.Stream, 100),

		remaining: longTimeout,
	}
	r.pool = New(Options{
		Loop:           r.Loop,
		Descriptors:    loop.NewDescriptorLimiter(descriptors),
		Buffers:        bodystream.NewBufferPool(8, nil),
		Counters:       &r.Count,
		ConnectTimeout: 250,
		KeepAlive:      15000,
		LoadReports:    true,
	})
	r.pool.SetListener(r)
	t.Cleanup(func() {
		r.Do(r.pool.Close)
		if n := len(r.pool.active) + r.pool.idle.Len() + r.pool.quota.InUse(); n != 0 {
			t.Errorf("%d connections are open after Close", n)
		}
	})
	return r
}

// newExchange returns an exchange whose request has no body and is of the class "read".
func (r *rig) newExchange() *exchange.Exchange {
	return exchange.New(r, &http1.Request{Method: "GET", Target: "/read/x", ID: "78", Class: "read"})
}

// begin starts an attempt to upstream 1 with a timeout in milliseconds. It is called on the loop.
func (r *rig) begin(x *exchange.Exchange, timeout float64) *exchange.Attempt {
	a := x.BeginAttempt(1, r.Loop.Now(), r.Loop.Now()+timeout)
	r.pool.Start(a)
	return a
}

// start sends a request with a body to upstream 1.
func (r *rig) start(body string) *exchange.Attempt {
	x := exchange.New(r, &http1.Request{
		Method: "POST", Target: "/pay/x?y=z", ID: "77", Class: "pay", IdempotencyKey: "k", Body: []byte(body),
	})
	return r.startExchange(x, attemptTimeout)
}

func (r *rig) startExchange(x *exchange.Exchange, timeout float64) *exchange.Attempt {
	var a *exchange.Attempt
	r.Do(func() { a = r.begin(x, timeout) })
	return a
}

// result waits until the next attempt ends and returns its result. The test fails if it is not the given attempt.
func (r *rig) result(a *exchange.Attempt) exchange.Result {
	r.T.Helper()
	select {
	case ended := <-r.ended:
		if ended.attempt != a {
			r.T.Fatal("another attempt ended")
		}
		a.Exchange.EndAttempt(a, ended.result.Outcome.NeverRan())
		return ended.result
	case <-time.After(epolltest.Timeout):
		r.T.Fatal("the attempt does not end")
	}
	return exchange.Result{}
}

// setIdleFor sets the time in milliseconds for which the longest idle connection has been idle. It is called on the
// loop.
func (r *rig) setIdleFor(ms float64) {
	r.pool.idle.Front().Value.(*conn).idle.since = r.Loop.Now() - ms
}

// expireReuseDelay makes all idle connections reusable, as if the reuse delay had passed.
func (r *rig) expireReuseDelay() {
	r.Do(func() {
		for e := r.pool.idle.Front(); e != nil; e = e.Next() {
			e.Value.(*conn).idle.since -= r.pool.reuseDelay
		}
	})
}

// fakeUpstream listens at the address of upstream 1.
type fakeUpstream struct {
	*epolltest.Listener
	t *testing.T
}

func newUpstream(t *testing.T, r *rig) *fakeUpstream {
	t.Helper()
	u := &fakeUpstream{epolltest.Listen(t), t}
	r.Do(func() { r.pool.SetAddress(1, u.Address(), 0) })
	return u
}

// upstreamConn is the upstream's side of a connection.
type upstreamConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func (u *fakeUpstream) accept() *upstreamConn {
	u.t.Helper()
	c := u.Next()
	return &upstreamConn{c, bufio.NewReader(c), u.t}
}

// request reads a request and its body.
func (c *upstreamConn) request() (*http.Request, string) {
	c.t.Helper()
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return request, string(body)
}

// respond writes bytes of a response. It ignores errors, as the pool may close the connection before all are written.
func (c *upstreamConn) respond(response string) { _, _ = io.WriteString(c, response) }

// abort closes the connection with a TCP reset.
func (c *upstreamConn) abort() {
	c.SetLinger(0)
	c.Close()
}

// checkOutcome waits until an attempt ends and checks its outcome.
func (r *rig) checkOutcome(a *exchange.Attempt, what string, want balance.Outcome) exchange.Result {
	r.T.Helper()
	got := r.result(a)
	if got.Outcome != want {
		r.T.Errorf("%s: outcome %v, want %v", what, got.Outcome, want)
	}
	return got
}

// checkCounter checks the value of a counter.
func (r *rig) checkCounter(what, name string, want uint64) {
	r.T.Helper()
	if got := r.CounterValue(name); got != want {
		r.T.Errorf("%s: %s is %d, want %d", what, name, got, want)
	}
}
