//go:build !faults

package main

import (
	"salttrack/internal/hotrestart"
	"salttrack/internal/loop"
)

// loopKernel returns the kernel of the event loop, which is that of the operating system.
func loopKernel(system loop.Kernel) (loop.Kernel, error) { return system, nil }

// recordFileSystem returns the file system for hot restart records, which is that of the operating system.
func recordFileSystem(system hotrestart.FileSystem) hotrestart.FileSystem { return system }
