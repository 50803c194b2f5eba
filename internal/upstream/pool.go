// Package upstream sends attempts to upstreams. It opens and pools connections, writes requests and converts responses
// to results of attempts. All functions are called on the event loop. The pool owns the descriptors and the timers of
// its connections. It shares the streams of request and response bodies with package downstream.
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
	"salttrack/internal/memory"
	"salttrack/internal/trace"
)

// idleTimeoutShare is the fraction of an upstream's keepalive time after which the pool closes an idle connection. The
// pool has to close it before the upstream does: a request that is sent while the upstream closes the connection ends
// as a connection reset, after which a non-idempotent request can't be retried. The upstream's time starts earlier than
// the pool's, when it sends its last response.
const idleTimeoutShare = 0.9

// Sizes in bytes.
const (
	readBufferSize  = 64 << 10
	shortReadSize   = 4 << 10 // of a read while bodies are not buffered for lack of memory
	connectionBytes = 1 << 10 // about the memory of a connection: its state, its decoder, its timer and its watch
)

// AttemptListener is notified of the attempts of a pool.
type AttemptListener interface {
	// AttemptEnded is called once for each attempt that was not cancelled. It may be called during Pool.Start.
	AttemptEnded(*exchange.Attempt, exchange.Result)
	// Sendable reports whether an attempt may still be sent, now that its connection is established.
	Sendable(*exchange.Attempt) bool
	// ResponseStarted is called when a streamed response starts. AttemptEnded is called when it ends.
	ResponseStarted(*exchange.Attempt, *bodystream.Stream)
}

// Options configures a Pool.
type Options struct {
	Loop           *loop.Loop
	Descriptors    *loop.DescriptorLimiter
	Buffers        *bodystream.BufferPool
	Memory         *memory.Account // counts the memory of connections, requests and responses; nil for no limit
	Counters       *counter.Set
	ConnectTimeout balance.Millis
	KeepAlive      balance.Millis // time after which upstreams close idle connections
	LoadReports    bool           // responses have load reports with the number of requests in flight
	Trace          *trace.Tracer  // nil for no tracing
}

// Pool manages the connections to all upstreams and the attempts that are sent on them.
type Pool struct {
	loop     *loop.Loop
	buffers  *bodystream.BufferPool
	memory   *memory.Account
	quota    *loop.DescriptorQuota // has one descriptor for each connection and each pending connect
	listener AttemptListener
	trace    *trace.Tracer
	counters counters

	connectTimeout balance.Millis
	idleTimeout    balance.Millis
	loadReports    bool

	endpoints  map[balance.UpstreamID]*endpoint
	active     map[*exchange.Attempt]*conn           // connections that are connecting or active
	pending    map[*exchange.Attempt]*pendingConnect // attempts whose connect is retried after a local error
	idle       *list.List                            // of *conn, the longest idle first
	reuseDelay balance.Millis                        // see minReuseDelay
	readBuffer []byte                                // shared by all connections, valid during one read
}

// process identifies a process of an upstream by its address and start time.
type process struct {
	address   netip.AddrPort
	startedAt balance.Millis
}

// endpoint is the state of one upstream in the pool.
type endpoint struct {
	process
	id      balance.UpstreamID
	host    string // the address as the value of the Host header
	removed bool
	idle    []*conn // idle connections, the most recently used at the end
}

// New returns a pool without endpoints. SetListener has to be called before Start.
func New(o Options) *Pool {
	p := &Pool{
		loop:       o.Loop,
		buffers:    o.Buffers,
		memory:     o.Memory,
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

// ApplySettings changes the connect timeout, the upstreams' keepalive time and whether responses have load reports. The
// times apply to connections that start to connect or become idle later.
func (p *Pool) ApplySettings(connectTimeout, keepAlive balance.Millis, loadReports bool) {
	p.connectTimeout = connectTimeout
	p.idleTimeout = keepAlive * idleTimeoutShare
	p.loadReports = loadReports
}

// SetListener sets the listener that is notified of attempts.
func (p *Pool) SetListener(l AttemptListener) { p.listener = l }

// SetAddress sets the address of an upstream and the start time of its process. If either changes, the idle connections
// to the upstream are closed.
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

// Remove removes an upstream and closes the idle connections to it. Attempts that were sent continue.
func (p *Pool) Remove(id balance.UpstreamID) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	p.closeIdle(e)
	e.removed = true
	delete(p.endpoints, id)
}

// Start starts an attempt, on the idle connection that was used most recently or on a new connection.
func (p *Pool) Start(a *exchange.Attempt) {
	e := p.endpoints[a.Upstream]
	if e == nil { // not expected, as the balancer and the pool get the same endpoint updates
		p.listener.AttemptEnded(a, exchange.Result{Outcome: balance.ConnectFailed})
		return
	}
	if c := p.takeIdle(e); c != nil {
		c.begin(a)
		return
	}
	p.connect(a, e)
}

// Cancel ends an attempt without notifying the listener. It closes the connection of the attempt, by which the
// upstream can detect the cancellation.
func (p *Pool) Cancel(a *exchange.Attempt) {
	if c := p.active[a]; c != nil {
		c.detach()
		c.close(reasonAttemptCancelled)
	}
	if pending := p.pending[a]; pending != nil {
		pending.remove()
	}
}

// CancelUnsent ends all attempts to an upstream whose connection is not established yet, with the outcome NotSent. It
// also closes the idle connections to the upstream.
func (p *Pool) CancelUnsent(id balance.UpstreamID) {
	if e := p.endpoints[id]; e != nil {
		p.closeIdle(e)
	}
	for _, c := range p.activeConnections() { // found by id, as a removed upstream is not in p.endpoints
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

// activeConnections returns the connections that have an attempt, sorted by descriptor so that the order does not
// depend on the iteration order of a map.
func (p *Pool) activeConnections() []*conn {
	return slices.SortedFunc(maps.Values(p.active), func(a, b *conn) int { return a.fd - b.fd })
}

// Close closes all connections, in an order that does not depend on the iteration order of a map. It does not notify
// the listener.
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
