package cluster

import (
	"fmt"

	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/scenario"
)

// LoopbackResult is the result of a run on loopback sockets.
type LoopbackResult struct {
	Result
	CPUSeconds          float64  `json:"cpu_seconds"`        // of the balancers
	CPUMicrosPerRequest float64  `json:"cpu_us_per_request"` // of the clients' requests
	EnvironmentErrors   []string `json:"faults,omitempty"`   // of the simulator itself
}

// UnsupportedFaultError tells that a fault can't be played on loopback sockets.
type UnsupportedFaultError struct {
	ID   string
	Type names.FaultType
}

// Error names the fault and its type.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("fault %s: type %s can be played on the virtual network only", e.ID, e.Type)
}

// PlayLoopback plays a scenario with processes of the balancer's program on loopback addresses, in real time. A scenario
// with faults of the network or of CPUs gives an *UnsupportedFaultError.
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

// withLock makes a call with no loop running meanwhile.
func (e *loopbackEnvironment) withLock(call func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call()
}

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
