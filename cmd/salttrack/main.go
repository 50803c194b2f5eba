// Salttrack is the balancer on sockets: callers on one side, upstreams on the other, and between them the
// decisions of package balance.
package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/discovery"
	"salttrack/internal/downstream"
	"salttrack/internal/driver"
	"salttrack/internal/epoll"
	"salttrack/internal/invariant"
	"salttrack/internal/upstream"
)

const (
	socketsLeast = 48  // below this the parts that are set aside leave nothing to serve with
	memoryLeast  = 8   // MB
	ownSockets   = 20  // the loop's, the listener, discovery, the standard streams, the runtime's
	spareSockets = 32  // for callers that come when all others are in use
	memoryShare  = 0.7 // of the memory limit is what the runtime tries to stay under
	readyWithin  = 500 // ms that the start waits for discovery before it serves by the list it knows
)

func main() {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if err := run(log); err != nil {
		log.Error(err)
		os.Exit(1)
	}
}

func run(log *logrus.Logger) error {
	c, err := load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(c.limits.Cores)))
	debug.SetMemoryLimit(int64(c.limits.MemoryMB * memoryShare * (1 << 20)))
	b, err := newBalancer(c, log.WithField("name", c.name))
	if err != nil {
		return err
	}
	return b.serve()
}

// balancer is all parts of one.
type balancer struct {
	config   *config
	log      *logrus.Entry
	loop     *epoll.Loop
	counters counter.Set
	pool     *upstream.Pool
	book     *discovery.Book
	list     *discovery.Follower
	driver   *driver.Driver
	server   *downstream.Server
	started  balance.Millis

	reloads, badReloads *counter.Counter
}

func newBalancer(c *config, log *logrus.Entry) (*balancer, error) {
	loop, err := epoll.New()
	if err != nil {
		return nil, err
	}
	b := &balancer{config: c, log: log, loop: loop, started: loop.Now(), book: discovery.NewBook(c.settings.ZoneNames)}
	most := sockets(c.limits.Sockets)
	spare := min(spareSockets, most/16)
	table := epoll.NewTable(most - ownSockets - spare)
	b.list = discovery.NewFollower(discovery.Options{Loop: loop, Address: c.discovery, Revision: c.known.Revision,
		Counters: &b.counters, News: b.news, Note: func(s string) { log.Warn(s) }})
	// The callers' side comes first in the table: their silent connections are shed before idle ones to upstreams.
	b.server = downstream.NewServer(downstream.Options{Loop: loop, Table: table, Spare: spare,
		Counters: &b.counters, Classes: c.settings.ClassNames, Effects: c.effects,
		Ahead: 2 * c.settings.Tick, Ready: b.ready})
	b.pool = upstream.New(upstream.Options{Loop: loop, Table: table, Counters: &b.counters,
		ConnectTimeout: c.settings.ConnectTimeout, KeepAlive: c.settings.KeepAlive, Reports: c.settings.Inflight >= 0})
	b.driver = driver.New(driver.Options{Config: c.settings.Config, Seed: c.seed, Now: loop.Now, Timers: &loop.Timers,
		Upstreams: b.pool, Counters: &b.counters, Note: func(s string) { log.Info(s) }})
	b.pool.Listen(b.driver)
	b.server.Serve(b.driver)
	b.reloads, b.badReloads = b.counters.New("reloads"), b.counters.New("reloads_failed")
	b.counters.Reading("connections", func() uint64 { return uint64(table.Open()) })
	b.counters.Reading("invariants_broken", invariant.Broken)
	return b, nil
}

// sockets is how many descriptors there may be, by the configuration and by the kernel.
func sockets(configured int) int {
	var kernel unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &kernel) == nil && kernel.Cur < uint64(configured) {
		return max(socketsLeast, int(kernel.Cur))
	}
	return configured
}

// news takes what discovery tells: where upstreams listen, then the module.
func (b *balancer) news(u *discovery.Update) {
	b.driver.List(b.book.Enter(u, b.pool), u.Complete)
}

// ready reports whether the list is fresh, or discovery has had its time to say so.
func (b *balancer) ready() bool {
	return b.list.Answered() || b.loop.Now() > b.started+readyWithin && len(b.config.known.Members) > 0
}

func (b *balancer) serve() error {
	b.signals()
	b.news(b.config.known)
	b.driver.Start()
	b.list.Start()
	if err := b.server.Listen(b.config.listen); err != nil {
		return err
	}
	b.log.WithFields(logrus.Fields{"listen": b.config.listen, "tier": b.config.settings.Stage}).Info("serving")
	err := b.loop.Run()
	b.pool.Close()
	b.log.WithField("counters", b.counters.String()).Info("end")
	return err
}

// signals lets SIGTERM and SIGINT begin the end, SIGHUP read the configuration again, and SIGUSR1 print the
// counters. The file is read here and not on the loop, which must not wait for a disk.
func (b *balancer) signals() {
	c := make(chan os.Signal, 8)
	signal.Notify(c, unix.SIGTERM, unix.SIGINT, unix.SIGHUP, unix.SIGUSR1)
	go func() {
		for s := range c {
			if s == unix.SIGHUP {
				again, err := reload(os.Getenv)
				b.loop.Post(func() { b.reconfigure(again, err) })
				continue
			}
			b.loop.Post(func() { b.signal(s) })
		}
	}()
}

// reconfigure takes up a configuration that was read again: discovery may be elsewhere now. One that can't be
// used leaves all as it is. A second signal, one with an unchanged file and one during the end are harmless.
func (b *balancer) reconfigure(again *config, err error) {
	if err != nil {
		b.badReloads.Inc()
		b.log.WithError(err).Warn("the configuration stays as it was")
		return
	}
	b.reloads.Inc()
	log := b.log.WithField("discovery", again.discovery)
	if names := b.config.restartFor(again); len(names) > 0 {
		log = log.WithField("at_next_start", strings.Join(names, " "))
	}
	log.Info("configuration read again")
	b.list.Move(again.discovery)
}

func (b *balancer) signal(s os.Signal) {
	if s == unix.SIGUSR1 {
		b.log.WithField("counters", b.counters.String()).Info("counters")
		return
	}
	b.log.Info("ending")
	b.server.Drain(b.loop.Stop)
}
