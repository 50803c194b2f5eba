package main

import (
	"runtime"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"salttrack/internal/node"
)

// runtimeMemoryShare is the share of the memory limit that is set as the soft limit of the Go runtime.
// The rest is for memory that the runtime does not count.
const runtimeMemoryShare = 0.7

// applyLimits limits the Go runtime to the configured cores and memory.
// It lowers the configured number of descriptors to the limit of the kernel.
func applyLimits(c *node.Config) {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	limitMemory(c.Limits.MemoryMB)
	var descriptors unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) == nil {
		c.Limits.LimitDescriptors(descriptors.Cur)
	}
}

// limitMemory sets the soft memory limit of the Go runtime by a memory limit in MB.
// As the memory in use approaches the soft limit, the runtime collects garbage more often.
func limitMemory(limitMB float64) {
	debug.SetMemoryLimit(int64(limitMB * runtimeMemoryShare * (1 << 20)))
}
