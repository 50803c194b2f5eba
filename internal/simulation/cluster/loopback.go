package cluster

import (
	"os"
	"sync"
	"time"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
	"salttrack/internal/simulation/simnet"
)

// loopbackEnvironment is the environment of a run on this machine.
// The fakes run in this process on loopback addresses, and each balancer is a process of the real program.
// Each host has its own event loop, as on the virtual network.
// Only the loop that holds the mutex runs, so the state of the fakes needs no other synchronization.
type loopbackEnvironment struct {
	mu        sync.Mutex
	clock     *epoll.Kernel
	dir       string // temporary directory for configuration files and logs, removed by close
	program   string // path of the balancer's program
	hosts     []*loopbackHost
	balancers sync.WaitGroup // counts the running balancer processes
	cpuTime   time.Duration  // CPU time of all balancer processes that have exited
	errors    []string       // errors of event loops, and exits of balancers with an error status
}

// newLoopbackEnvironment returns an environment for the balancer's program. The caller has to call close.
func newLoopbackEnvironment(program string) (*loopbackEnvironment, error) {
	dir, err := os.MkdirTemp("", "salttrack-sim")
	if err != nil {
		return nil, err
	}
	clock, err := epoll.New()
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return &loopbackEnvironment{clock: clock, dir: dir, program: program}, nil
}

// close releases the clock and removes the temporary directory. All hosts and balancers have to be killed before.
func (e *loopbackEnvironment) close() {
	e.clock.Release()
	os.RemoveAll(e.dir)
}

func (e *loopbackEnvironment) now() float64             { return e.clock.Now() }
func (e *loopbackEnvironment) network() *simnet.Network { return nil }

// duration converts ms to a time.Duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (e *loopbackEnvironment) sleepUntil(at float64) { time.Sleep(duration(at - e.now())) }

func (e *loopbackEnvironment) schedule(at float64, _ string, callback func()) {
	time.AfterFunc(duration(at-e.now()), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		callback()
		for _, h := range e.hosts { // the callback may have set timers on any loop
			h.Wake()
		}
	})
}

func (e *loopbackEnvironment) spawn(name, _, _ string) host {
	kernel, err := epoll.New()
	if err != nil {
		panic(err)
	}
	h := &loopbackHost{Kernel: kernel, environment: e, name: name, open: map[int]bool{}}
	h.loop = loop.New(h)
	e.hosts = append(e.hosts, h)
	return h
}

// start runs a host's event loop in a goroutine, which ends when the host is killed.
func (e *loopbackEnvironment) start(h host) {
	go func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if err := h.Loop().Run(); err != nil {
			e.errors = append(e.errors, err.Error())
		}
	}()
}

// waitForBalancers waits until all balancer processes have exited, but at most timeout ms.
func (e *loopbackEnvironment) waitForBalancers(timeout float64) {
	exited := make(chan struct{})
	go func() {
		e.balancers.Wait()
		close(exited)
	}()
	select {
	case <-exited:
	case <-time.After(duration(timeout)):
	}
}

// killHosts kills all hosts.
func (e *loopbackEnvironment) killHosts() {
	for _, h := range e.hosts {
		h.Kill()
	}
}
