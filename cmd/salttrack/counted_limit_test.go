package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// memoryRecovery is the longest time after a crowd in which requests may still be rejected.
const memoryRecovery = time.Second

// countedCase is a memory limit, and clients that make the kernel or the process hold much.
type countedCase struct {
	limitMB     int
	descriptors int
	clients     int
	behaviours  []string
}

// reportedBehaviours are the clients of the operators' reports.
var reportedBehaviours = []string{"body sent slowly", "half of a body", "head of many fields", "long response read slowly"}

// Guards against a kill for memory that the kernel holds for the sockets of the process, which a control group counts.
func TestKernelBuffersAreWithinMemoryLimit(t *testing.T) {
	binary := buildDeployed(t)
	for _, c := range []countedCase{
		{limitMB: 32, descriptors: 1024, clients: 900, behaviours: reportedBehaviours},
		{limitMB: 16, descriptors: 512, clients: 480, behaviours: reportedBehaviours},
		{limitMB: 8, descriptors: 1024, clients: 900, behaviours: reportedBehaviours},
		{limitMB: 32, descriptors: 1024, clients: 900, behaviours: []string{"long response read slowly"}},
		{limitMB: 16, descriptors: 1024, clients: 900, behaviours: []string{"many requests at once"}},
	} {
		t.Run(fmt.Sprint(c.limitMB, " MB, ", c.descriptors, " descriptors, ", c.behaviours), func(t *testing.T) {
			c.play(t, binary)
		})
	}
}

// play plays the clients beside usual ones, and checks the largest sum that a platform may count.
func (c countedCase) play(t *testing.T, binary string, options ...startOption) {
	e := newEnvironment(t, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho)
	options = append(options, func(command *exec.Cmd) { command.Path = binary })
	p := start(t, e.config(func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": c.limitMB, "sockets": c.descriptors}
	}), options...)
	time.Sleep(memorySettle)
	counted := watchCounted(t, "", p.cmd.Process.Pid)
	usual := p.startUsual()
	all := memoryBehaviours()
	p.playClients(c.clients, func(conn net.Conn, n int) { all[c.behaviours[n%len(c.behaviours)]](conn, n) })
	report := usual.finish()
	peak := counted.stop()
	t.Logf("peak %s; %s", peak, report)
	if peak.total() > float64(c.limitMB) {
		t.Errorf("peak %s, the limit is %d MB", peak, c.limitMB)
	}
	p.expectServedAgain()
	p.terminate()
}

// expectServedAgain checks that a request is served within memoryRecovery after a crowd.
func (p *program) expectServedAgain() {
	p.t.Helper()
	status := 0
	for end := time.Now().Add(memoryRecovery); status != 200 && time.Now().Before(end); time.Sleep(memorySettle / 10) {
		status, _ = p.do("read", fmt.Sprint("afterwards-", time.Now().UnixNano()))
	}
	if status != 200 {
		p.t.Errorf("status %d after the crowd, want 200 within %v", status, memoryRecovery)
	}
}

// buildLibrary builds the library of testdata/growing_library.c and returns its path.
func buildLibrary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "growing.so")
	if output, err := exec.Command("cc", "-shared", "-fPIC", "-o", path, "testdata/growing_library.c").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return path
}

// withGrowingLibrary loads a library that takes memory while a crowd plays, a tenth of a megabyte at a time.
func withGrowingLibrary(library string, megabytes int) startOption {
	const partBytes = 100 << 10
	return func(c *exec.Cmd) {
		c.Env = append(c.Env, "LD_PRELOAD="+library, "LIBRARY_DELAY_MS=1000", fmt.Sprint("LIBRARY_PARTS=", megabytes<<20/partBytes),
			fmt.Sprint("LIBRARY_PART_BYTES=", partBytes), "LIBRARY_PAUSE_MS=10")
	}
}

// Guards against a kill for memory that a loaded library takes while the process runs, which no account counts.
func TestLibraryMemoryIsWithinMemoryLimit(t *testing.T) {
	c := countedCase{limitMB: 32, descriptors: 1024, clients: 900, behaviours: []string{"mixture"}}
	c.play(t, buildDeployed(t), withGrowingLibrary(buildLibrary(t), 16))
}

// The same, with so little memory that the library takes more than half of the room.
func TestLibraryMemoryIsWithinHalfMemoryLimit(t *testing.T) {
	c := countedCase{limitMB: 16, descriptors: 1024, clients: 900, behaviours: []string{"mixture"}}
	c.play(t, buildDeployed(t), withGrowingLibrary(buildLibrary(t), 6))
}

// Guards against huge pages for the heap and the stacks that the Go runtime sets up before the program can refuse them.
func TestHugePagesAreRefusedBeforeTheRuntimeStarts(t *testing.T) {
	binary, library := buildDeployed(t), buildLibrary(t)
	report := filepath.Join(t.TempDir(), "huge_pages")
	p := start(t, newEnvironment(t, echo).config(nil), withVariable("LD_PRELOAD="+library), withVariable("LIBRARY_THP_REPORT="+report),
		func(c *exec.Cmd) { c.Path = binary })
	if text, err := os.ReadFile(report); err != nil || string(text) != "refused" {
		t.Errorf("huge pages when the first thread started: %q, %v, want refused", text, err)
	}
	p.terminate()
}
