package cluster

import (
	"golang.org/x/sys/unix"

	"salttrack/internal/simulation/faultinject"
	"salttrack/internal/simulation/names"
)

// Shortest and longest time between two repeated stalls, in ms.
const (
	minStallGap = 5
	maxStallGap = 300
)

// minStallFraction is the shortest duration of a repeated stall, as a fraction of the fault's size.
const minStallFraction = 0.2

// killBalancer kills a balancer's process. The balancer starts again at the end of the fault.
func killBalancer(f *activeFault) func() {
	b := f.balancer()
	b.kill()
	return b.start
}

// restartBalancer sends SIGTERM to a balancer, which starts again after its exit.
func restartBalancer(f *activeFault) func() {
	f.balancer().terminate()
	return nil
}

// moveDiscoveryAgent moves a balancer's discovery agent to another address.
func moveDiscoveryAgent(f *activeFault) func() {
	f.balancer().moveAgent()
	return nil
}

// changeSettings changes the settings of a balancer.
func changeSettings(f *activeFault) func() {
	f.balancer().changeSettings()
	return nil
}

// reloadUnchanged sends SIGHUP to a balancer whose settings have not changed.
func reloadUnchanged(f *activeFault) func() {
	f.balancer().reload()
	return nil
}

// stallBalancer stalls a balancer for the duration of the fault.
func stallBalancer(f *activeFault) func() {
	f.stall(f.duration())
	return nil
}

// stallRepeatedly stalls a balancer again and again until the end of the fault.
// The durations of the stalls and the times between them are random.
func stallRepeatedly(f *activeFault) func() {
	if f.cluster.now() >= f.endsAt {
		return nil
	}
	ms := f.Size * f.rng.Between(minStallFraction, 1)
	f.stall(ms)
	f.after(ms+f.rng.Between(minStallGap, maxStallGap), names.NextStall, func() { stallRepeatedly(f) })
	return nil
}

// stall withholds the CPU from the process of the target balancer for the given number of ms.
func (f *activeFault) stall(ms float64) {
	process := f.virtual().processes[f.balancer().processName()]
	if process != nil && !process.Exited() {
		process.Stall(ms)
	}
}

// systemCallFault makes system calls of a balancer's process fail.
type systemCallFault struct {
	// rules returns the rules under which a fraction of the calls fails. The fraction is the size of the fault.
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

// shortReadsAndWrites returns rules by which the given fraction of the reads and writes transfers at most one byte.
func shortReadsAndWrites(fraction float64) []faultinject.Rule {
	return []faultinject.Rule{
		{Call: faultinject.Read, Errno: faultinject.Short, Fraction: fraction},
		{Call: faultinject.Write, Errno: faultinject.Short, Fraction: fraction},
	}
}

// exhaustedResources returns rules by which calls fail for lack of descriptors, memory or ports, or because of the network.
// The errors are those that Linux documents for each call.
// Each rule applies to the given fraction of the calls that no earlier rule fails, or to a half or a quarter of it.
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
