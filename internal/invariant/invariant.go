// Package invariant checks conditions that must hold while the program runs.
// A build with the tag debug panics at the first violation.
// Any other build only counts violations, so that a balancer in production continues to serve.
// The balancer exposes the count in its counters.
package invariant

import "sync/atomic"

var (
	violations       atomic.Uint64
	panicOnViolation atomic.Bool
)

// PanicOnViolation makes violations panic in this process, regardless of the build tag. Test programs use it.
func PanicOnViolation() { panicOnViolation.Store(true) }

// Check counts a violation if the condition is false. The description is part of the panic message.
func Check(condition bool, description string) { //revive:disable-line:flag-parameter it is the value that is checked
	if condition {
		return
	}
	violations.Add(1)
	if Debug || panicOnViolation.Load() {
		panic("invariant violated: " + description)
	}
}

// Violations returns the number of violations in this process.
func Violations() uint64 { return violations.Load() }
