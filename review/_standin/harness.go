package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// site is one run: the balancer, its upstreams and discovery, and the record of what happened.
type site struct {
	start     float64 // Unix time in ms
	directory string
	processes []*exec.Cmd // in the order of their start
	upstreams []*exec.Cmd
	members   []member
	discovery *discovery
	listen    string
	balancer  *exec.Cmd

	mu     sync.Mutex
	events []upstreamEvent
	lines  []string
}

func newSite() *site {
	directory, err := os.MkdirTemp("", "salttrack-review-")
	check(err)
	s := &site{start: nowMS(), directory: directory}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			s.abort("ended by a signal")
		case <-time.After(timeLimit):
			s.abort("not done after %v", timeLimit)
		}
	}()
	return s
}

// timeLimit is the longest time of a run.
const timeLimit = 115 * time.Second

// note adds a line to the record. The line gets the time since the start of the run.
func (s *site) note(format string, args ...any) { s.noteAt(nowMS(), format, args...) }

func (s *site) noteAt(at float64, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%9.1f ms  %s", at-s.start, fmt.Sprintf(format, args...)))
}

// startUpstream starts an upstream process and waits until it listens.
func (s *site) startUpstream(name, zone string, cell int, work ...string) *exec.Cmd {
	address := freeAddress()
	cmd := exec.Command(os.Args[0], append([]string{"upstream", address, name}, work...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	check(err)
	check(cmd.Start())
	s.processes = append(s.processes, cmd)
	s.upstreams = append(s.upstreams, cmd)
	reader := bufio.NewReader(out)
	if _, err := reader.ReadString('\n'); err != nil {
		s.abort("upstream %s did not start: %v", name, err)
	}
	go func() {
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			var e upstreamEvent
			if json.Unmarshal(line, &e) == nil {
				s.mu.Lock()
				s.events = append(s.events, e)
				s.mu.Unlock()
			}
		}
	}()
	s.members = append(s.members, member{ID: name, HostPort: address, Locality: zone, Flavor: "m2", Cell: cell,
		Phase: "in_service", Size: 1})
	return cmd
}

// startBalancer starts discovery, then the balancer with the command of the deploy file, which is in $RUN,
// and waits until the balancer is ready.
func (s *site) startBalancer(memoryMB, sockets int, settings map[string]any) {
	list := update{Revision: 41, Complete: true, Members: s.members}
	s.discovery = startDiscovery(list)
	s.listen = freeAddress()
	config := map[string]any{
		"name": "n1", "listen": s.listen, "discovery": s.discovery.address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    list,
		"settings": settings,
	}
	text, err := json.MarshalIndent(config, "", " ")
	check(err)
	path := filepath.Join(s.directory, "config.json")
	check(os.WriteFile(path, text, 0o600))
	temporary := filepath.Join(s.directory, "tmp")
	check(os.Mkdir(temporary, 0o700))
	log, err := os.Create(filepath.Join(s.directory, "balancer.log"))
	check(err)
	cmd := exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	cmd.Dir = os.Getenv("ROOT")
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME=n1", "BALANCER_LISTEN="+s.listen,
		"BALANCER_DISCOVERY="+s.discovery.address(), "TMPDIR="+temporary)
	cmd.Stdout, cmd.Stderr = log, log
	check(cmd.Start())
	s.processes = append(s.processes, cmd)
	s.balancer = cmd
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + s.listen + "/-/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(deadline) {
			s.abort("the balancer was not ready within 10 s")
		}
	}
	s.note("balancer ready at %s, %d upstreams", s.listen, len(s.members))
}

// stop ends all processes that the run started, and waits for them.
func (s *site) stop() {
	for _, p := range s.processes {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
	}
	for _, p := range s.processes {
		p.Wait()
	}
}

func (s *site) abort(format string, args ...any) {
	s.note("not run: "+format, args...)
	s.finish(exitNotRun, "the case could not run")
}

// finish writes the record, ends the processes and exits.
func (s *site) finish(code int, verdict string) {
	s.stop()
	log, _ := os.ReadFile(filepath.Join(s.directory, "balancer.log"))
	s.mu.Lock()
	for _, e := range s.events {
		s.lines = append(s.lines, fmt.Sprintf("%9.1f ms  upstream %s: %s %s (%d body bytes) %s", e.AtMS-s.start,
			e.Upstream, e.Event, e.ID, e.Bytes, e.Told))
	}
	sort.Strings(s.lines)
	s.mu.Unlock()
	text := strings.Join(s.lines, "\n") + "\n\nverdict: " + verdict + "\n\nlog of the balancer:\n" + string(log)
	if err := os.WriteFile(os.Getenv("RECORD"), []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	os.RemoveAll(s.directory)
	fmt.Println(verdict)
	os.Exit(code)
}

// upstreamEvents returns the events with a name, by request id.
func (s *site) upstreamEvents(name string) map[string][]upstreamEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string][]upstreamEvent{}
	for _, e := range s.events {
		if e.Event == name {
			found[e.ID] = append(found[e.ID], e)
		}
	}
	return found
}

// alive reports whether a process has not ended. One that has ended is a zombie until stop waits for it, and takes
// signals like a running one.
func (s *site) alive(p *exec.Cmd) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		return false
	}
	_, fields, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(fields, "Z") && !strings.HasPrefix(fields, "X")
}

// troubled reports whether the run has its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }
