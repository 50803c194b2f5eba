package main

import (
	"strings"
	"testing"
)

const addressInUse = "address already in use"

// launchWithAddressInUse launches a program with an address that is in use, and waits until the program logs the error.
// The key of the address in the configuration is "listen" or "admin". The returned function free closes the socket that uses the address.
func launchWithAddressInUse(t *testing.T, e *environment, key string) (p *program, address string, free func()) {
	t.Helper()
	inUse := listen(t)
	t.Cleanup(func() { inUse.Close() })
	address = inUse.Addr().String()
	p = launch(t, e.config(func(config map[string]any) { config[key] = address }))
	p.waitFor("the logged error", func() bool { return strings.Contains(p.log.String(), addressInUse) })
	return p, address, func() { inUse.Close() }
}

// If an address is in use at the start, for example by the previous process, the balancer retries and logs the error only once.
func TestAddressInUse(t *testing.T) {
	e := newEnvironment(t, echo)
	for _, key := range []string{"listen", "admin"} {
		p, address, free := launchWithAddressInUse(t, e, key)
		free()
		p.waitUntilReady()
		if key == "admin" {
			p.waitFor("the admin server", func() bool { return adminCall(address, "ready") == 200 })
		}
		p.expectServesAndTerminates("served-" + key)
		if n := strings.Count(p.log.String(), addressInUse); n != 1 {
			t.Errorf("%s: the error was logged %d times, want once; log:\n%s", key, n, p.log)
		}
	}
}

// SIGTERM shuts down a balancer that can't listen yet since its address is in use.
func TestTerminatesWhileAddressInUse(t *testing.T) {
	p, _, _ := launchWithAddressInUse(t, newEnvironment(t, echo), "listen")
	p.terminate()
}
