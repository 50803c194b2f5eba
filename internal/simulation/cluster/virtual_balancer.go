package cluster

import (
	"salttrack/internal/node"
	"salttrack/internal/simulation/faultinject"
	"salttrack/internal/simulation/simnet"
)

// virtualBalancer is a balancer that runs as a process of the virtual network. It runs the code of the real program.
type virtualBalancer struct {
	process *simnet.Process
	node    *node.Node
}

// startBalancer starts a process of the virtual network whose kernel can inject faults into system calls.
func (e *virtualEnvironment) startBalancer(name, machine, zone string, config []byte, onExit func(exitState)) balancerProcess {
	parsed, err := node.Parse(config, nil)
	if err != nil {
		panic(err) // the simulator itself wrote the configuration
	}
	process := e.net.Spawn(name, machine, zone, parsed.Limits.Sockets)
	kernel := faultinject.New(process, processSeed(0, name), nil, nil)
	process.SetKernel(kernel)
	e.processes[name] = process
	e.kernels[name] = kernel
	b := &virtualBalancer{process: process, node: node.New(parsed, process.Loop(), e.log)}
	process.Loop().Post(func() {
		if err := b.node.Start(); err != nil {
			panic(name + ": " + err.Error())
		}
	})
	process.Start(func() {
		b.node.Close()
		onExit(b.exitState())
	})
	return b
}

func (b *virtualBalancer) exitState() exitState {
	return exitState{
		leakedState:     b.node.Unreleased().String(),
		openDescriptors: b.process.OpenDescriptors(),
		counter: func(name string) uint64 {
			value, _ := b.node.Counters.Value(name)
			return value
		},
	}
}

func (b *virtualBalancer) pendingWork() string { return b.node.InFlight().String() }

func (b *virtualBalancer) kill() { b.process.Kill() }

func (b *virtualBalancer) terminate() {
	signalledAt := b.process.Loop().Now()
	b.process.Loop().Post(func() { b.node.Shutdown(signalledAt, b.process.Loop().Stop) })
}

func (b *virtualBalancer) disable(upstream string, onConfirmed func()) {
	b.override(upstream, true, onConfirmed)
}

func (b *virtualBalancer) enable(upstream string) { b.override(upstream, false, func() {}) }

// override sends an operator's override for an upstream. It does nothing if the balancer does not know the upstream.
// It calls onConfirmed when the balancer has applied the override without an error.
func (b *virtualBalancer) override(upstream string, disabled bool, onConfirmed func()) {
	b.process.Loop().Post(func() {
		if !b.node.KnowsUpstream(upstream) {
			return
		}
		b.node.SetDisabled(upstream, disabled, func(err error) {
			if err == nil {
				onConfirmed()
			}
		})
	})
}

func (b *virtualBalancer) reload(config []byte) {
	parsed, err := node.Parse(config, nil)
	b.process.Loop().Post(func() { b.node.ApplyReload(parsed, err) })
}
