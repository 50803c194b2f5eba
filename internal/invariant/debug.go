//go:build debug

package invariant

// Debug tells whether a breach panics.
const Debug = true
