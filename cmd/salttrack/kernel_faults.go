//go:build faults

package main

import (
	"os"

	"salttrack/internal/hotrestart"
	"salttrack/internal/loop"
	"salttrack/internal/simulation/faultinject"
)

// faultsVariable names a file of faults to inject, in a program built with the tag faults.
const faultsVariable = "SALTTRACK_FAULTS"

// loopKernel returns the kernel that the loop runs on: the machine's, with faults injected into it if there is a file of them.
func loopKernel(machine loop.Kernel) (loop.Kernel, error) {
	path := os.Getenv(faultsVariable)
	if path == "" {
		return machine, nil
	}
	return faultinject.Load(path, machine)
}

// recordFiles returns the calls by which hot restart records are written, with faults injected into them if there is a file of them.
// loopKernel has returned the error of one that can't be read.
func recordFiles(system hotrestart.FileSystem) hotrestart.FileSystem {
	rules, err := faultinject.LoadFileRules(os.Getenv(faultsVariable))
	if err != nil || len(rules) == 0 {
		return system
	}
	return faultinject.NewFiles(system, rules)
}
