package cluster

import (
	"salttrack/internal/simulation/names"
)

const (
	// quietPeriod is the time in ms from the end of the load to the shutdown of the balancers.
	// It is longer than the longest deadline, so no request may be in progress at its end.
	quietPeriod = 4500.0

	// shutdownTimeout is the time in ms within which all balancers have to exit.
	shutdownTimeout = 6000.0

	// maxCountedDeadline is the greatest deadline in ms that delays the SIGKILL of the platform.
	// A longer deadline counts as this one.
	maxCountedDeadline = 3000.0

	// killGracePeriod is the time in ms that the platform adds to the longest deadline.
	// SIGKILL may follow SIGTERM after the sum of both.
	killGracePeriod = 700.0
)

// shutDown sends SIGTERM to all balancers. It reports balancers that still have unfinished work after the quiet period.
func (c *cluster) shutDown() {
	c.shuttingDown = true
	for _, b := range c.balancers {
		if b.down && b.tier == 0 {
			c.checker.Report(names.ShutdownTimeout, c.now(), "simulator error: %s is down at the end of the run", b.name)
		}
		if !b.down && !b.terminating {
			if pending := b.process.pendingWork(); pending != "" {
				c.checker.Report(names.LeakedState, c.now(), "%s still has %s %.0f ms after the end of the load", b.name, pending,
					quietPeriod)
			}
		}
		b.terminate()
	}
}

// checkShutDown checks that all balancers have exited and that the clients have no open requests.
func (c *cluster) checkShutDown() {
	for _, b := range c.balancers {
		if !b.down {
			c.checker.Report(names.ShutdownTimeout, c.now(), "%s did not exit within %.0f ms", b.name, shutdownTimeout)
		}
	}
	for _, clients := range c.clients {
		if open := clients.OpenRequests(); open != 0 {
			c.checker.Report(names.LeakedState, c.now(), "simulator error: %d requests of clients in zone %s are open", open,
				clients.Zone)
		}
	}
}

// earliestKillDelay returns the shortest time in ms from SIGTERM until the platform may send SIGKILL.
func (c *cluster) earliestKillDelay() float64 {
	longest := 0.0
	for _, class := range c.classes {
		longest = max(longest, class.Deadline)
	}
	return min(maxCountedDeadline, longest) + killGracePeriod
}
