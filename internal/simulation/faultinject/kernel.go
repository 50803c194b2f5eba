// Package faultinject injects faults into the system calls of an event loop and into file operations.
//
// System calls fail with errors that Linux documents for them.
// Reads and writes transfer a single byte, waits return early, and the wall clock is stepped.
// The faults can be injected both into the kernel of the operating system and into the simulated one.
package faultinject

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"salttrack/internal/loop"
)

// streamNumber is the second half of the generator's seed.
// It makes the random numbers of a Kernel independent of other uses of the same seed.
const streamNumber = 0xfa17

// Kernel is a loop.Kernel with injected faults.
type Kernel struct {
	loop.Kernel
	rules      []Rule
	steps      []ClockStep
	createdAt  float64 // ms, by the clock of the wrapped kernel
	rulesSetAt float64 // ms, by the clock of the wrapped kernel
	rng        *rand.Rand
}

// New returns a kernel that injects faults into k.
// The seed determines which calls fail under rules that apply to a fraction of the calls.
func New(k loop.Kernel, seed uint64, rules []Rule, steps []ClockStep) *Kernel {
	wrapper := &Kernel{Kernel: k, steps: steps, createdAt: k.Now(), rng: rand.New(rand.NewPCG(seed, streamNumber))}
	wrapper.SetRules(rules)
	return wrapper
}

// SetRules replaces the rules. The times of the new rules count from this call.
func (k *Kernel) SetRules(rules []Rule) {
	k.rules = slices.Clone(rules)
	k.rulesSetAt = k.Kernel.Now()
}

// failure returns the rule that makes a call fail and counts the hit. It returns nil if the call is to be carried out.
func (k *Kernel) failure(call Call) *Rule {
	elapsed := k.Kernel.Now() - k.rulesSetAt
	for i := range k.rules {
		rule := &k.rules[i]
		if rule.Call != call || !rule.active(elapsed) {
			continue
		}
		if rule.Fraction == 0 || k.rng.Float64() < rule.Fraction {
			rule.hits++
			return rule
		}
	}
	return nil
}

// Wall returns the wall clock of the wrapped kernel plus the offsets of the steps that are due, in milliseconds.
func (k *Kernel) Wall() float64 {
	wall := k.Kernel.Wall()
	elapsed := k.Kernel.Now() - k.createdAt
	for _, step := range k.steps {
		if elapsed >= step.AtMS {
			wall += step.OffsetMS
		}
	}
	return wall
}

// Accept accepts a connection. It returns the injected error if a rule applies.
func (k *Kernel) Accept(fd int) (int, error) {
	if rule := k.failure(Accept); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Accept(fd)
}

// Connect begins a connection. It returns the injected error if a rule applies.
func (k *Kernel) Connect(addr netip.AddrPort) (int, error) {
	if rule := k.failure(Connect); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Connect(addr)
}

// Listen returns a listening socket. It returns the injected error if a rule applies.
func (k *Kernel) Listen(addr netip.AddrPort) (int, error) {
	if rule := k.failure(Listen); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Listen(addr)
}

// Read reads from a connection. If a rule applies it returns the injected error, or reads at most one byte.
func (k *Kernel) Read(fd int, buffer []byte) (int, error) {
	if rule := k.failure(Read); rule != nil {
		if rule.Errno != Short {
			return 0, rule.Errno
		}
		buffer = firstByte(buffer)
	}
	return k.Kernel.Read(fd, buffer)
}

// Write writes to a connection. If a rule applies it returns the injected error, or writes at most one byte.
func (k *Kernel) Write(fd int, data []byte) (int, error) {
	if rule := k.failure(Write); rule != nil {
		if rule.Errno != Short {
			return 0, rule.Errno
		}
		data = firstByte(data)
	}
	return k.Kernel.Write(fd, data)
}

// firstByte returns the first byte of data as a slice. The slice is empty if data is.
func firstByte(data []byte) []byte { return data[:min(1, len(data))] }

// Add begins to watch a descriptor. It returns the injected error if a rule applies.
func (k *Kernel) Add(fd int, events uint32, generation int32) error {
	if rule := k.failure(Add); rule != nil {
		return rule.Errno
	}
	return k.Kernel.Add(fd, events, generation)
}

// Modify replaces the events that a descriptor is watched for. It returns the injected error if a rule applies.
func (k *Kernel) Modify(fd int, events uint32, generation int32) error {
	if rule := k.failure(Modify); rule != nil {
		return rule.Errno
	}
	return k.Kernel.Modify(fd, events, generation)
}

// Wait waits for events. If a rule applies it does not block, like a call that a signal interrupted.
// It ignores the error of the rule.
func (k *Kernel) Wait(into []loop.Event, ms int) (int, error) {
	if k.failure(Wait) != nil {
		ms = 0
	}
	return k.Kernel.Wait(into, ms)
}
