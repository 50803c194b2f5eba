package cluster

import (
	"fmt"

	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

// LoopbackResult is the result of a run on loopback sockets.
type LoopbackResult struct {
	Result
	CPUSeconds          float64  `json:"cpu_seconds"`        // CPU time of all balancer processes
	CPUMicrosPerRequest float64  `json:"cpu_us_per_request"` // CPU time of the balancers in microseconds, divided by the number of requests
	EnvironmentErrors   []string `json:"faults,omitempty"`   // errors of event loops, and exits of balancers with an error status
}

// UnsupportedFaultError is the error for a fault whose type loopback sockets do not support.
type UnsupportedFaultError struct {
	ID   string
	Type names.FaultType
}

// Error returns a message with the ID and the type of the fault.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("fault %s: type %s is supported on the virtual network only", e.ID, e.Type)
}

// PlayLoopback runs a scenario in real time on loopback sockets. Each balancer is a process of the given program.
// A fault whose type needs the virtual network, such as a partition or a stall, causes an *UnsupportedFaultError.
func PlayLoopback(s *scenario.Scenario, program string) (*LoopbackResult, error) {
	for _, f := range s.Faults {
		if !scenario.FindFaultSpec(f.Type).OnLoopback {
			return nil, &UnsupportedFaultError{ID: f.ID, Type: f.Type}
		}
	}
	e, err := newLoopbackEnvironment(program)
	if err != nil {
		return nil, err
	}
	defer e.close()
	c := newCluster(s, e)
	startedAt := e.now()
	e.withLock(c.build)
	e.sleepUntil(c.loadEnd + quietPeriod)
	e.withLock(c.shutDown)
	e.waitForBalancers(shutdownTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	c.checkShutDown()
	for _, b := range c.balancers {
		if !b.down {
			b.process.kill()
		}
	}
	e.killHosts()
	return c.loopbackResult(e, startedAt), nil
}

// withLock calls a function while it holds the mutex, so that no event loop runs during the call.
func (e *loopbackEnvironment) withLock(call func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call()
}

// loopbackResult returns the result of a run on loopback sockets. The parameter startedAt is the start of the run in ms.
func (c *cluster) loopbackResult(e *loopbackEnvironment, startedAt float64) *LoopbackResult {
	counts := c.checker.Counts
	return &LoopbackResult{
		Result: Result{
			Seed:       c.scenario.Seed,
			Violations: c.checker.Violations,
			Seconds:    (e.now() - startedAt) / 1000,
			Counts:     counts,
		},
		CPUSeconds:          e.cpuTime.Seconds(),
		CPUMicrosPerRequest: e.cpuTime.Seconds() * 1e6 / float64(max(1, counts.Requests)),
		EnvironmentErrors:   e.errors,
	}
}
