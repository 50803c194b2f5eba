package cluster

import (
	"salttrack/internal/simulation/names"
)

const (
	// quietPeriod is the time from the last request to the shutdown: more than the longest deadline.
	quietPeriod = 4500.0

	// shutdownTimeout is the time that all balancers have to exit.
	shutdownTimeout = 6000.0

	// The platform may kill a process killMargin after the longest deadline, of which at most maxCountedDeadline counts,
	// from SIGTERM on.
	maxCountedDeadline = 3000.0
	killGracePeriod          = 700.0
)

// shutDown terminates all balancers. Nothing may be open so long after the last deadline.
func (c *cluster) shutDown() {
	c.shuttingDown = true
	for _, b := range c.balancers {
		if b.down && b.tier == 0 {
			c.checker.Report(names.ShutdownTimeout, c.now(), "error of the simulator: %s is down at the end of the run", b.name)
		}
		if !b.down && !b.terminating {
			if pending := b.process.pendingWork(); pending != "" {
				c.checker.Report(names.LeakedState, c.now(), "%s still has %s, %.0f ms after the last request", b.name, pending,
					quietPeriod)
			}
		}
		b.terminate()
	}
}

// checkShutDown checks that all balancers have exited and all requests have ended.
func (c *cluster) checkShutDown() {
	for _, b := range c.balancers {
		if !b.down {
			c.checker.Report(names.ShutdownTimeout, c.now(), "%s did not exit within %.0f ms", b.name, shutdownTimeout)
		}
	}
	for _, clients := range c.clients {
		if open := clients.OpenRequests(); open != 0 {
			c.checker.Report(names.LeakedState, c.now(), "error of the simulator: %d requests of clients in %s are open", open,
				clients.Zone)
		}
	}
}

// earliestKillDelay returns how long after SIGTERM the platform may kill a process.
func (c *cluster) earliestKillDelay() float64 {
	longest := 0.0
	for _, class := range c.classes {
		longest = max(longest, class.Deadline)
	}
	return min(maxCountedDeadline, longest) + killGracePeriod
}
