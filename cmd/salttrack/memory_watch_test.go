package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"
)

const memorySampling = 20 * time.Millisecond

// residentMB returns the resident memory of a process in MB: what it is now, and of that the anonymous memory, the pages of files
// and the shared memory.
func residentMB(t *testing.T, pid int) (resident, anonymous, files, shared float64) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, 0, 0 // the process has exited
	}
	value := func(field string) float64 {
		match := regexp.MustCompile(field + `:\s+(\d+) kB`).FindSubmatch(status)
		if match == nil {
			return 0
		}
		kilobytes, _ := strconv.ParseFloat(string(match[1]), 64)
		return kilobytes / 1024
	}
	return value("VmRSS"), value("RssAnon"), value("RssFile"), value("RssShmem")
}

// memoryWatch samples the resident memory of some processes together.
type memoryWatch struct {
	t      *testing.T
	mu     sync.Mutex
	pids   []int
	peakMB float64
	detail string // kinds of resident memory of each process at the peak
	done   chan struct{}
	ended  sync.WaitGroup
}

func watchMemory(t *testing.T, pid int) *memoryWatch {
	w := &memoryWatch{t: t, pids: []int{pid}, done: make(chan struct{})}
	w.ended.Go(func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(memorySampling):
				w.sample()
			}
		}
	})
	return w
}

func (w *memoryWatch) add(pid int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids = append(w.pids, pid)
}

func (w *memoryWatch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0.0
	detail := ""
	for _, pid := range w.pids {
		resident, anonymous, files, shared := residentMB(w.t, pid)
		sum += resident
		detail += fmt.Sprintf("%d: anonymous %.1f, files %.1f, shared %.1f; ", pid, anonymous, files, shared)
	}
	if sum > w.peakMB {
		w.peakMB, w.detail = sum, detail
	}
}

func (w *memoryWatch) stop() float64 {
	close(w.done)
	w.ended.Wait()
	return w.peakMB
}
