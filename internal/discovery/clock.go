package discovery

import (
	"math"

	"salttrack/balance"
)

const (
	maxClockDrift     = 20.0     // ms; a larger change of the difference between the clocks counts as a step
	maxClockOffsets   = 8        // number of offsets that are kept
	clockOffsetMaxAge = 120000.0 // ms; how late a start may be reported; longer than any slow start
)

// startTimeConverter converts the start times of upstreams from the wall clock, by which the discovery service reports
// them, to the balancer's clock. The wall clock may be stepped; the balancer's clock is monotonic. The service may
// record a start before a step and report it after the step, so the offset to use is not known. The converter tries all
// recent offsets and uses the latest start that is not in the future. If the result is too late, the upstream gets less
// load for a while. If it were too early, the upstream would get too much load while it is warming up.
type startTimeConverter struct {
	now     balance.Millis // the balancer's clock when it was last observed
	offsets []clockOffset  // oldest first, the current one last
}

// clockOffset is a difference between the wall clock and the balancer's clock, with the time of its last observation.
type clockOffset struct {
	offset       balance.Millis // wall clock minus the balancer's clock
	lastObserved balance.Millis // on the balancer's clock
}

// observe records the current time of both clocks.
func (c *startTimeConverter) observe(now, wall balance.Millis) {
	c.now = now
	offset := wall - now
	if n := len(c.offsets); n > 0 && math.Abs(c.offsets[n-1].offset-offset) <= maxClockDrift {
		c.offsets[n-1].lastObserved = now
		return
	}
	if math.Abs(offset) <= maxClockDrift {
		offset = 0 // the wall clock was not stepped since the balancer started, so times need no conversion
	}
	c.offsets = append(c.offsets, clockOffset{offset: offset, lastObserved: now})
	for len(c.offsets) > maxClockOffsets || now-c.offsets[0].lastObserved > clockOffsetMaxAge {
		c.offsets = c.offsets[1:]
	}
}

// toBalancerTime converts a start time from the wall clock to the balancer's clock. The result is not in the future.
func (c *startTimeConverter) toBalancerTime(wallStart balance.Millis) balance.Millis {
	if len(c.offsets) == 0 {
		return wallStart
	}
	latest := math.Inf(-1)
	for _, o := range c.offsets {
		if start := wallStart - o.offset; start <= c.now+maxClockDrift {
			latest = max(latest, min(start, c.now))
		}
	}
	if math.IsInf(latest, -1) { // the start is in the future with every offset
		return c.now
	}
	return latest
}
