// Package node assembles one balancer: the clients' side, the upstreams' side, discovery, the driver of the decisions and the admin
// server on one loop. Which kernel the loop runs on, the machine's or a virtual one, and where shutdowns, reloads and overrides come
// from, signals or a scenario, is up to its user.
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
	"salttrack/internal/settings"
	"salttrack/internal/trace"
	"salttrack/internal/upstream"
)

// maxLoopWaitMs bounds one wait of the loop for events. A request may have arrived that much earlier than the time it is stamped with.
const maxLoopWaitMs = 25

// Node is one balancer. Its methods are called on its loop.
type Node struct {
	Counters counter.Set
	Trace    *trace.Tracer // disabled at first

	Err error // why the loop was stopped, if the balancer can't serve

	config   *Config           // as of the start
	reloaded *Config           // as of the last successful reload, or of the start
	settings settings.Settings // in force
	log      *logrus.Entry
	started  balance.Millis

	loop        *loop.Loop
	bodyBuffers *bodystream.BufferPool
	descriptors *loop.DescriptorTable
	registry    *discovery.Registry
	endpoints   *discovery.Watcher
	driver      *driver.Driver
	server      *downstream.Server
	pool        *upstream.Pool
	admin       *admin.Server // nil if none is configured
	peers       *peerSync     // nil if no other process can replace this one

	listening    bool // for clients
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
	}
	l.LimitWait(maxLoopWaitMs)
	n.Trace = trace.New(log, l.Now, &n.Counters)
	n.Trace.UpstreamName = n.registry.Name
	r := c.splitResources(fullShare)
	n.descriptors = loop.NewDescriptorTable(r.connections)
	n.bodyBuffers = bodystream.NewBufferPool(r.bodyBuffers)
	n.endpoints = discovery.NewWatcher(discovery.Options{
		Loop:     l,
		Address:  c.Discovery,
		Counters: &n.Counters,
		OnUpdate: n.onEndpointUpdate,
		Log:      log,
	})
	n.createSides(r)
	if c.Admin.IsValid() {
		n.admin = admin.New(admin.Options{Loop: l, MaxConnections: r.maxAdminConnections(), Counters: &n.Counters, Balancer: n})
	}
	n.registerCounters()
	return n
}

// createSides creates the two sides and the driver between them. The clients' side comes first: the descriptor table sheds the idle
// connections of its users in the sequence of their creation, and those to upstreams are to stay longest.
func (n *Node) createSides(r resources) {
	n.server = downstream.NewServer(downstream.Options{
		Loop:          n.loop,
		Table:         n.descriptors,
		OverflowLimit: r.overflowConnections,
		Counters:      &n.Counters,
		Buffers:       n.bodyBuffers,
		Synced:        n.synced,
		Trace:         n.Trace,
		OnPhase:       n.logShutdownPhase,
	})
	n.server.ApplySettings(downstreamSettings(&n.settings))
	n.pool = upstream.New(upstream.Options{
		Loop:           n.loop,
		Table:          n.descriptors,
		Buffers:        n.bodyBuffers,
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
		Counters:  &n.Counters,
		Trace:     n.Trace,
	})
	n.pool.SetListener(n.driver)
	n.server.SetRequestHandler(n.driver)
}

// registerCounters adds the balancer's own counters and gauges.
func (n *Node) registerCounters() {
	n.reloads = n.Counters.New("config_reloads")
	n.failedReloads = n.Counters.New("config_reloads_failed")
	n.Counters.Gauge("body_buffers_in_use", func() uint64 { return uint64(n.bodyBuffers.InUse()) })
	n.Counters.Gauge("connections_open", func() uint64 { return uint64(n.descriptors.Open()) })
	n.Counters.Gauge("invariant_violations", invariant.Violations)
}

// onEndpointUpdate passes an update of the endpoint list on: the addresses to the pool, the endpoints to the decisions.
func (n *Node) onEndpointUpdate(u *discovery.Update) {
	n.registry.ObserveClocks(n.loop.Now(), n.loop.Wall())
	n.driver.UpdateEndpoints(n.registry.Apply(u, n.pool))
}

// Start starts discovery and the admin server, and lets clients connect once the endpoint list is known.
func (n *Node) Start() error {
	n.onEndpointUpdate(n.config.CachedEndpoints)
	n.driver.Start()
	n.endpoints.Start()
	if n.peers != nil {
		n.peers.poll()
	}
	n.listenWhenSynced()
	if n.admin != nil {
		n.listenWithRetry("admin", func() error { return n.admin.Listen(n.config.Admin) }, func() {})
	}
	return nil
}

// Close closes everything that the balancer has opened, whatever is in flight.
func (n *Node) Close() {
	if n.admin != nil {
		n.admin.Close()
	}
	if n.peers != nil {
		n.peers.close()
	}
	n.server.Close()
	n.endpoints.Stop()
	n.pool.Close()
	n.driver.Close()
	n.log.WithField("counters", n.Counters.String()).Info("balancer closed")
}
