//go:build debug

package invariant

// Debug is true in builds with the tag debug, in which a violation panics.
const Debug = true
