package cluster

import (
	"fmt"
	"net/netip"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/simulation/simnet"
)

// Times of the balancers' starts, restarts and discovery agents, in ms.
const (
	// A cluster starts its balancers in balancerStartGroups groups.
	// The first group starts firstBalancerStart after the start of the run, when the upstreams are in discovery.
	// Each further group starts balancerStartInterval after the one before.
	firstBalancerStart    = 10.0
	balancerStartInterval = 40.0
	balancerStartGroups   = 5

	restartDelay          = 100.0  // from a graceful exit to the next start
	minRestartNoticeDelay = 200.0  // shortest time from SIGTERM until clients stop using the balancer
	restartNoticeJitter   = 200.0  // longest random addition to minRestartNoticeDelay
	minAgentLag           = 1.0    // shortest time until a discovery agent receives a change
	maxAgentLag           = 60.0   // longest time until a discovery agent receives a change
	oldAgentCloseDelay    = 1500.0 // from the move of a discovery agent until the agent at the old address closes its connections
)

// balancerOptions are the parameters of a balancer.
type balancerOptions struct {
	name      string
	zone      string
	machine   string
	tier      int // number of the tier whose upstreams the balancer uses
	instance  int // number of the balancer among the balancers of the tier
	instances int // number of balancers of the tier
}

// balancer is one balancer and the discovery agent on its machine.
// It exists for the whole run, also while no process of it is running; each start creates a new process.
type balancer struct {
	balancerOptions
	cluster         *cluster
	addr            netip.AddrPort
	agentAddr       netip.AddrPort
	agent           *fake.Agent
	agentHost       host
	agentMoves      int             // how often the discovery agent was moved to another address
	process         balancerProcess // the current process, or the last one while the balancer is down
	startCount      int             // number of processes started so far
	settingsChanges int             // how often the settings were changed
	killedSpans     []simnet.Span   // times from each kill to the next start; To is 0 before that start
	terminating     bool            // SIGTERM was sent to the current process
	down            bool            // no process is running
}

// newBalancer adds a balancer: it starts its discovery agent and schedules the start of its first process.
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
	delay := firstBalancerStart + balancerStartInterval*float64(number%balancerStartGroups)
	c.environment.schedule(c.loadStart-loadStartDelay+delay, names.BalancerStart+b.name, b.start)
	return b
}

// address returns the name and the address that clients of the balancer use.
func (b *balancer) address() fake.BalancerAddress {
	return fake.BalancerAddress{Name: b.name, Addr: b.addr}
}

// startAgent starts a discovery agent at agentAddr.
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
		panic(err) // possible on loopback sockets only, for example if another process uses the address
	}
	b.agent = agent
}

// processName returns the name of the balancer's current or last process.
func (b *balancer) processName() string {
	return fmt.Sprintf(names.BalancerProcess, b.name, b.startCount)
}

// start starts a process. It does nothing if the balancer is not down.
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

// kill kills the balancer's process.
func (b *balancer) kill() {
	if b.down {
		return
	}
	b.process.kill()
	b.down = true
	b.killedSpans = append(b.killedSpans, simnet.Span{From: b.cluster.now()})
}

// terminate sends SIGTERM to the balancer's process.
// Each balancer pool stops using the balancer after a random delay.
// At the earliest time at which the platform may send SIGKILL, checkExited checks that the process has exited.
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

// checkExited checks that a process has exited before the platform may send SIGKILL.
// A process that was stalled after the signal is exempt.
func (b *balancer) checkExited(process string, signalledAt float64) {
	c := b.cluster
	if b.down || b.processName() != process || c.LastResume(process, signalledAt, c.now()) != 0 {
		return
	}
	c.checker.Report(names.ShutdownTimeout, c.now(), "%s is still running %.0f ms after SIGTERM, when the platform may kill it",
		process, c.now()-signalledAt)
}

// onExit checks the state of a process that exited gracefully, and schedules the next start unless the run ends.
func (b *balancer) onExit(process string, state exitState) {
	c := b.cluster
	at := c.now()
	b.down = true
	if state.leakedState != "" {
		c.checker.Report(names.LeakedState, at, "%s exited without releasing %s", process, state.leakedState)
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

// reload sends SIGHUP to the balancer, with its current configuration in the file.
func (b *balancer) reload() {
	if !b.down {
		b.process.reload(b.config())
	}
}

// changeSettings changes the settings and sends SIGHUP twice: first with a truncated configuration file, then with the complete one.
func (b *balancer) changeSettings() {
	if b.down || b.terminating {
		return
	}
	b.settingsChanges++
	config := b.config()
	b.process.reload(config[:len(config)*(1+b.settingsChanges%7)/8])
	b.process.reload(config)
}

// moveAgent moves discovery to another address: it starts an agent there and sends SIGHUP with the new address in the configuration.
// The old agent closes its connections after oldAgentCloseDelay.
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
