package main

import (
	"bytes"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// processMemory implements node.ProcessMemory.
type processMemory struct {
	mapped int       // bytes that counted for the soft limit of the Go runtime at the last call of Baseline
	statm  int       // descriptor of /proc/self/statm, -1 if the kernel does not tell
	text   [256]byte // content of that file

	samples       [2]metrics.Sample // all memory that the Go runtime has mapped, and the part that it has released
	releasing     atomic.Bool       // ReleaseGarbage is at work
	pagesReleased time.Time         // when it last called releaseLibraryPages
}

// newProcessMemory returns the memory of this process.
func newProcessMemory() *processMemory {
	fd, err := unix.Open("/proc/self/statm", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1
	}
	m := &processMemory{statm: fd}
	m.samples[0].Name = "/memory/classes/total:bytes"
	m.samples[1].Name = "/memory/classes/heap/released:bytes"
	return m
}

// Baseline returns the resident memory of the process in bytes, without garbage.
func (m *processMemory) Baseline() int {
	debug.FreeOSMemory()
	m.mapped = m.runtimeBytes()
	return m.Resident()
}

// RuntimeGrowth returns the bytes by which the memory of the Go runtime has grown since the last call of Baseline.
func (m *processMemory) RuntimeGrowth() int { return m.runtimeBytes() - m.mapped }

// runtimeBytes returns the bytes that count for the soft limit of the Go runtime.
func (m *processMemory) runtimeBytes() int {
	metrics.Read(m.samples[:])
	return int(m.samples[0].Value.Uint64() - m.samples[1].Value.Uint64())
}

// Resident returns the resident memory of the process, in bytes: its anonymous memory, the pages of its files and shared
// memory. It returns 0 if the kernel does not tell.
func (m *processMemory) Resident() int {
	n, err := unix.Pread(m.statm, m.text[:], 0)
	if err != nil {
		return 0
	}
	_, numbers, _ := bytes.Cut(m.text[:n], []byte{' '}) // the second one is the number of resident pages
	resident, _, _ := bytes.Cut(numbers, []byte{' '})
	pages, err := strconv.Atoi(string(resident))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// pageReleaseInterval is the shortest time between two calls of releaseLibraryPages under pressure.
const pageReleaseInterval = time.Second

// ReleaseGarbage collects garbage and returns its memory to the operating system, and that of library code that was used since the start,
// on another goroutine than that of the event loop.
func (m *processMemory) ReleaseGarbage() {
	if m.releasing.Swap(true) {
		return
	}
	go func() {
		debug.FreeOSMemory()
		if now := time.Now(); now.Sub(m.pagesReleased) >= pageReleaseInterval {
			m.pagesReleased = now
			releaseLibraryPages()
		}
		m.releasing.Store(false)
	}()
}

// ReleaseStartPages unmaps pages that the start of the program has used.
func (m *processMemory) ReleaseStartPages() { releaseLibraryPages() }

// LimitGrowth sets the soft memory limit of the Go runtime, which collects garbage more often as its memory approaches the limit. Much
// of what counts for the limit is mapped and not resident, so the limit is relative to the last call of Baseline.
func (m *processMemory) LimitGrowth(bytes int) { debug.SetMemoryLimit(int64(m.mapped + bytes)) }
