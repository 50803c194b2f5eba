// Package node assembles one balancer on one event loop: the downstream server for clients,
// the pool of connections to upstreams, discovery, the driver of the balancing decisions, and the admin server.
// The caller chooses the kernel of the loop, which is that of the operating system or a simulated one.
// The caller also triggers shutdowns, reloads and overrides, by signals or by a simulation.
package node

import (
	"github.com/sirupsen/logrus"

	"salttrack/balance"
	"salttrack/internal/admin"
	"salttrack/internal/bodystream"
	"salttrack/internal/counter"
	"salttrack/internal/discovery"
	"salttrack/internal/downstream"
	"salttrack/internal/driver"
	"salttrack/internal/invariant"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
	"salttrack/internal/replay"
	"salttrack/internal/settings"
	"salttrack/internal/trace"
	"salttrack/internal/upstream"
)

// maxLoopWaitMs is the longest wait of the event loop for events, in ms. If the process gets no CPU during a wait,
// a request may have arrived up to this much earlier than its recorded arrival time.
const maxLoopWaitMs = 25

// Node is one balancer. Its methods have to be called on its event loop.
type Node struct {
	Counters counter.Set
	Trace    *trace.Tracer // disabled until SetEnabled is called

	Err error // error that stopped the loop because the balancer can't serve, nil if there is none

	config   *Config           // configuration at the start of the process
	reloaded *Config           // configuration of the last successful reload, or of the start if there was none
	settings settings.Settings // settings in force
	log      *logrus.Entry
	started  balance.Millis

	loop        *loop.Loop
	bodyBuffers *bodystream.BufferPool
	memory      *memory.Account
	descriptors *loop.DescriptorLimiter
	registry    *discovery.Registry
	endpoints   *discovery.Watcher
	driver      *driver.Driver
	server      *downstream.Server
	pool        *upstream.Pool
	admin       *admin.Server // nil if no admin server is configured
	peers       *peerSync     // nil if hot restart is disabled

	shares        limitShares    // what this process may use
	processMemory ProcessMemory  // nil if the memory of the process is not limited
	baseMemory    int            // resident memory of the process before it serves clients, in bytes; 0 if it is not known
	baseEndpoints int            // number of endpoints that were listed when baseMemory was measured
	nextMemoryLog balance.Millis // earliest time of the next log line about the memory for peers
	memoryMonitor memoryMonitor
	runtimeGrowth int              // bytes by which the Go runtime may grow, while nothing else grows beyond its part
	buffers       loop.BufferSizes // of the kernel, while memory is not constrained

	listening    bool // whether the balancer listens for clients
	shuttingDown bool

	reloads       *counter.Counter
	failedReloads *counter.Counter
}

// New returns a balancer that has not been started.
func New(c *Config, l *loop.Loop, log *logrus.Entry) *Node {
	n := &Node{
		config:   c,
		reloaded: c,
		settings: c.Settings,
		log:      log,
		loop:     l,
		started:  l.Now(),
		registry: discovery.NewRegistry(c.Settings.ZoneNames),
		shares:   limitShares{descriptors: 1, memory: 1},
	}
	n.memoryMonitor.node = n
	l.LimitWait(maxLoopWaitMs)
	n.Trace = trace.New(log, l.Now, &n.Counters)
	n.Trace.UpstreamName = n.registry.Name
	r := c.splitResources(n.shares, n.baseMemory)
	n.descriptors = loop.NewDescriptorLimiter(r.connections)
	n.memory = memory.NewAccount(r.accountBytes)
	n.memory.OnFull(n.logMemory)
	n.bodyBuffers = bodystream.NewBufferPool(r.bodyBuffers, n.memory)
	n.endpoints = discovery.NewWatcher(discovery.Options{
		Loop:     l,
		Address:  c.Discovery,
		Counters: &n.Counters,
		Memory:   n.memory,
		OnUpdate: n.onEndpointUpdate,
		Log:      log,
	})
	n.createDataPath(r)
	if c.Admin.IsValid() {
		n.admin = admin.New(admin.Options{Loop: l, MaxConnections: r.maxAdminConnections(), Memory: n.memory, Counters: &n.Counters, Balancer: n})
	}
	n.registerCounters()
	return n
}

// createDataPath creates the downstream server, the upstream pool and the driver between them.
// The server is created before the pool. If descriptors are short, idle connections of the one created first are closed first,
// and idle connections to upstreams should be kept longest.
func (n *Node) createDataPath(r resources) {
	n.server = downstream.NewServer(downstream.Options{
		Loop:          n.loop,
		Descriptors:   n.descriptors,
		OverflowLimit: r.overflowConnections,
		Counters:      &n.Counters,
		Buffers:       n.bodyBuffers,
		Memory:        n.memory,
		ExecutedIDs:   replay.New(make([]byte, replay.Size), n.loop.Now),
		Synced:        n.synced,
		Trace:         n.Trace,
		OnPhase:       n.logShutdownPhase,
	})
	n.server.ApplySettings(downstreamSettings(&n.settings))
	n.pool = upstream.New(upstream.Options{
		Loop:           n.loop,
		Descriptors:    n.descriptors,
		Buffers:        n.bodyBuffers,
		Memory:         n.memory,
		Counters:       &n.Counters,
		ConnectTimeout: n.settings.ConnectTimeout,
		KeepAlive:      n.settings.KeepAlive,
		LoadReports:    n.settings.InFlightColumn >= 0,
		Trace:          n.Trace,
	})
	n.driver = driver.New(driver.Options{
		Config:    n.settings.Config,
		Seed:      n.config.Seed,
		Now:       n.loop.Now,
		Timers:    &n.loop.Timers,
		Upstreams: n.pool,
		Memory:    n.memory,
		Counters:  &n.Counters,
		Trace:     n.Trace,
	})
	n.pool.SetListener(n.driver)
	n.server.SetRequestHandler(n.driver)
}

// registerCounters adds the counters and gauges of package node itself.
func (n *Node) registerCounters() {
	n.reloads = n.Counters.New("config_reloads")
	n.failedReloads = n.Counters.New("config_reloads_failed")
	n.Counters.Gauge("body_buffers_in_use", func() uint64 { return uint64(n.bodyBuffers.InUse()) })
	n.registerMemoryGauges()
	n.Counters.Gauge("connections_open", func() uint64 { return uint64(n.descriptors.InUse()) })
	n.Counters.Gauge("invariant_violations", invariant.Violations)
}

// onEndpointUpdate passes the addresses of an endpoint update to the upstream pool, and the endpoints to the driver.
func (n *Node) onEndpointUpdate(u *discovery.Update) {
	n.registry.ObserveClocks(n.loop.Now(), n.loop.Wall())
	n.driver.UpdateEndpoints(n.registry.Apply(u, n.pool))
	n.countEndpoints()
}

// Start starts discovery and the admin server. The balancer listens for clients as soon as it is synced.
func (n *Node) Start() error {
	n.onEndpointUpdate(n.config.CachedEndpoints)
	n.driver.Start()
	n.endpoints.Start()
	n.memoryMonitor.start()
	if n.peers != nil {
		n.peers.poll()
	}
	n.listenWhenSynced()
	if n.admin != nil {
		n.listenWithRetry("admin", func() error { return n.admin.Listen(n.config.Admin) }, func() {})
	}
	return nil
}

// Close closes all sockets of the balancer and its hot restart store, even if requests are in flight. It logs the counters.
func (n *Node) Close() {
	if n.admin != nil {
		n.admin.Close()
	}
	if n.peers != nil {
		n.peers.close()
	}
	n.memoryMonitor.stop()
	n.server.Close()
	n.endpoints.Stop()
	n.pool.Close()
	n.driver.Close()
	n.bodyBuffers.Release()
	n.memory.Add(memory.Endpoints, -n.memory.Used(memory.Endpoints))
	n.log.WithField("counters", n.Counters.String()).Info("balancer closed")
}
