package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// usage is the resource usage of a process.
type usage struct {
	peakMB      float64 // peak resident memory, in MB
	cpuSeconds  float64 // CPU time in user and kernel mode, in s
	descriptors int     // number of open descriptors
	connections int     // number of connections opened to upstreams since the start
}

// usage returns the resource usage of the program.
func (p *program) usage() usage {
	p.t.Helper()
	directory := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(directory + "status")
	if err != nil {
		p.t.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	peakKB, _ := strconv.ParseFloat(string(peak[1]), 64)
	stat, err := os.ReadFile(directory + "stat")
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')'):])) // fields 12 and 13 are utime and stime
	user, _ := strconv.ParseFloat(fields[12], 64)
	system, _ := strconv.ParseFloat(fields[13], 64)
	open, err := filepath.Glob(directory + "fd/*")
	if err != nil {
		p.t.Fatal(err)
	}
	p.requestCounters()
	const ticksPerSecond = 100
	return usage{
		peakMB:      peakKB / 1024,
		cpuSeconds:  (user + system) / ticksPerSecond,
		descriptors: len(open),
		connections: p.latestCounters()("upstream_connections_opened"),
	}
}

// largeEnvironment is an environment with many upstreams. They are one server that listens on all loopback addresses.
type largeEnvironment struct {
	*environment
	endpoints []string // JSON objects of the endpoint list
}

// newLargeEnvironment returns an environment with a number of upstreams, each at another loopback address and the same port.
func newLargeEnvironment(t *testing.T, port, upstreams int) *largeEnvironment {
	t.Helper()
	e := &largeEnvironment{environment: newEnvironment(t)}
	for i := range upstreams {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 230, i/250, 1+i%250, port)
		e.endpoints = append(e.endpoints, fmt.Sprintf(
			`{"id":"s-%d","host_port":%q,"locality":"here","cell":%d,"phase":"in_service","up_since_ms":0}`, i, address, i%16))
	}
	e.sendUpdate(fmt.Sprintf(`{"revision":2,"complete":true,"members":[%s]}`, strings.Join(e.endpoints, ",")))
	return e
}

// drain sends an endpoint update with a revision, by which an upstream starts draining.
func (e *largeEnvironment) drain(i, revision int) {
	draining := strings.Replace(e.endpoints[i], "in_service", "terminating", 1)
	e.sendUpdate(fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, revision, draining))
}

// usageWithUpstreams returns the resource usage of a program with a number of upstreams after 400 requests.
// During the requests ten of the upstreams start draining.
func usageWithUpstreams(t *testing.T, port, upstreams int) usage {
	t.Helper()
	e := newLargeEnvironment(t, port, upstreams)
	p := start(t, e.config(nil))
	for n := range 400 {
		if status, _ := p.do("read", fmt.Sprint("r", n)); status != 200 {
			t.Fatalf("%d upstreams: status %d", upstreams, status)
		}
		if n%40 == 0 {
			e.drain(n/4, 3+n)
		}
	}
	u := p.usage()
	p.terminate()
	return u
}

// Resource usage with 3,200 upstreams stays within the bounds of the capacity page in docs, relative to 200 upstreams and the same load.
func TestSixteenTimesTheUpstreams(t *testing.T) {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(echo)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	port := listener.Addr().(*net.TCPAddr).Port
	const thousandUpstreams = 3.2 // number of upstreams of the second program, in thousands
	few, many := usageWithUpstreams(t, port, 200), usageWithUpstreams(t, port, 3200)
	t.Logf("200 upstreams: %+v; 3,200: %+v", few, many)
	if allowed := 1.5*few.peakMB + 8 + 4*thousandUpstreams; many.peakMB > allowed {
		t.Errorf("peak memory %.1f MB, %.1f allowed", many.peakMB, allowed)
	}
	if allowed := 2*few.descriptors + 40; many.descriptors > allowed {
		t.Errorf("%d descriptors, %d allowed", many.descriptors, allowed)
	}
	if allowed := int(2.5*float64(few.connections)) + 40; many.connections > allowed {
		t.Errorf("%d connections opened, %d allowed", many.connections, allowed)
	}
}
