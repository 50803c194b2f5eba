package cluster

import "salttrack/internal/simulation/simnet"

// partition is a network partition between two zones.
// The field onHeal selects whether the connections that it stopped are resumed or reset at its end.
type partition struct{ onHeal simnet.HealMode }

func (p partition) begin(f *activeFault) func() {
	a, b := f.zones()
	f.network().Partition(a, b)
	return func() { f.network().Heal(a, b, p.onHeal) }
}

// raiseLatency multiplies the latency between two zones by the size of the fault.
func raiseLatency(f *activeFault) func() {
	a, b := f.zones()
	f.network().SetLatencyFactor(a, b, f.Size)
	return func() { f.network().SetLatencyFactor(a, b, 1) }
}

// fragmentWrites makes the network split a fraction of the writes into segments of random sizes.
// The size of the fault is this fraction.
func fragmentWrites(f *activeFault) func() {
	f.network().SetFragmentation(f.Size)
	return func() { f.network().SetFragmentation(0) }
}

// stepClock steps the wall clock of all machines by the size of the fault, in seconds.
// At the end of the fault it undoes the step.
func stepClock(f *activeFault) func() {
	step := f.Size * 1000
	f.network().StepClock(step)
	return func() { f.network().StepClock(-step) }
}
