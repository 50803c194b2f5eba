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
	"salttrack/internal/memory"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// connectRetryInterval is the time after which a connect that failed with a local error is retried.
const connectRetryInterval balance.Millis = 5

// connect opens a new connection for an attempt.
func (p *Pool) connect(a *exchange.Attempt, e *endpoint) {
	if !p.quota.Acquire() { // not a failure of the upstream, so the outcome is NotSent
		p.counters.noDescriptor.Inc()
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.NotSent})
		return
	}
	c, err := p.open(e)
	switch {
	case err == nil:
		c.begin(a)
	case isLocalError(err):
		p.retryConnect(a, e)
	default:
		p.quota.Release()
		p.counters.connectFailed.Inc()
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.ConnectFailed})
	}
}

// open starts to connect to an upstream. The caller has acquired a descriptor from the quota.
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
	c.decoder.CountMemory(p.memory)
	if err := p.loop.Add(fd, loop.Readable|loop.Writable|loop.HangUp, c); err != nil {
		p.loop.Close(fd)
		return nil, err
	}
	p.memory.Add(memory.Connections, connectionBytes)
	p.counters.connectionsOpened.Inc()
	c.timer = p.loop.After(p.connectTimeout, func() {
		p.counters.connectTimedOut.Inc()
		c.end(balance.ConnectFailed)
	})
	return c, nil
}

// finishConnect handles readiness events of a connection that is connecting. The connection becomes active, stays
// connecting or is closed.
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
	c.sendHeader()
}

// localErrors lists the errors of socket and connect calls that are caused by this machine and not by the upstream. All
// of them may be transient.
var localErrors = [...]unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR, unix.ENETUNREACH, unix.ENETDOWN,
}

func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors[:], func(local unix.Errno) bool { return errors.Is(err, local) })
}

// isUnreachable reports whether this machine has no route to the upstream. If that lasts until the connect timeout, it
// counts as a failure of the upstream, as other upstreams may be reachable.
func isUnreachable(err error) bool {
	return errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENETDOWN)
}

// pendingConnect is an attempt whose connect failed with a local error. It keeps the descriptor that it has acquired
// from the quota. The connect is retried until the connect timeout has passed. Then the attempt ends with the outcome
// ConnectFailed if the upstream is unreachable. Otherwise it ends with NotSent, which is not a failure of the upstream.
type pendingConnect struct {
	pool     *Pool
	endpoint *endpoint
	process  process // the process of the upstream that the attempt was started for
	attempt  *exchange.Attempt
	deadline balance.Millis
	timer    *timer.Timer // runs the next retry
}

// retryConnect retries the connect of an attempt after connectRetryInterval.
func (p *Pool) retryConnect(a *exchange.Attempt, e *endpoint) {
	p.counters.localFailures.Inc()
	pending := &pendingConnect{pool: p, endpoint: e, process: e.process, attempt: a, deadline: p.loop.Now() + p.connectTimeout}
	p.pending[a] = pending
	pending.timer = p.loop.After(connectRetryInterval, pending.retry)
}

func (s *pendingConnect) retry() {
	p := s.pool
	if s.endpoint.removed || s.endpoint.process != s.process || !p.listener.Sendable(s.attempt) {
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
	case !isLocalError(err):
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

// remove stops the retries and releases the descriptor.
func (s *pendingConnect) remove() {
	s.pool.loop.Timers.Stop(s.timer)
	delete(s.pool.pending, s.attempt)
	s.pool.quota.Release()
}

func (s *pendingConnect) end(outcome balance.Outcome) {
	s.remove()
	s.pool.listener.AttemptEnded(s.attempt, exchange.Result{Outcome: outcome})
}

// pendingConnects returns the pending connects, sorted by the start time of their attempts and then by exchange id.
func (p *Pool) pendingConnects() []*pendingConnect {
	return slices.SortedFunc(maps.Values(p.pending), func(a, b *pendingConnect) int {
		return cmp.Or(
			cmp.Compare(a.attempt.SentAt, b.attempt.SentAt),
			cmp.Compare(a.attempt.Exchange.ID, b.attempt.Exchange.ID),
		)
	})
}
