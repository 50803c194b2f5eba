// Package faultinject wraps a kernel in one that fails as Linux documents it: calls fail for a while, reads and writes are
// short, waits end early, and the wall clock is stepped. The same faults are played on the machine's kernel and on a
// simulated one.
package faultinject

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"salttrack/internal/loop"
)

// streamNumber separates the random numbers of a kernel from other uses of its seed.
const streamNumber = 0xfa17

// Kernel is a kernel with faults.
type Kernel struct {
	loop.Kernel
	rules      []Rule
	steps      []ClockStep
	createdAt  float64
	rulesSetAt float64
	rng        *rand.Rand
}

// New wraps a kernel. The seed decides which calls fail of those that rules apply to.
func New(k loop.Kernel, seed uint64, rules []Rule, steps []ClockStep) *Kernel {
	wrapper := &Kernel{Kernel: k, steps: steps, createdAt: k.Now(), rng: rand.New(rand.NewPCG(seed, streamNumber))}
	wrapper.SetRules(rules)
	return wrapper
}

// SetRules replaces the rules. Their times count from now on.
func (k *Kernel) SetRules(rules []Rule) {
	k.rules = slices.Clone(rules)
	k.rulesSetAt = k.Kernel.Now()
}

// failure returns the rule under which a call fails, nil if it does not.
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

// Wall returns the kernel's wall clock with the steps so far.
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

// Accept accepts a connection, or fails.
func (k *Kernel) Accept(fd int) (int, error) {
	if rule := k.failure(Accept); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Accept(fd)
}

// Connect begins a connection, or fails.
func (k *Kernel) Connect(addr netip.AddrPort) (int, error) {
	if rule := k.failure(Connect); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Connect(addr)
}

// Listen opens a listener, or fails.
func (k *Kernel) Listen(addr netip.AddrPort) (int, error) {
	if rule := k.failure(Listen); rule != nil {
		return -1, rule.Errno
	}
	return k.Kernel.Listen(addr)
}

// Read reads, fails, or reads one byte.
func (k *Kernel) Read(fd int, buffer []byte) (int, error) {
	if rule := k.failure(Read); rule != nil {
		if rule.Errno != Short {
			return 0, rule.Errno
		}
		buffer = firstByte(buffer)
	}
	return k.Kernel.Read(fd, buffer)
}

// Write writes, fails, or writes one byte.
func (k *Kernel) Write(fd int, data []byte) (int, error) {
	if rule := k.failure(Write); rule != nil {
		if rule.Errno != Short {
			return 0, rule.Errno
		}
		data = firstByte(data)
	}
	return k.Kernel.Write(fd, data)
}

func firstByte(data []byte) []byte { return data[:min(1, len(data))] }

// Add watches a descriptor, or fails.
func (k *Kernel) Add(fd int, events uint32, generation int32) error {
	if rule := k.failure(Add); rule != nil {
		return rule.Errno
	}
	return k.Kernel.Add(fd, events, generation)
}

// Modify changes the events that a descriptor is watched for, or fails.
func (k *Kernel) Modify(fd int, events uint32, generation int32) error {
	if rule := k.failure(Modify); rule != nil {
		return rule.Errno
	}
	return k.Kernel.Modify(fd, events, generation)
}

// Wait waits for events, or returns at once, as after a signal.
func (k *Kernel) Wait(into []loop.Event, ms int) (int, error) {
	if k.failure(Wait) != nil {
		ms = 0
	}
	return k.Kernel.Wait(into, ms)
}
