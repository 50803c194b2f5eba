package main

import (
	"runtime"

	"golang.org/x/sys/unix"

	"salttrack/internal/node"
)

// applyLimits limits the Go runtime to the configured cores, and keeps the kernel from giving huge pages to the process.
// It lowers the configured number of descriptors to the limit of the kernel.
func applyLimits(c *node.Config) {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	// A huge page is resident as a whole when one byte of it is used. With cgo, they were refused before.
	_ = unix.Prctl(unix.PR_SET_THP_DISABLE, 1, 0, 0, 0)
	var descriptors unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) == nil {
		c.Limits.LimitDescriptors(descriptors.Cur)
	}
}

// logMemoryDivisor is the part of the memory limit that queued log lines may use: one in so many bytes.
const logMemoryDivisor = 128

// maxLogBytes returns the number of bytes that queued log lines may use.
func maxLogBytes(c *node.Config) int { return int(c.Limits.MemoryMB * (1 << 20) / logMemoryDivisor) }
