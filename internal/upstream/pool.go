// Package upstream sends attempts to upstreams: it connects, pools connections, writes requests and turns responses
// into results. All functions are called on the loop. The pool owns the descriptors of its connections and their
// timers; the streams of bodies are shared with the client side.
package upstream

import (
	"container/list"
	"maps"
	"net/netip"
	"slices"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/loop"
	"salttrack/internal/trace"
)

// idleTimeoutShare is the share of an upstream's keep-alive time after which an idle connection is closed. The
// upstream's time runs from when it sent its last response, and a request that crosses its close ends as a connection
// reset, which a non-idempotent request can't be retried after.
const idleTimeoutShare = 0.9

const readBufferSize = 64 << 10 // bytes

// AttemptListener is notified of the attempts of a pool.
type AttemptListener interface {
	// AttemptEnded is called once for each attempt that was not cancelled. It may be called from Start.
	AttemptEnded(*exchange.Attempt, exchange.Result)
	// Sendable reports whether an attempt may still be sent, now that its connection is established.
	Sendable(*exchange.Attempt) bool
	// ResponseStarted is called for a response that is passed on as a stream. AttemptEnded follows.
	ResponseStarted(*exchange.Attempt, *bodystream.Stream)
}

// Options are what a pool works with.
type Options struct {
	Loop           *loop.Loop
	Descriptors    *loop.DescriptorLimiter
	Buffers        *bodystream.BufferPool
	Counters       *counter.Set
	ConnectTimeout balance.Millis
	KeepAlive      balance.Millis // after which upstreams close idle connections
	LoadReports    bool           // responses have load reports with the requests in flight
	Trace          *trace.Tracer  // nil for none
}

// Pool has the connections to all upstreams.
type Pool struct {
	loop     *loop.Loop
	buffers  *bodystream.BufferPool
	quota    *loop.DescriptorQuota // one descriptor for each connection and each pending connect
	listener AttemptListener
	trace    *trace.Tracer
	counters counters

	connectTimeout balance.Millis
	idleTimeout    balance.Millis
	loadReports    bool

	endpoints  map[balance.UpstreamID]*endpoint
	active     map[*exchange.Attempt]*conn           // connecting or active
	pending    map[*exchange.Attempt]*pendingConnect // without a connection yet
	idle       *list.List                            // of *conn, the longest idle first
	reuseDelay balance.Millis
	readBuffer []byte // shared by all connections, valid within one read
}

// process is a process of an upstream, and where it listens.
type process struct {
	address   netip.AddrPort
	startedAt balance.Millis
}

// endpoint is what the pool knows of one upstream.
type endpoint struct {
	process
	id      balance.UpstreamID
	host    string // the address as a Host header has it
	removed bool
	idle    []*conn // the last used at the end
}

// New returns a pool without endpoints. SetListener has to be called before Start.
func New(o Options) *Pool {
	p := &Pool{
		loop:       o.Loop,
		buffers:    o.Buffers,
		trace:      o.Trace,
		endpoints:  map[balance.UpstreamID]*endpoint{},
		active:     map[*exchange.Attempt]*conn{},
		pending:    map[*exchange.Attempt]*pendingConnect{},
		idle:       list.New(),
		reuseDelay: minReuseDelay,
		readBuffer: make([]byte, readBufferSize),
	}
	p.ApplySettings(o.ConnectTimeout, o.KeepAlive, o.LoadReports)
	p.counters = newCounters(o.Counters)
	o.Counters.Gauge("upstream_connections_open", func() uint64 { return uint64(len(p.active) + p.idle.Len()) })
	p.quota = o.Descriptors.NewQuota(p.shedIdle)
	return p
}

// ApplySettings changes the settings of connections that connect or become idle from now on, and of responses.
func (p *Pool) ApplySettings(connectTimeout, keepAlive balance.Millis, loadReports bool) {
	p.connectTimeout = connectTimeout
	p.idleTimeout = keepAlive * idleTimeoutShare
	p.loadReports = loadReports
}

// SetListener sets who is notified of attempts.
func (p *Pool) SetListener(l AttemptListener) { p.listener = l }

// SetAddress sets where an upstream listens. Idle connections to another address, or to an earlier process, are closed.
func (p *Pool) SetAddress(id balance.UpstreamID, address netip.AddrPort, startedAt balance.Millis) {
	e := p.endpoints[id]
	if e == nil {
		e = &endpoint{id: id}
		p.endpoints[id] = e
	}
	current := process{address: address, startedAt: startedAt}
	if e.process != current {
		p.closeIdle(e)
	}
	e.process = current
	e.host = address.String()
}

// Remove forgets an upstream. Attempts that were sent go on.
func (p *Pool) Remove(id balance.UpstreamID) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	p.closeIdle(e)
	e.removed = true
	delete(p.endpoints, id)
}

// Start begins an attempt, on the idle connection that was used last or on a new one.
func (p *Pool) Start(a *exchange.Attempt) {
	e := p.endpoints[a.Upstream]
	if e == nil { // the balancer and the pool get the same endpoint updates, so this is no usual case
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.ConnectFailed})
		return
	}
	if c := p.takeIdle(e); c != nil {
		c.begin(a)
		return
	}
	p.connect(a, e)
}

// Cancel ends an attempt without notifying the listener. Its connection is closed, which tells the upstream.
func (p *Pool) Cancel(a *exchange.Attempt) {
	if c := p.active[a]; c != nil {
		c.detach()
		c.close(reasonAttemptCancelled)
	}
	if pending := p.pending[a]; pending != nil {
		pending.remove()
	}
}

// CancelUnsent ends the attempts to an upstream that nothing was sent of, and closes the idle connections to it.
func (p *Pool) CancelUnsent(id balance.UpstreamID) {
	if e := p.endpoints[id]; e != nil {
		p.closeIdle(e)
	}
	for _, c := range p.activeConnections() { // those to a removed upstream have no endpoint in the table
		if c.state == stateConnecting && c.attempt.Upstream == id {
			c.end(balance.NotSent)
		}
	}
	for _, pending := range p.pendingConnects() {
		if pending.attempt.Upstream == id {
			pending.end(balance.NotSent)
		}
	}
}

// activeConnections returns the connections that have an attempt, in an order that does not depend on that of the map.
func (p *Pool) activeConnections() []*conn {
	return slices.SortedFunc(maps.Values(p.active), func(a, b *conn) int { return a.fd - b.fd })
}

// Close closes all connections, in an order that does not depend on that of a map. The listener is not notified.
func (p *Pool) Close() {
	for p.idle.Len() > 0 {
		p.counters.connectionsIdleClosed.Inc()
		p.idle.Front().Value.(*conn).close(reasonShutdown)
	}
	for _, c := range p.activeConnections() {
		c.detach()
		c.close(reasonShutdown)
	}
	for _, pending := range p.pendingConnects() {
		pending.remove()
	}
}
