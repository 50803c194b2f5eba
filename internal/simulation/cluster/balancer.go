package cluster

import (
	"fmt"
	"net/netip"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/simulation/simnet"
)

const (
	// Balancers start one after the other, once the upstreams are in discovery.
	firstBalancerStart    = 10.0
	balancerStartInterval = 40.0
	balancersPerStart     = 5

	restartDelay        = 100.0 // from an exit in order to the next start
	minRestartNoticeDelay    = 200.0 // from SIGTERM until clients stop using the balancer
	restartNoticeJitter = 200.0
	minAgentLag         = 1.0
	maxAgentLag         = 60.0
	oldAgentCloseDelay  = 1500.0 // until the agent at the old address closes its connections
)

// balancerOptions are the parameters of a balancer.
type balancerOptions struct {
	name      string
	zone      string
	machine   string
	tier      int // whose upstreams it uses
	instance  int // its number among the balancers of the tier
	instances int
}

// balancer is one balancer and the discovery agent on its machine, through all its processes.
type balancer struct {
	balancerOptions
	cluster     *cluster
	addr        netip.AddrPort
	agentAddr   netip.AddrPort
	agent       *fake.Agent
	agentHost   host
	agentMoves  int
	process     balancerProcess // the last one
	startCount  int
	settingsChanges     int           // how often its settings changed
	killedSpans []simnet.Span // from each kill to the next start, 0 if there is none yet
	terminating bool
	down        bool
}

// newBalancer starts a discovery agent and schedules the start of its balancer.
func (c *cluster) newBalancer(options balancerOptions) *balancer {
	number := len(c.balancers)
	b := &balancer{
		balancerOptions: options,
		cluster:         c,
		addr:            address(balancerSubnet+options.tier, number, balancerPort),
		agentAddr:       address(agentSubnet+options.tier, number, agentPort),
		down:            true,
	}
	c.balancers = append(c.balancers, b)
	b.agentHost = c.environment.spawn(names.DiscoveryAgentPrefix+b.name, b.machine, b.zone)
	b.startAgent()
	c.environment.start(b.agentHost)
	delay := firstBalancerStart + balancerStartInterval*float64(number%balancersPerStart)
	c.environment.schedule(c.loadStart-loadStartDelay+delay, names.BalancerStart+b.name, b.start)
	return b
}

// address returns the balancer as its clients reach it.
func (b *balancer) address() fake.BalancerAddress {
	return fake.BalancerAddress{Name: b.name, Addr: b.addr}
}

// startAgent starts a discovery agent at the present agent address.
func (b *balancer) startAgent() {
	rng := randstream.New(b.cluster.scenario.Seed, fmt.Sprintf(names.DiscoveryAgentStream, b.name, b.agentMoves))
	agent, err := fake.NewAgent(fake.Agent{
		Host:     b.agentHost,
		Registry: b.cluster.tiers[b.tier].registry,
		Balancer: b.name,
		Recorder: b.cluster.checker,
		Lag:      rng.Between(minAgentLag, maxAgentLag),
	}, b.agentAddr)
	if err != nil {
		panic(err) // the simulator has assigned its address
	}
	b.agent = agent
}

// processName returns the name of the balancer's present process.
func (b *balancer) processName() string {
	return fmt.Sprintf(names.BalancerProcess, b.name, b.startCount)
}

// start starts a process of a balancer that is down.
func (b *balancer) start() {
	if !b.down {
		return
	}
	b.down = false
	b.terminating = false
	b.startCount++
	if last := len(b.killedSpans) - 1; last >= 0 && b.killedSpans[last].To == 0 {
		b.killedSpans[last].To = b.cluster.now()
	}
	name := b.processName()
	onExit := func(state exitState) { b.onExit(name, state) }
	b.process = b.cluster.environment.startBalancer(name, b.machine, b.zone, b.config(), onExit)
	for _, pool := range b.cluster.balancerPools {
		pool.Restarted(b.name)
	}
}

// kill ends the balancer's process at once.
func (b *balancer) kill() {
	if b.down {
		return
	}
	b.process.kill()
	b.down = true
	b.killedSpans = append(b.killedSpans, simnet.Span{From: b.cluster.now()})
}

// terminate sends the balancer SIGTERM. Its clients stop using it soon after.
func (b *balancer) terminate() {
	if b.down || b.terminating {
		return
	}
	b.terminating = true
	c := b.cluster
	for _, pool := range c.balancerPools {
		rng := randstream.New(c.scenario.Seed, names.RestartNoticeStream+b.name)
		pool.ExpectRestart(b.name, minRestartNoticeDelay+rng.Float64()*restartNoticeJitter)
	}
	b.process.terminate()
	signalledAt := c.now()
	process := b.processName()
	c.environment.schedule(signalledAt+c.earliestKillDelay(), names.ExitDeadline+process, func() {
		b.checkExited(process, signalledAt)
	})
}

// checkExited checks that a process has exited before the platform may kill it. One that had no CPU meanwhile is exempt.
func (b *balancer) checkExited(process string, signalledAt float64) {
	c := b.cluster
	if b.down || b.processName() != process || c.LastResume(process, signalledAt, c.now()) != 0 {
		return
	}
	c.checker.Report(names.ShutdownTimeout, c.now(), "%s still runs %.0f ms after SIGTERM and may be killed", process,
		c.now()-signalledAt)
}

// onExit checks the state of a process that exited in order, and schedules the next start.
func (b *balancer) onExit(process string, state exitState) {
	c := b.cluster
	at := c.now()
	b.down = true
	if state.leakedState != "" {
		c.checker.Report(names.LeakedState, at, "%s exited with %s", process, state.leakedState)
	}
	if state.openDescriptors != 0 {
		c.checker.Report(names.LeakedState, at, "%s exited with %d open descriptors", process, state.openDescriptors)
	}
	if state.counter != nil {
		c.checker.BalancerExited(process, at, state.counter)
	}
	if !c.shuttingDown {
		c.environment.schedule(at+restartDelay, names.BalancerRestart+process, b.start)
	}
}

// reload sends the balancer SIGHUP with its present configuration.
func (b *balancer) reload() {
	if !b.down {
		b.process.reload(b.config())
	}
}

// changeSettings sends the balancer SIGHUP with a truncated file, and then with changed settings.
func (b *balancer) changeSettings() {
	if b.down || b.terminating {
		return
	}
	b.settingsChanges++
	config := b.config()
	b.process.reload(config[:len(config)*(1+b.settingsChanges%7)/8])
	b.process.reload(config)
}

// moveAgent starts a discovery agent at another address, and sends the balancer SIGHUP with that address.
func (b *balancer) moveAgent() {
	if b.down || b.terminating {
		return
	}
	old := b.agent
	b.agentMoves++
	b.agentAddr = netip.AddrPortFrom(b.agentAddr.Addr(), uint16(agentPort+b.agentMoves))
	b.startAgent()
	b.agent.Lag = old.Lag
	b.reload()
	old.Close(oldAgentCloseDelay)
}
