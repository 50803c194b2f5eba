package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// replaceableProgram is a program with hot restart enabled.
type replaceableProgram struct {
	*program
	admin     string // address of the admin server
	directory string // directory of the hot restart records
	files     string // path of the program's own files in the directory, without suffix
}

// startReplaceable starts a program with hot restart enabled.
func startReplaceable(t *testing.T, e *environment, options ...startOption) *replaceableProgram {
	t.Helper()
	listener, address := listenerFile(t)
	parent := t.TempDir()
	addAdmin, admin := withAdmin(t)
	path := e.config(func(config map[string]any) {
		addAdmin(config)
		config["listen"] = address
		settingsOf(config)["invariants"].(map[string]any)["cold_ms"] = 1 // short slow start, so that an enabled upstream gets requests at once
	})
	p := start(t, path, append(options, withInheritedListener(listener, parent))...)
	locks, err := filepath.Glob(filepath.Join(parent, "*", "*.lock"))
	if err != nil || len(locks) != 1 {
		t.Fatalf("locks %v, %v", locks, err)
	}
	return &replaceableProgram{program: p, admin: admin, directory: filepath.Dir(locks[0]), files: strings.TrimSuffix(locks[0], ".lock")}
}

// The admin server reports success of an override only after the override is stored.
// If storing fails, the status is 503 and the override is not in force.
func TestOverrideThatCannotBeStored(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := startReplaceable(t, e)
	renamed := p.directory + ".renamed"
	if err := os.Rename(p.directory, renamed); err != nil {
		t.Fatal(err)
	}
	if status := adminCall(p.admin, "upstreams/s-0/offline"); status != 503 {
		t.Errorf("status %d, want 503", status)
	}
	if p.requestsToFirst(e, "not-in-force") == 0 {
		t.Error("the override is in force though it was rejected")
	}
	if err := os.Rename(renamed, p.directory); err != nil {
		t.Fatal(err)
	}
	if status := adminCall(p.admin, "upstreams/s-0/offline"); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	if n := p.requestsToFirst(e, "in-force"); n != 0 {
		t.Errorf("a disabled upstream got %d requests", n)
	}
	p.terminate()
}

// If writing to the directory of the hot restart records blocks, neither requests nor the shutdown are delayed.
func TestDirectoryBlocks(t *testing.T) {
	e := newEnvironment(t, echo, echo)
	p := startReplaceable(t, e)
	// Waits until no record is being written.
	// Otherwise the program could rename a FIFO, which replaces its temporary file below, to the name of the record.
	p.waitFor("the record of the ready process", func() bool {
		text, _ := os.ReadFile(p.files + ".record")
		return strings.Contains(string(text), `"ready":true`)
	})
	for _, suffix := range []string{".new", ".record.new"} { // suffixes of temporary files in older versions and in this one
		os.Remove(p.files + suffix)
		if err := unix.Mkfifo(p.files+suffix, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	go adminCall(p.admin, "upstreams/s-0/offline")
	for n := range 20 {
		if status, _ := p.do("read", fmt.Sprint("meanwhile-", n)); status != 200 {
			t.Fatalf("status %d", status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if p.requestsToFirst(e, "blocked") == 0 {
		t.Errorf("the override is in force before it is stored; log:\n%s", p.log)
	}
	p.terminate()
}
