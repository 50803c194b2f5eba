package checker

import "salttrack/internal/simulation/names"

// Names of the balancer's counters that are compared with the records.
const (
	counterAccepted         = "requests_accepted"
	counterServed           = "requests_served"
	counterRejected         = "requests_rejected"
	counterRejectedOverflow = "client_overflow_rejected" // requests on connections above the connection limit; not included in requests_rejected
	counterFailed           = "requests_failed"
	counterAbandoned        = "requests_abandoned"
	counterInProgress       = "requests_in_progress"
	counterAttempts         = "attempts"
)

// processCounts are the counts of one balancer process, as clients and upstreams recorded them.
type processCounts struct {
	requests   int // requests that clients sent
	served     int // responses with status 200
	rejected   int // responses with status 429 or 503
	failed     int // responses with any other status
	noResponse int // requests that ended without a complete response
	attempts   int // attempts that upstreams received
}

// countsOf returns the counts of a balancer process. It adds them if there are none yet.
func (c *Checker) countsOf(balancer string) *processCounts {
	p := c.processCounts[balancer]
	if p == nil {
		p = &processCounts{}
		c.processCounts[balancer] = p
	}
	return p
}

// pending returns the number of requests that have no outcome yet.
// A client that reads slowly may receive its response after the balancer's exit.
func (p *processCounts) pending() int {
	return p.requests - p.served - p.rejected - p.failed - p.noResponse
}

// BalancerExited compares the counters of a balancer process that has shut down with the records.
// It also checks that each request that the balancer counted as accepted has an outcome.
func (c *Checker) BalancerExited(balancer string, at float64, counter func(name string) uint64) {
	value := func(name string) int { return int(counter(name)) }
	finished := value(counterServed) + value(counterRejected) + value(counterFailed) + value(counterAbandoned)
	if value(counterAccepted) != finished || value(counterInProgress) != 0 {
		c.Report(names.CounterMismatch, at, "%s counts %d requests as accepted, %d as finished and %d as in progress", balancer,
			value(counterAccepted), finished, value(counterInProgress))
	}
	p := c.countsOf(balancer)
	c.compareResponses(balancer, at, "served", p.served, value(counterServed))
	c.compareResponses(balancer, at, "rejected", p.rejected, value(counterRejected)+value(counterRejectedOverflow))
	if counted := value(counterAttempts); p.attempts > counted {
		c.Report(names.CounterMismatch, at, "%s counts %d attempts; upstreams received %d", balancer, counted, p.attempts)
	}
}

// compareResponses compares a balancer's count of responses of one kind, served or rejected, with the number that its clients received.
// The balancer may have counted pending requests and requests without a response as either kind.
func (c *Checker) compareResponses(balancer string, at float64, kind string, received, counted int) {
	p := c.countsOf(balancer)
	if received <= counted && counted <= received+p.noResponse+p.pending() {
		return
	}
	c.Report(names.CounterMismatch, at,
		"%s counts %d requests as %s; clients received %d such responses, %d requests got no response, %d are pending",
		balancer, counted, kind, received, p.noResponse, p.pending())
}
