package main

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Prefixes of the log messages about a reload.
const (
	reloadedMessage     = "configuration reloaded"
	reloadFailedMessage = "configuration reload failed"
)

// reloadTest is a program whose configuration is reloaded.
type reloadTest struct {
	*program
	first, second *environment // environment of the original configuration, and of changed ones
	path          string       // path of the configuration file
	original      []byte       // original configuration
	succeeded     int          // expected number of successful reloads
	failed        int          // expected number of failed reloads
}

// startReloadTest starts a program with the discovery service of the first environment.
// The program's variable BALANCER_DISCOVERY has the same address.
func startReloadTest(t *testing.T) *reloadTest {
	t.Helper()
	r := &reloadTest{first: newEnvironment(t, echo), second: newEnvironment(t, echo)}
	r.path = r.first.config(nil)
	var err error
	if r.original, err = os.ReadFile(r.path); err != nil {
		t.Fatal(err)
	}
	r.program = start(t, r.path, withVariable("BALANCER_DISCOVERY="+r.first.discovery.Addr().String()))
	return r
}

// changed returns the original configuration with the discovery service of the second environment and a further change.
func (r *reloadTest) changed(change func(config, settings map[string]any)) []byte {
	r.t.Helper()
	var config map[string]any
	if err := json.Unmarshal(r.original, &config); err != nil {
		r.t.Fatal(err)
	}
	config["discovery"] = r.second.discovery.Addr().String()
	change(config, settingsOf(config))
	text, _ := json.Marshal(config)
	return text
}

// withSecondDiscovery returns the original configuration with the discovery service of the second environment.
func (r *reloadTest) withSecondDiscovery() []byte { return r.changed(func(_, _ map[string]any) {}) }

// write overwrites the configuration file.
func (r *reloadTest) write(text []byte) {
	r.t.Helper()
	if err := os.WriteFile(r.path, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// expectReload reloads the configuration, and checks that the reload succeeds.
func (r *reloadTest) expectReload() {
	r.t.Helper()
	r.succeeded++
	r.reload()
}

// expectFailure reloads the configuration, checks that the reload fails, and returns the last line of the log.
func (r *reloadTest) expectFailure() string {
	r.t.Helper()
	r.failed++
	r.reload()
	log := r.log.String()
	return log[strings.LastIndex(log, "time="):]
}

// reload makes the program reload the configuration, and checks the numbers of successful and failed reloads in the log.
func (r *reloadTest) reload() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGHUP)
	count := func(message string) int { return strings.Count(r.log.String(), message) }
	r.waitFor("the reload", func() bool { return count(reloadFailedMessage)+count(reloadedMessage) == r.succeeded+r.failed })
	if n := count(reloadedMessage); n != r.succeeded {
		r.t.Errorf("%d reloads succeeded, want %d; log:\n%s", n, r.succeeded, r.log)
	}
}

// counter makes the program log its counters, and returns the value of the named counter.
func (r *reloadTest) counter(name string) int {
	r.t.Helper()
	lists := func() int { return len(counterList.FindAllString(r.log.String(), -1)) }
	before := lists()
	r.cmd.Process.Signal(syscall.SIGUSR1)
	r.waitFor("a log line with counters", func() bool { return lists() > before })
	return r.latestCounters()(name)
}

// finish checks the counters, and terminates the program. It sends SIGHUP directly after SIGTERM, which must not disturb the shutdown.
func (r *reloadTest) finish(addressChanges int) {
	r.t.Helper()
	if r.counter("watch_address_changes") != addressChanges || r.counter("config_reloads") != r.succeeded ||
		r.counter("config_reloads_failed") != r.failed || r.counter("invariant_violations") != 0 {
		r.t.Errorf("counters %v, want %d address changes, %d reloads, %d failed", r.counters(), addressChanges, r.succeeded, r.failed)
	}
	r.cmd.Process.Signal(syscall.SIGTERM)
	r.cmd.Process.Signal(syscall.SIGHUP)
	r.waitForExit()
}

// A reload of the unchanged configuration succeeds. A reload fails and changes nothing if the file is truncated at any byte or missing.
func TestReloadOfTruncatedConfiguration(t *testing.T) {
	r := startReloadTest(t)
	r.expectReload()
	complete := r.withSecondDiscovery()
	for n := range complete {
		r.write(complete[:n])
		r.expectFailure()
	}
	if err := os.Remove(r.path); err != nil {
		t.Fatal(err)
	}
	r.expectFailure()
	r.expectStatus("read", "after-failures", 200)
	if n := r.first.upstreams[0].requests.Load(); n != 1 {
		t.Errorf("%d requests at the first upstream, want 1", n)
	}
	r.finish(0)
}

// A reload fails and changes nothing if the configuration lacks a key that the running one has, or has an invalid value.
// The log names the key.
func TestReloadOfInvalidConfiguration(t *testing.T) {
	r := startReloadTest(t)
	for key, change := range map[string]func(config, settings map[string]any){
		"limits.max_attempts":   func(_, s map[string]any) { s["limits"].(map[string]any)["max_attempts"] = 0 },
		"limits.keepalive_ms":   func(_, s map[string]any) { delete(s["limits"].(map[string]any), "keepalive_ms") },
		"classes.0.deadline_ms": func(_, s map[string]any) { classOf(s, 0)["deadline_ms"] = -1 },
		"classes.1.worth":       func(_, s map[string]any) { delete(classOf(s, 1), "worth") },
		"classes.0.worth":       func(_, s map[string]any) { classOf(s, 0)["worth"] = "12" },
		"discovery":             func(c, _ map[string]any) { delete(c, "discovery") },
		"known":                 func(c, _ map[string]any) { delete(c, "known") },
	} {
		r.write(r.changed(change))
		if line := r.expectFailure(); !strings.Contains(line, key) {
			t.Errorf("the log does not name the key %s: %s", key, line)
		}
	}
	r.expectStatus("read", "before-reload", 200)
	if n := r.first.upstreams[0].requests.Load(); n != 1 {
		t.Errorf("%d requests at the first upstream, want 1", n)
	}
	r.write(r.withSecondDiscovery())
	r.expectReload()
	r.finish(1)
}

// A reload changes the address of discovery to the one in the file, although the variable BALANCER_DISCOVERY has the earlier address.
func TestReloadChangesDiscovery(t *testing.T) {
	r := startReloadTest(t)
	r.expectStatus("read", "before", 200)
	updates := r.counter("endpoint_updates")
	r.write(r.withSecondDiscovery())
	r.expectReload()
	r.expectReload()
	r.waitFor("the endpoint list from the new address", func() bool { return r.counter("endpoint_updates") == updates+1 })
	r.first.discovery.Close()
	r.expectStatus("read", "after", 200)
	if before, after := r.first.upstreams[0].requests.Load(), r.second.upstreams[0].requests.Load(); before != 1 || after != 1 {
		t.Errorf("%d requests before the reload and %d after it, want 1 and 1", before, after)
	}
	r.finish(1)
}

// A reload adds, keeps and removes classes. At each reload the log names the changed values that take effect only after a restart.
func TestReloadChangesClasses(t *testing.T) {
	r := startReloadTest(t)
	r.write(r.withSecondDiscovery())
	r.expectReload()
	r.write(r.changed(func(_, s map[string]any) {
		added := map[string]any{"name": "added", "on_time_ms": 2000, "deadline_ms": 5000, "worth": 2, "idempotency": "retryable"}
		s["replicas_of_me"] = 2
		s["classes"] = []any{added, classOf(s, 0)}
	}))
	r.expectReload()
	for class, want := range map[string]int{"added": 200, "read": 200, "pay": 400} {
		r.expectStatus(class, "new-"+class, want)
	}
	r.write(r.changed(func(_, s map[string]any) { s["me"] = 1 }))
	r.expectReload()
	r.expectReload()
	if log := r.log.String(); strings.Count(log, "needs_restart=") != 2 || !strings.Contains(log, "needs_restart=settings.me") {
		t.Errorf("the log does not name settings.me alone as a change that needs a restart:\n%s", log)
	}
	r.finish(1)
}

// If opening the configuration file blocks a reload, the balancer serves requests and handles other signals without delay.
func TestReloadBlocks(t *testing.T) {
	e := newEnvironment(t, echo)
	path := e.config(nil)
	p := start(t, path)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	p.requestCounters()
	p.expectServesAndTerminates("last")
}
