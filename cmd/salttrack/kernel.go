//go:build !faults

package main

import (
	"salttrack/internal/hotrestart"
	"salttrack/internal/loop"
)

// loopKernel returns the kernel that the loop runs on: the machine's.
func loopKernel(machine loop.Kernel) (loop.Kernel, error) { return machine, nil }

// recordFiles returns the calls by which hot restart records are written: the system's.
func recordFiles(system hotrestart.FileSystem) hotrestart.FileSystem { return system }
