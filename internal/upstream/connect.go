package upstream

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// connectRetryInterval is the time after which a connect is repeated that failed for a cause on this machine.
const connectRetryInterval balance.Millis = 5

// connect begins a new connection for an attempt.
func (p *Pool) connect(a *exchange.Attempt, e *endpoint) {
	if !p.quota.Acquire() { // the upstream is not at fault
		p.counters.noDescriptor.Inc()
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.NotSent})
		return
	}
	c, err := p.open(e)
	switch {
	case err == nil:
		c.begin(a)
	case isLocal(err):
		p.retryConnect(a, e)
	default:
		p.quota.Release()
		p.counters.connectFailed.Inc()
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.ConnectFailed})
	}
}

// open begins a connection, for which the quota has a descriptor.
func (p *Pool) open(e *endpoint) (*conn, error) {
	fd, err := p.loop.Connect(e.address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		pool:     p,
		endpoint: e,
		process:  e.process,
		fd:       fd,
		state:    stateConnecting,
		decoder:  http1.NewResponseDecoder(nil),
	}
	if err := p.loop.Add(fd, loop.Readable|loop.Writable|loop.HangUp, c); err != nil {
		p.loop.Close(fd)
		return nil, err
	}
	p.counters.connectionsOpened.Inc()
	c.timer = p.loop.After(p.connectTimeout, func() {
		p.counters.connectTimedOut.Inc()
		c.end(balance.ConnectFailed)
	})
	return c, nil
}

// finishConnect handles readiness while connecting. The connection becomes active, stays connecting or is closed.
func (c *conn) finishConnect(events uint32) {
	p := c.pool
	if err := p.loop.SocketError(c.fd); err != nil || events&loop.Failed != 0 {
		p.counters.connectFailed.Inc()
		c.end(balance.ConnectFailed)
		return
	}
	if events&loop.Writable == 0 {
		return
	}
	if !c.leadsToCurrentProcess() || !p.listener.Sendable(c.attempt) {
		if c.state == stateConnecting { // Sendable may have cancelled the attempt
			c.end(balance.NotSent)
		}
		return
	}
	c.state = stateActive
	if p.trace.Enabled() {
		p.trace.Write(trace.UpstreamConnected, trace.Event{
			Connection: c.fd,
			Upstream:   c.attempt.Upstream,
			Request:    c.attempt.Exchange.ClientRequestID,
		})
	}
	c.stopTimer()
	c.sendHead()
}

// localErrors are errors of socket and connect that have their cause on this machine, not in the upstream. All of them
// may be transient.
var localErrors = [...]unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR, unix.ENETUNREACH, unix.ENETDOWN,
}

func isLocal(err error) bool {
	return slices.ContainsFunc(localErrors[:], func(local unix.Errno) bool { return errors.Is(err, local) })
}

// isUnreachable reports whether this machine has no route to the upstream. While that lasts it is as good as a failure
// of the upstream: others may be reachable.
func isUnreachable(err error) bool {
	return errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENETDOWN)
}

// pendingConnect is an attempt whose connection could not be begun for a cause on this machine. It keeps its descriptor
// of the quota. The connect is repeated for the time of the connect timeout; after that the attempt was not sent, which
// is no failure of the upstream.
type pendingConnect struct {
	pool     *Pool
	endpoint *endpoint
	attempt  *exchange.Attempt
	deadline balance.Millis
	timer    *timer.Timer // of the next connect
}

func (p *Pool) retryConnect(a *exchange.Attempt, e *endpoint) {
	p.counters.localFailures.Inc()
	pending := &pendingConnect{pool: p, endpoint: e, attempt: a, deadline: p.loop.Now() + p.connectTimeout}
	p.pending[a] = pending
	pending.timer = p.loop.After(connectRetryInterval, pending.retry)
}

func (s *pendingConnect) retry() {
	p := s.pool
	if s.endpoint.removed || !p.listener.Sendable(s.attempt) {
		if p.pending[s.attempt] == s { // Sendable may have cancelled the attempt
			s.end(balance.NotSent)
		}
		return
	}
	c, err := p.open(s.endpoint)
	switch {
	case err == nil:
		delete(p.pending, s.attempt)
		c.begin(s.attempt)
	case !isLocal(err):
		s.end(balance.ConnectFailed)
	case p.loop.Now() < s.deadline:
		p.counters.localFailures.Inc()
		s.timer = p.loop.After(connectRetryInterval, s.retry)
	case isUnreachable(err):
		s.end(balance.ConnectFailed)
	default:
		s.end(balance.NotSent)
	}
}

// remove forgets the attempt and releases its descriptor of the quota.
func (s *pendingConnect) remove() {
	s.pool.loop.Timers.Stop(s.timer)
	delete(s.pool.pending, s.attempt)
	s.pool.quota.Release()
}

func (s *pendingConnect) end(outcome balance.Outcome) {
	s.remove()
	s.pool.listener.AttemptEnded(s.attempt, exchange.Result{Outcome: outcome})
}

// pendingConnects returns the pending connects in the order of their attempts.
func (p *Pool) pendingConnects() []*pendingConnect {
	return slices.SortedFunc(maps.Values(p.pending), func(a, b *pendingConnect) int {
		return cmp.Or(
			cmp.Compare(a.attempt.SentAt, b.attempt.SentAt),
			cmp.Compare(a.attempt.Exchange.ID, b.attempt.Exchange.ID),
		)
	})
}
