package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is the balancer program, running as a child process of the test.
type program struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string        // address for clients
	log     *lockedBuffer // output of the program on standard error
	exited  chan error    // receives the result of the process when it exits
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startOption changes the command of a program before the program is started.
type startOption func(*exec.Cmd)

// withVariable adds a variable, as NAME=VALUE, to the environment of a program.
func withVariable(variable string) startOption {
	return func(c *exec.Cmd) { c.Env = append(c.Env, variable) }
}

// start starts the program with the configuration file at a path, and waits until it is ready.
func start(t *testing.T, path string, options ...startOption) *program {
	t.Helper()
	p := launch(t, path, options...)
	p.waitUntilReady()
	return p
}

// launch starts the program with the configuration file at a path. The program is killed at the end of the test.
func launch(t *testing.T, path string, options ...startOption) *program {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var config struct{ Listen string }
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	p := &program{t: t, cmd: exec.Command(os.Args[0]), address: config.Listen, log: &lockedBuffer{}, exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), programVariable+"=1", "BALANCER_CONFIG="+path, fastRaceExit)
	p.cmd.Stderr = p.log
	for _, option := range options {
		option(p.cmd)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// readyStatus returns the status of the response to GET /-/ready, or 0 if there is no response.
func (p *program) readyStatus() int {
	response, err := http.Get("http://" + p.address + "/-/ready")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// waitUntilReady waits until GET /-/ready gets the status 200.
func (p *program) waitUntilReady() {
	p.t.Helper()
	p.waitFor("status 200 of GET /-/ready", func() bool { return p.readyStatus() == 200 })
}

// waitFor waits until a condition is true. The event describes the condition in the error of a timeout.
func (p *program) waitFor(event string, isTrue func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); !isTrue(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out after %v waiting for %s; log:\n%s", waitTimeout, event, p.log)
		}
	}
}

// boundedClient is an HTTP client with a timeout, for programs that do not respond.
var boundedClient = &http.Client{Timeout: waitTimeout}

// request is a request of a client.
type request struct {
	class, path, id string
	remaining       string    // time that the client waits for the response, in seconds
	body            io.Reader // body of a POST; the method is GET if it is nil
}

// send sends a request and returns the response.
func (p *program) send(r request) (*http.Response, error) {
	method := "GET"
	if r.body != nil {
		method = "POST"
	}
	q, err := http.NewRequest(method, "http://"+p.address+"/"+r.class+"/"+r.path, r.body)
	if err != nil {
		return nil, err
	}
	q.Header = http.Header{"X-Txn": {r.id}, "X-Lane": {r.class}, "X-Remaining": {r.remaining}}
	return boundedClient.Do(q)
}

// do sends a request of a class, and returns the status and the body of the response.
// If there is no response, the test fails and the status is 0.
func (p *program) do(class, id string) (int, string) {
	p.t.Helper()
	r := request{class: class, path: "x", id: id, remaining: "4.0"}
	if class == "pay" {
		r.body = strings.NewReader("payload")
	}
	response, err := p.send(r)
	if err != nil {
		p.t.Errorf("%s: %v", id, err)
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// expectStatus sends a request of a class and checks the status of the response.
func (p *program) expectStatus(class, id string, want int) {
	p.t.Helper()
	if status, _ := p.do(class, id); status != want {
		p.t.Errorf("%s: status %d, want %d", id, status, want)
	}
}

// requestsToFirst sends 20 requests, which have to be served, and returns how many of them the first upstream received.
func (p *program) requestsToFirst(e *environment, id string) int64 {
	p.t.Helper()
	before := e.upstreams[0].requests.Load()
	for n := range 20 {
		p.expectStatus("read", fmt.Sprint(id, n), 200)
	}
	return e.upstreams[0].requests.Load() - before
}

var counterList = regexp.MustCompile(`counters="([^"]*)"`)

// counters returns the counters of the last log line that has them, or nil if there is none.
func (p *program) counters() map[string]int {
	p.t.Helper()
	lists := counterList.FindAllStringSubmatch(p.log.String(), -1)
	if len(lists) == 0 {
		return nil
	}
	counters := map[string]int{}
	for _, field := range strings.Fields(lists[len(lists)-1][1]) {
		name, value, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			p.t.Errorf("counter %s: %v", field, err)
		}
		counters[name] = n
	}
	return counters
}

// latestCounters returns a function that looks up a counter in the last log line with counters. An unknown name fails the test.
func (p *program) latestCounters() func(name string) int {
	p.t.Helper()
	counters := p.counters()
	return func(name string) int {
		p.t.Helper()
		value, found := counters[name]
		if !found {
			p.t.Errorf("no counter %s", name)
		}
		return value
	}
}

// requestCounters makes the program log its counters, and waits until the log has a line with counters.
func (p *program) requestCounters() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGUSR1)
	p.waitFor("a log line with counters", func() bool { return p.counters() != nil })
}

// waitForExit waits until the program has exited, and checks that its exit status is 0.
func (p *program) waitForExit() {
	p.t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("the program exited with %v; log:\n%s", err, p.log)
		}
	case <-time.After(waitTimeout):
		p.t.Fatalf("the program did not exit within %v; log:\n%s", waitTimeout, p.log)
	}
}

// terminate sends SIGTERM to the program, and waits until it has exited with status 0.
func (p *program) terminate() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForExit()
}

// expectServesAndTerminates checks that the program serves a request and shuts down gracefully.
func (p *program) expectServesAndTerminates(id string) {
	p.t.Helper()
	p.expectStatus("read", id, 200)
	p.terminate()
}

// dial connects to the program as a client. The connection is closed at the end of the test.
func (p *program) dial() net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	return conn
}

// adminClient is an HTTP client with a timeout, for admin servers that do not respond.
var adminClient = http.Client{Timeout: 3 * time.Second}

// withAdmin returns a function that adds an admin server to a configuration, and the address of that server.
func withAdmin(t *testing.T) (change func(config map[string]any), address string) {
	t.Helper()
	l := listen(t)
	l.Close()
	address = l.Addr().String()
	return func(config map[string]any) { config["admin"] = address }, address
}

// adminCall sends a request to an admin server, and returns the status of the response, or 0 if there is no response.
// The method is GET for the path "ready" and POST for any other.
func adminCall(address, path string) int {
	method := "POST"
	if path == "ready" {
		method = "GET"
	}
	request, _ := http.NewRequest(method, "http://"+address+"/control/"+path, nil)
	response, err := adminClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// listenerFile returns a listening socket that programs can inherit, and its address.
func listenerFile(t *testing.T) (*os.File, string) {
	t.Helper()
	l := listen(t).(*net.TCPListener)
	t.Cleanup(func() { l.Close() })
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f, l.Addr().String()
}

// withInheritedListener makes a program inherit a listening socket, and use a directory for its hot restart records.
func withInheritedListener(listener *os.File, directory string) startOption {
	return func(c *exec.Cmd) {
		c.ExtraFiles = []*os.File{listener}
		c.Env = append(c.Env, "BALANCER_LISTEN_FD=3", "TMPDIR="+directory)
	}
}
