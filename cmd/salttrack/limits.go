package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"salttrack/internal/node"
)

// applyLimits limits the Go runtime to the configured cores, and keeps the kernel from giving huge pages to the process.
// It lowers the configured number of descriptors to the limit of the kernel.
func applyLimits(c *node.Config) {
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	_ = unix.Prctl(unix.PR_SET_THP_DISABLE, 1, 0, 0, 0) // a huge page is resident as a whole when one byte of it is used
	var descriptors unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) == nil {
		c.Limits.LimitDescriptors(descriptors.Cur)
	}
}

// logMemoryDivisor is the part of the memory limit that queued log lines may use: one in so many bytes.
const logMemoryDivisor = 128

// maxLogBytes returns the number of bytes that queued log lines may use.
func maxLogBytes(c *node.Config) int { return int(c.Limits.MemoryMB * (1 << 20) / logMemoryDivisor) }

// processMemory implements node.ProcessMemory.
type processMemory struct {
	mapped int // bytes that counted for the soft limit of the Go runtime at the last call of Resident
}

// Resident returns the resident memory of the process in bytes, without garbage.
func (m *processMemory) Resident() int {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	m.mapped = int(stats.Sys - stats.HeapReleased)
	return residentBytes()
}

// ReleaseStartPages unmaps pages that the start of the program has used.
func (m *processMemory) ReleaseStartPages() { releaseLibraryPages() }

// LimitGrowth sets the soft memory limit of the Go runtime, which collects garbage more often as its memory approaches the limit. Much
// of what counts for the limit is mapped and not resident, so the limit is relative to the last call of Resident.
func (m *processMemory) LimitGrowth(bytes int) { debug.SetMemoryLimit(int64(m.mapped + bytes)) }

// residentBytes returns the resident memory of the process, in bytes: its anonymous memory, the pages of its files and shared
// memory. It returns 0 if the kernel does not tell.
func residentBytes() int {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // the second is the number of resident pages
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
