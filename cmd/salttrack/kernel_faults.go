//go:build faults

package main

import (
	"os"

	"salttrack/internal/hotrestart"
	"salttrack/internal/loop"
	"salttrack/internal/simulation/faultinject"
)

// faultsVariable is the environment variable with the path of a file of faults to inject.
// It has an effect only in a program that is built with the tag faults.
const faultsVariable = "SALTTRACK_FAULTS"

// loopKernel returns the kernel of the event loop. It is that of the operating system, with injected faults if there is a faults file.
func loopKernel(system loop.Kernel) (loop.Kernel, error) {
	path := os.Getenv(faultsVariable)
	if path == "" {
		return system, nil
	}
	return faultinject.Load(path, system)
}

// recordFileSystem returns the file system for hot restart records.
// It has injected faults if there is a faults file with rules for files.
// It ignores an error of reading the faults file, since loopKernel reports that.
func recordFileSystem(system hotrestart.FileSystem) hotrestart.FileSystem {
	rules, err := faultinject.LoadFileRules(os.Getenv(faultsVariable))
	if err != nil || len(rules) == 0 {
		return system
	}
	return faultinject.NewFiles(system, rules)
}
