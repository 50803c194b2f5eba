//go:build faults

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// withFaults makes a program inject faults. The parameter is the JSON text of a faults file.
func withFaults(t *testing.T, faults string) startOption {
	t.Helper()
	path := filepath.Join(t.TempDir(), "faults.json")
	if err := os.WriteFile(path, []byte(faults), 0o600); err != nil {
		t.Fatal(err)
	}
	return withVariable(faultsVariable + "=" + path)
}

// systemFaults are faults of system calls, and steps of the system clock.
var systemFaults = map[string]string{
	"short":        `{"seed":1,"rules":[{"call":"read","errno":"short","share":0.7},{"call":"write","errno":"short","share":0.7}]}`,
	"interrupted":  `{"seed":2,"rules":[{"call":"wait","errno":"EINTR","share":0.5},{"call":"read","errno":"EINTR","share":0.3},{"call":"write","errno":"EINTR","share":0.3}]}`,
	"accept":       `{"seed":3,"rules":[{"call":"accept","errno":"ENFILE","share":0.3},{"call":"accept","errno":"ECONNABORTED","share":0.5}]}`,
	"connect":      `{"seed":4,"rules":[{"call":"connect","errno":"EADDRNOTAVAIL","share":0.4},{"call":"connect","errno":"ENFILE","share":0.3},{"call":"connect","errno":"ENETUNREACH","share":0.2}]}`,
	"memory":       `{"seed":5,"rules":[{"call":"epoll_add","errno":"ENOMEM","share":0.3},{"call":"epoll_mod","errno":"ENOMEM","share":0.3},{"call":"read","errno":"ENOBUFS","share":0.2},{"call":"write","errno":"ENOBUFS","share":0.2}]}`,
	"listen":       `{"seed":6,"rules":[{"call":"listen","errno":"EADDRINUSE","times":5}]}`,
	"hour forward": `{"seed":7,"steps":[{"at_ms":100,"by_ms":3600000}]}`,
	"hour back":    `{"seed":8,"steps":[{"at_ms":100,"by_ms":-3600000}]}`,
}

// requestCounts counts the served and rejected requests of a test.
type requestCounts struct{ served, rejected atomic.Int64 }

// sendRequests sends requests of both classes, and reports an error if one is neither served nor rejected.
func (c *requestCounts) sendRequests(p *program, client int) {
	for n := range 50 {
		class := [...]string{"read", "pay"}[n%2]
		switch status, _ := p.do(class, fmt.Sprintf("%d-%d", client, n)); status {
		case 200:
			c.served.Add(1)
		case 503:
			c.rejected.Add(1)
		default:
			p.t.Errorf("status %d, want 200 or 503", status)
		}
		time.Sleep(time.Millisecond)
	}
}

// System calls fail or transfer fewer bytes than requested, or the system clock is stepped.
// Every request is still served or rejected, no failure is attributed to an upstream, and the shutdown is graceful.
func TestFaultLayer(t *testing.T) {
	for name, faults := range systemFaults {
		t.Run(name, func(t *testing.T) {
			e := newEnvironment(t, echo, echo, echo)
			p := start(t, e.config(nil), withFaults(t, faults))
			var clients sync.WaitGroup
			var counts requestCounts
			for client := range 8 {
				clients.Go(func() { counts.sendRequests(p, client) })
			}
			clients.Wait()
			if counts.served.Load() < 350 {
				t.Errorf("%d of 400 requests served and %d rejected, want at least 350 served", counts.served.Load(), counts.rejected.Load())
			}
			p.terminate()
			if c := p.latestCounters(); c("invariant_violations") != 0 || c("requests_in_progress") != 0 || c("attempts_ended_connect_failed") != 0 {
				t.Errorf("counters %v", p.counters())
			}
		})
	}
}

// The program exits at its start if the faults file is invalid.
func TestFaultLayerInvalidFile(t *testing.T) {
	e := newEnvironment(t, echo)
	for _, faults := range []string{`{"rules":[{"call":"sleep","errno":"EIO"}]}`, `{"files":[{"call":"file_write","errno":"E"}]}`, `{"rule":[]}`, `{`} {
		p := launch(t, e.config(nil), withFaults(t, faults))
		if err := <-p.exited; err == nil || !strings.Contains(p.log.String(), "faults") {
			t.Errorf("%s: the program exited with %v; log:\n%s", faults, err, p.log)
		}
	}
}

// storageFaults are temporary faults of the directory that holds the hot restart records.
var storageFaults = map[string]string{
	"full":            `{"files":[{"call":"file_write","errno":"ENOSPC","from_ms":500,"for_ms":1500}]}`,
	"rename fails":    `{"files":[{"call":"file_rename","errno":"EIO","from_ms":500,"for_ms":1500}]}`,
	"sync fails":      `{"files":[{"call":"file_sync","errno":"EIO","from_ms":500,"for_ms":1500}]}`,
	"slow":            `{"files":[{"call":"file_write","delay_ms":200,"from_ms":500,"for_ms":1500}]}`,
	"slow, then full": `{"files":[{"call":"file_write","errno":"ENOSPC","delay_ms":100,"from_ms":500,"for_ms":1500}]}`,
}

// The directory of the hot restart records is temporarily full, failing or slow.
// An override is either stored and in force, or rejected with status 503 and not in force.
// Requests are served meanwhile, and later overrides are stored again.
func TestFaultLayerFiles(t *testing.T) {
	for name, faults := range storageFaults {
		t.Run(name, func(t *testing.T) {
			e := newEnvironment(t, echo, echo)
			p := startReplaceable(t, e, withFaults(t, faults))
			fails := name != "slow"
			disabled, rejected := false, 0
			for n := 0; n < 200 && (rejected == 0 || !disabled); n++ { // until an override was rejected and a later one was stored
				switch status := adminCall(p.admin, "upstreams/s-0/"+map[bool]string{false: "offline", true: "online"}[disabled]); status {
				case 200:
					disabled = !disabled
				case 503:
					rejected++
				default:
					t.Fatalf("status %d, want 200 or 503", status)
				}
				if got := p.requestsToFirst(e, fmt.Sprintf("override-%d-", n)); disabled == (got != 0) {
					t.Fatalf("disabled is %v, but %d of 20 requests go to the upstream", disabled, got)
				}
				if !fails && n > 40 {
					break
				}
			}
			if rejected == 0 && fails {
				t.Error("no override was rejected because of the fault")
			}
			p.terminate()
		})
	}
}

// Guards against a process that ends by itself when the kernel has neither memory nor descriptors beside a crowd.
func TestFaultLayerBesideCrowd(t *testing.T) {
	const faults = `{"seed":9,"rules":[{"call":"epoll_add","errno":"ENOMEM","share":0.2},{"call":"epoll_mod","errno":"ENOMEM","share":0.2},
		{"call":"read","errno":"ENOBUFS","share":0.1},{"call":"write","errno":"ENOMEM","share":0.1},
		{"call":"accept","errno":"EMFILE","share":0.2},{"call":"connect","errno":"ENFILE","share":0.2}]}`
	e := newEnvironment(t, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho, serveLongOrEcho)
	p := start(t, e.config(func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 1024}
	}), withFaults(t, faults))
	p.playClients(memoryClients, memoryBehaviours()["mixture"])
	p.expectServedAgain()
	p.terminate()
	p.expectNothingInFlight()
}
