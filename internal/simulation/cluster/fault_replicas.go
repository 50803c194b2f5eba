package cluster

import (
	"fmt"
	"math"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/simnet"
)

// Times from the announcement that an upstream terminates until the upstream rejects new requests, in ms.
const (
	drainRejectDelay   = 1000
	replaceRejectDelay = 500
	deployRejectDelay  = 1000
)

const (
	deployDrainFraction = 0.7 // time that each replica of a rolling deploy drains, as a fraction of the time between two replicas
	movedNumberStep     = 256 // distance between the address numbers of successive processes of a moved replica
)

// crashUpstream kills an upstream. It restarts at the end of the fault.
func crashUpstream(f *activeFault) func() {
	r := f.replica()
	r.kill()
	return r.restart
}

// isolateUpstream makes an upstream's machine unreachable.
// At the end of the fault the machine is reachable again and the upstream restarts.
func isolateUpstream(f *activeFault) func() {
	r := f.replica()
	f.network().Isolate(r.machine)
	return func() {
		r.kill()
		f.network().Reconnect(r.machine, simnet.ResetConnections)
		r.restart()
	}
}

// freezeUpstream stalls an upstream for the duration of the fault.
func freezeUpstream(f *activeFault) func() {
	if process, ok := f.replica().host.(*simnet.Process); ok && !process.Exited() {
		process.Stall(f.duration())
	}
	return nil
}

// drainUpstream drains an upstream. At the end of the fault the upstream terminates, and a new one starts at another address.
// If the upstream has crashed or restarted during the fault, the end does nothing.
func drainUpstream(f *activeFault) func() {
	r := f.replica()
	if r.down {
		return nil
	}
	generation := r.generation
	r.publish(fake.Terminating, 0)
	r.upstream.Drain(drainRejectDelay)
	return func() {
		if r.generation != generation || r.down {
			return
		}
		r.publish(fake.Terminated, 0)
		r.kill()
		r.addr = address(movedUpstreamSubnet+r.tier.number, r.number+movedNumberStep*r.generation, upstreamPort)
		r.replaceProcess()
	}
}

// replaceUpstream drains an upstream while a new one already listens on the same address.
// At the end of the fault the old process ends. An upstream with a balancer for the next tier is not replaced.
func replaceUpstream(f *activeFault) func() {
	r := f.replica()
	if r.down || r.nestedBalancer != nil {
		return nil
	}
	oldHost := r.host
	oldID := r.id
	r.publish(fake.Terminating, 0)
	r.upstream.Drain(replaceRejectDelay)
	r.upstream.CloseListener()
	r.replaceProcess()
	return func() {
		oldHost.Kill()
		r.tier.registry.Set(fake.Endpoint{
			ID:       oldID,
			HostPort: r.addr.String(),
			Locality: r.zone,
			Cell:     r.number / replicasPerCell,
			Phase:    fake.Terminated,
		})
	}
}

// rollingDeploy replaces upstreams of the first tier one after the other. The size of the fault is the fraction that is replaced.
func rollingDeploy(f *activeFault) func() {
	replicas := f.cluster.tiers[0].replicas
	count := int(math.Ceil(f.Size * float64(len(replicas))))
	interval := f.duration() / float64(count)
	for i, number := range f.rng.Perm(len(replicas))[:count] {
		r := replicas[number]
		f.after(float64(i)*interval, fmt.Sprintf(names.DeployReplica, i), func() { f.deploy(r, i, interval) })
	}
	return nil
}

// deploy drains one replica of a rolling deploy and then starts a new one at its address.
// If the replica crashes or restarts while it drains, no new one is started.
// The parameter interval is the time in ms until the next replica begins to drain.
func (f *activeFault) deploy(r *replica, position int, interval float64) {
	if r.down {
		return
	}
	generation := r.generation
	r.publish(fake.Terminating, 0)
	r.upstream.Drain(min(deployRejectDelay, interval))
	f.after(interval*deployDrainFraction, fmt.Sprintf(names.DeployedReplica, position), func() {
		if r.generation != generation || r.down {
			return
		}
		r.publish(fake.Terminated, 0)
		r.kill()
		r.replaceProcess()
	})
}

// disableUpstream sends an operator's override that disables an upstream to all balancers of the upstream's tier.
// The upstream restarts after a third of the fault and has to stay disabled.
// At the end of the fault the upstream is enabled at those balancers whose process is still the same.
func disableUpstream(f *activeFault) func() {
	c := f.cluster
	r := f.replica()
	id := r.id
	processes := map[*balancer]string{}
	for _, b := range c.balancers {
		if b.tier != r.tier.number || b.down {
			continue
		}
		process := b.processName()
		processes[b] = process
		b.process.disable(id, func() { c.checker.UpstreamDisabled(process, id, c.now()) })
	}
	generation := r.generation
	f.after(f.duration()/3, names.RestartDisabled, func() {
		if r.generation == generation && !r.down {
			r.kill()
			r.restart()
		}
	})
	return func() {
		for _, b := range c.balancers {
			if process, disabled := processes[b]; disabled && !b.down && process == b.processName() {
				c.checker.UpstreamEnabled(process, id)
				b.process.enable(id)
			}
		}
	}
}
