package checker

import "salttrack/internal/simulation/fake"

// EndpointUpdateSent records an endpoint update that discovery sent to a balancer.
// The grace period of a draining upstream starts at the first update that reports it as terminating or terminated.
// An update that reports it as in service ends the draining.
func (c *Checker) EndpointUpdateSent(update fake.EndpointUpdate) {
	key := endpointKey{update.Balancer, update.Upstream}
	c.announcedStart[key] = update.StartedAt
	if update.Phase == fake.InService {
		delete(c.drainingSince, key)
		return
	}
	if _, draining := c.drainingSince[key]; !draining {
		c.drainingSince[key] = update.At
	}
}

// UpstreamDisabled records that a balancer process has confirmed an operator's override that disables an upstream.
func (c *Checker) UpstreamDisabled(balancer, upstream string, at float64) {
	key := endpointKey{balancer, upstream}
	if _, disabled := c.disabledSince[key]; !disabled {
		c.disabledSince[key] = at
	}
}

// UpstreamEnabled records that an operator is about to enable an upstream at a balancer process again.
// It is called before the override is sent, because the balancer may send attempts to the upstream as soon as it has the override.
func (c *Checker) UpstreamEnabled(balancer, upstream string) {
	delete(c.disabledSince, endpointKey{balancer, upstream})
}
