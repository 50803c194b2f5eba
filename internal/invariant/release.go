//go:build !debug

package invariant

// Debug is false in builds without the tag debug, in which a violation is only counted.
const Debug = false
