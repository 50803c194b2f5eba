//go:build race

package main

// comparableMemory reports whether the memory of the process can be compared with the configured limit. The race detector multiplies it.
const comparableMemory = false
