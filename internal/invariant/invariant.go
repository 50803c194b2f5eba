// Package invariant checks what must hold. A build with the tag debug panics at the first breach; any other
// counts it, so that a balancer in service goes on and the count shows on its counters.
package invariant

import "sync/atomic"

var (
	broken atomic.Uint64
	strict atomic.Bool
)

// Strict makes every build panic at a breach, for programs that look for them.
func Strict() { strict.Store(true) }

// Check notes a breach of what must hold. What names it, for the panic of a debug build.
func Check(holds bool, what string) {
	if holds {
		return
	}
	broken.Add(1)
	if Debug || strict.Load() {
		panic("invariant broken: " + what)
	}
}

// Broken is how many checks have failed so far.
func Broken() uint64 { return broken.Load() }
