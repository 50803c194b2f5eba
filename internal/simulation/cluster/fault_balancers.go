package cluster

import (
	"golang.org/x/sys/unix"

	"salttrack/internal/simulation/faultinject"
	"salttrack/internal/simulation/names"
)

// Pauses between repeated stalls, in ms.
const (
	minStallGap = 5
	maxStallGap = 300
)

// minStallFraction is the shortest of repeated stalls, as a fraction of the fault's size.
const minStallFraction = 0.2

func killBalancer(f *activeFault) func() {
	b := f.balancer()
	b.kill()
	return b.start
}

func restartBalancer(f *activeFault) func() {
	f.balancer().terminate()
	return nil
}

func moveDiscoveryAgent(f *activeFault) func() {
	f.balancer().moveAgent()
	return nil
}

func changeSettings(f *activeFault) func() {
	f.balancer().changeSettings()
	return nil
}

func reloadUnchanged(f *activeFault) func() {
	f.balancer().reload()
	return nil
}

func stallBalancer(f *activeFault) func() {
	f.stall(f.duration())
	return nil
}

// stallRepeatedly stalls a balancer at random intervals until the end of the fault.
func stallRepeatedly(f *activeFault) func() {
	if f.cluster.now() >= f.endsAt {
		return nil
	}
	ms := f.Size * f.rng.Between(minStallFraction, 1)
	f.stall(ms)
	f.after(ms+f.rng.Between(minStallGap, maxStallGap), names.NextStall, func() { stallRepeatedly(f) })
	return nil
}

// stall takes the CPU from the process of a balancer.
func (f *activeFault) stall(ms float64) {
	process := f.virtual().processes[f.balancer().processName()]
	if process != nil && !process.Exited() {
		process.Stall(ms)
	}
}

// systemCallFault lets a fraction of the system calls of a balancer's process fail.
type systemCallFault struct {
	rules func(fraction float64) []faultinject.Rule
}

func (c systemCallFault) begin(f *activeFault) func() {
	kernel := f.virtual().kernels[f.balancer().processName()]
	if kernel == nil {
		return nil
	}
	kernel.SetRules(c.rules(f.Size))
	return func() { kernel.SetRules(nil) }
}

// shortReadsAndWrites returns rules under which reads and writes transfer one byte.
func shortReadsAndWrites(fraction float64) []faultinject.Rule {
	return []faultinject.Rule{
		{Call: faultinject.Read, Errno: faultinject.Short, Fraction: fraction},
		{Call: faultinject.Write, Errno: faultinject.Short, Fraction: fraction},
	}
}

// exhaustedResources returns rules under which calls fail for lack of descriptors, memory or ports, as Linux documents.
func exhaustedResources(fraction float64) []faultinject.Rule {
	return []faultinject.Rule{
		{Call: faultinject.Accept, Errno: unix.ENFILE, Fraction: fraction},
		{Call: faultinject.Accept, Errno: unix.ECONNABORTED, Fraction: fraction / 2},
		{Call: faultinject.Connect, Errno: unix.EADDRNOTAVAIL, Fraction: fraction},
		{Call: faultinject.Connect, Errno: unix.ENOBUFS, Fraction: fraction / 2},
		{Call: faultinject.Connect, Errno: unix.ENETUNREACH, Fraction: fraction / 4},
		{Call: faultinject.Read, Errno: unix.ENOBUFS, Fraction: fraction / 2},
		{Call: faultinject.Write, Errno: unix.ENOBUFS, Fraction: fraction / 2},
		{Call: faultinject.Add, Errno: unix.ENOMEM, Fraction: fraction / 2},
		{Call: faultinject.Modify, Errno: unix.ENOMEM, Fraction: fraction / 2},
	}
}
