package cluster

import (
	"fmt"
	"math"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/simnet"
)

// Times from the announcement that an upstream terminates until it rejects new requests, in ms.
const (
	drainRejectDelay    = 1000
	replaceRejectDelay  = 500
	deployRejectDelay   = 1000
	deployDrainFraction = 0.7 // of the time for each replica of a rolling deploy, until its process ends
	movedNumberStep = 256 // between the addresses of a replica's generations
)

func crashUpstream(f *activeFault) func() {
	r := f.replica()
	r.kill()
	return r.restart
}

// isolateUpstream makes an upstream's machine unreachable. At the end the upstream has restarted.
func isolateUpstream(f *activeFault) func() {
	r := f.replica()
	f.network().Isolate(r.machine)
	return func() {
		r.kill()
		f.network().Reconnect(r.machine, simnet.ResetConnections)
		r.restart()
	}
}

func freezeUpstream(f *activeFault) func() {
	if process, ok := f.replica().host.(*simnet.Process); ok && !process.Exited() {
		process.Stall(f.duration())
	}
	return nil
}

// drainUpstream drains an upstream. At the end a new one starts at another address, unless it has crashed meanwhile.
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

// replaceUpstream drains an upstream while a new one has its address already.
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

// rollingDeploy replaces a fraction of the first tier's upstreams, one after the other.
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

// deploy drains one replica of a rolling deploy and starts a new one at its address, unless it crashes meanwhile.
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

// disableUpstream lets operators disable an upstream at all balancers of its tier. It restarts meanwhile, and is enabled
// at the end at the processes that disabled it.
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
