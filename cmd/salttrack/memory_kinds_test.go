package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"salttrack/internal/memory"
)

const (
	memoryKindsInterval = 50 * time.Millisecond // between two readings of the gauges
	memoryKindsSpare    = 56                    // descriptors that the crowd leaves to others
)

// Guards against a peak over the limit of larger processes. It logs a row of the table by kind in docs/capacity.md for each limit.
func TestMemoryByKind(t *testing.T) {
	binary := buildDeployed(t)
	limits := []int{32}
	if *allMemoryCases {
		limits = []int{32, 48, 64, 128, 192}
	}
	for _, limitMB := range limits {
		for _, descriptors := range []int{256, 1024} {
			playMemoryKinds(t, binary, limitMB, descriptors)
		}
	}
}

func playMemoryKinds(t *testing.T, binary string, limitMB, descriptors int) {
	e := newEnvironment(t, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho)
	p := start(t, e.config(func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": descriptors}
	}), func(c *exec.Cmd) { c.Path = binary })
	time.Sleep(memorySettle)
	_, base, _, _ := residentMB(t, p.cmd.Process.Pid)
	p.requestCounters()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.playClients(descriptors-memoryKindsSpare, memoryBehaviours()["mixture"])
	}()
	largest, row := -1, ""
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(memoryKindsInterval):
		}
		gauge := p.latestCounters()
		if total := gauge("memory_bytes"); total > largest {
			_, anonymous, _, _ := residentMB(t, p.cmd.Process.Pid)
			largest = total
			row = memoryKindsRow(gauge, anonymous, base)
		}
		p.cmd.Process.Signal(syscall.SIGUSR1)
	}
	peakMB := p.usage().peakMB
	t.Logf("| %d, %d | %s | %.1f |", limitMB, descriptors, row, peakMB)
	if peakMB > float64(limitMB) {
		t.Errorf("%d MB, %d descriptors: peak memory %.1f MB", limitMB, descriptors, peakMB)
	}
	p.terminate()
}

// memoryKindsRow returns the memory of each kind, their sum and the limit in KiB, and the anonymous memory now and before in MB.
func memoryKindsRow(gauge func(string) int, anonymousMB, baseMB float64) string {
	var columns []string
	for _, kind := range memory.Kinds() {
		columns = append(columns, fmt.Sprint(gauge("memory_"+kind.String()+"_bytes")>>10))
	}
	columns = append(columns, fmt.Sprint(gauge("memory_bytes")>>10), fmt.Sprint(gauge("memory_limit_bytes")>>10))
	return strings.Join(columns, ", ") + fmt.Sprintf(" | %.1f, %.1f", anonymousMB, baseMB)
}
