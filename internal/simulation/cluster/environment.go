package cluster

import (
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/simnet"
)

// environment runs the processes of a cluster, on the virtual network or on loopback sockets.
type environment interface {
	// now returns the current time in ms.
	now() float64
	// schedule calls callback at the given time, while no event loop runs.
	// On the virtual network the name determines the order of events at the same time.
	schedule(at float64, name string, callback func())
	// spawn returns a host for fakes. The host does not run before start.
	spawn(name, machine, zone string) host
	// start starts the event loop of a host.
	start(h host)
	// startBalancer starts a balancer's process. It calls onExit when the process has exited gracefully, but not after a kill.
	startBalancer(name, machine, zone string, config []byte, onExit func(exitState)) balancerProcess
	// network returns the virtual network, or nil if the environment uses loopback sockets.
	network() *simnet.Network
}

// host is a process in which fakes run.
type host interface {
	fake.Host
	// Kill ends the process at once and resets its connections.
	Kill()
}

// balancerProcess is one process of a balancer.
type balancerProcess interface {
	// kill ends the process as SIGKILL does.
	kill()
	// terminate sends SIGTERM.
	terminate()
	// reload writes the configuration file and sends SIGHUP.
	reload(config []byte)
	// disable sends an override that disables an upstream. It calls onConfirmed when the balancer has confirmed the override.
	disable(upstream string, onConfirmed func())
	// enable sends an override that enables an upstream.
	enable(upstream string)
	// pendingWork describes the work that is not finished. It returns "" if there is none, or if the environment can't read it.
	pendingWork() string
}

// exitState is the state of a balancer's process at its graceful exit.
type exitState struct {
	leakedState     string // describes the resources that were not released; "" if there are none
	openDescriptors int
	counter         func(name string) uint64 // returns the value of a counter; nil if the environment can't read counters
}
