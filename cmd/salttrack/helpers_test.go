package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// waitTimeout is the timeout of each wait in a test.
const waitTimeout = 20 * time.Second

// programVariable is the environment variable that makes the test binary run the program instead of the tests.
const programVariable = "SALTTRACK_TEST_AS_PROGRAM"

// fastRaceExit makes a program with the race detector exit without the default delay of 1 s.
const fastRaceExit = "GORACE=atexit_sleep_ms=0"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// environment has the servers that a balancer needs: the discovery service and upstreams.
type environment struct {
	t           *testing.T
	discovery   net.Listener
	upstreams   []*fakeUpstream
	mu          sync.Mutex
	updates     []string // updates of the endpoint list, one JSON line each, which are sent on every watch
	generations int      // number of calls of breakWatches; a watch is broken when the number changes
}

// fakeUpstream is an HTTP server that counts its requests.
type fakeUpstream struct {
	id       string
	listener net.Listener
	server   *http.Server
	requests atomic.Int64
}

// newEnvironment starts the discovery service and one upstream for each handler.
// The upstreams are named s-0, s-1 and so on, and are in service on the endpoint list.
func newEnvironment(t *testing.T, handlers ...http.HandlerFunc) *environment {
	t.Helper()
	e := &environment{t: t, discovery: listen(t)}
	var endpoints []string
	for i, handler := range handlers {
		e.startUpstream(handler)
		endpoints = append(endpoints, e.endpoint(i, "in_service"))
	}
	e.sendUpdate(`{"revision":1,"complete":true,"members":[` + strings.Join(endpoints, ",") + `]}`)
	server := &http.Server{Handler: http.HandlerFunc(e.serveWatch)}
	go server.Serve(e.discovery)
	t.Cleanup(func() { server.Close() })
	return e
}

// startUpstream starts another upstream, which has the next number in its name.
func (e *environment) startUpstream(handler http.HandlerFunc) {
	u := &fakeUpstream{id: fmt.Sprintf("s-%d", len(e.upstreams)), listener: listen(e.t)}
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.requests.Add(1)
		handler(w, r)
	})}
	go u.server.Serve(u.listener)
	e.t.Cleanup(func() { u.server.Close() })
	e.upstreams = append(e.upstreams, u)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// addressesUsed counts the loopback addresses that were given to programs.
var addressesUsed atomic.Int32

// freeAddress returns an address for a program to listen on. Each call uses another loopback IP address.
// With a shared IP address, another test could take the free port before the program listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addressesUsed.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+os.Getpid()%200, n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// endpoint returns the JSON object of an upstream in the endpoint list.
func (e *environment) endpoint(i int, phase string) string {
	u := e.upstreams[i]
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","cell":0,"phase":%q,"up_since_ms":0}`, u.id, u.listener.Addr(), phase)
}

// sendUpdate sends a line with an endpoint update on every watch.
func (e *environment) sendUpdate(line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updates = append(e.updates, line)
}

// breakWatches aborts the connections of all watches.
func (e *environment) breakWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generations++
}

// updatesFrom returns the updates without the first n, and the current generation of watches.
func (e *environment) updatesFrom(n int) ([]string, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.updates[n:], e.generations
}

// serveWatch is the handler of the discovery service for a watch.
// It sends all updates, and as a keepalive an empty line about every second. The protocol requires a keepalive every 2 s.
// The balancer opens a new watch if it receives neither an update nor a keepalive for 3 s.
func (e *environment) serveWatch(w http.ResponseWriter, r *http.Request) {
	_, generation := e.updatesFrom(0)
	lastEmptyLine := time.Now()
	for sent := 0; r.Context().Err() == nil; time.Sleep(time.Millisecond) {
		if time.Since(lastEmptyLine) > time.Second {
			lastEmptyLine = time.Now()
			io.WriteString(w, "\n")
		}
		updates, current := e.updatesFrom(sent)
		if current != generation {
			panic(http.ErrAbortHandler)
		}
		sent += len(updates)
		for _, line := range updates {
			io.WriteString(w, line+"\n")
		}
		w.(http.Flusher).Flush()
	}
}

const settingsJSON = `{"me":0,"replicas_of_me":1,"zone":0,"stage":0,"discovery":"push","granularity_ms":5.0,"dcs":["here","there"],
 "tiers":["one"],"tenants":[],"invariants":{"start_capacity":0.3,"cold_ms":9000,"fall_multiple":3,"fall_ms":1500},
 "limits":{"max_attempts":6,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_ms":2000,
 "connect_timeout_ms":250,"keepalive_ms":15000},"report":{"how":"answers","columns":["util","latency_ms"]},"unknown":{"a":[1,2]},
 "classes":[{"name":"read","on_time_ms":2000,"deadline_ms":5000,"worth":12,"idempotency":"retryable"},
 {"name":"pay","on_time_ms":2000,"deadline_ms":5000,"worth":1,"idempotency":"fragile"}]}`

// config writes a configuration file and returns its path. The function change modifies the configuration; nil changes nothing.
func (e *environment) config(change func(config map[string]any)) string {
	e.t.Helper()
	config := map[string]any{}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"revision":0,"complete":true,"members":[]},"extra":1,"settings":%s}`, freeAddress(e.t), e.discovery.Addr(), settingsJSON)
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		e.t.Fatal(err)
	}
	if change != nil {
		change(config)
	}
	changed, err := json.Marshal(config)
	if err != nil {
		e.t.Fatal(err)
	}
	path := filepath.Join(e.t.TempDir(), "config.json")
	if err := os.WriteFile(path, changed, 0o600); err != nil {
		e.t.Fatal(err)
	}
	return path
}

// settingsOf returns the settings of a configuration.
func settingsOf(config map[string]any) map[string]any { return config["settings"].(map[string]any) }

// classOf returns class number i of the settings.
func classOf(settings map[string]any, i int) map[string]any {
	return settings["classes"].([]any)[i].(map[string]any)
}

// echo is an upstream's handler that responds with the method, the id and the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.Header.Get("X-Txn"), body)
}
