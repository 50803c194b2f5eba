package cluster

import (
	"github.com/sirupsen/logrus"

	"salttrack/internal/simulation/faultinject"
	"salttrack/internal/simulation/simnet"
)

// maxHostDescriptors is the descriptor limit of a host. It is higher than the fakes of any host need.
const maxHostDescriptors = 1 << 16

// virtualEnvironment is the environment of a run on the virtual network.
type virtualEnvironment struct {
	net       *simnet.Network
	log       *logrus.Entry
	processes map[string]*simnet.Process     // by name
	kernels   map[string]*faultinject.Kernel // of balancers, by process name
}

func newVirtualEnvironment(network *simnet.Network, log *logrus.Entry) *virtualEnvironment {
	return &virtualEnvironment{
		net:       network,
		log:       log,
		processes: map[string]*simnet.Process{},
		kernels:   map[string]*faultinject.Kernel{},
	}
}

func (e *virtualEnvironment) now() float64             { return e.net.Now() }
func (e *virtualEnvironment) network() *simnet.Network { return e.net }

func (e *virtualEnvironment) schedule(at float64, name string, callback func()) {
	e.net.Schedule(at, name, callback)
}

func (e *virtualEnvironment) spawn(name, machine, zone string) host {
	process := e.net.Spawn(name, machine, zone, maxHostDescriptors)
	e.processes[name] = process
	return process
}

func (e *virtualEnvironment) start(h host) { h.(*simnet.Process).Start(nil) }
