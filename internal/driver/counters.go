package driver

import (
	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
)

// outcomeNames holds the names of attempt outcomes that are used in trace events and counter names.
var outcomeNames = [...]string{
	balance.OK:              "ok",
	balance.UpstreamError:   "upstream_error",
	balance.Overloaded:      "overloaded",
	balance.TimedOut:        "timed_out",
	balance.ConnectFailed:   "connect_failed",
	balance.ConnectionReset: "connection_reset",
	balance.Cancelled:       "cancelled",
	balance.NotSent:         "not_sent",
	balance.InvalidRequest:  "invalid_request",
}

// attemptsEndedPrefix is the first part of the names of the counters of attempt outcomes. The outcome's name follows.
const attemptsEndedPrefix = "attempts_ended_"

// counters holds the counters of requests, attempts and endpoint updates.
type counters struct {
	accepted      *counter.Counter
	served        *counter.Counter
	rejected      *counter.Counter
	failed        *counter.Counter
	abandoned     *counter.Counter
	lateResponses *counter.Counter // final responses sent after the client's own deadline

	attempts          *counter.Counter
	retries           *counter.Counter                    // attempts other than the first one of a request
	attemptsCancelled *counter.Counter                    // attempts that the Balancer has cancelled
	attemptsEnded     [len(outcomeNames)]*counter.Counter // indexed by balance.Outcome

	endpointUpdates *counter.Counter
}

// newCounters adds the driver's counters to a set. inProgress returns the value of the gauge requests_in_progress.
func newCounters(set *counter.Set, inProgress func() int) counters {
	c := counters{
		accepted:  set.New("requests_accepted"),
		served:    set.New("requests_served"),
		rejected:  set.New("requests_rejected"),
		failed:    set.New("requests_failed"),
		abandoned: set.New("requests_abandoned"),
	}
	set.Gauge("requests_in_progress", func() uint64 { return uint64(inProgress()) })
	c.lateResponses = set.New("responses_late")
	c.attempts = set.New("attempts")
	c.retries = set.New("retries")
	for i, name := range outcomeNames {
		c.attemptsEnded[i] = set.New(attemptsEndedPrefix + name)
	}
	c.attemptsCancelled = set.New("attempts_cancelled")
	c.endpointUpdates = set.New("endpoint_updates")
	return c
}

// countResponse increments the counter of exchanges that ended with a disposition.
func (c *counters) countResponse(disposition exchange.Disposition) {
	switch disposition {
	case exchange.Served:
		c.served.Inc()
	case exchange.Rejected:
		c.rejected.Inc()
	case exchange.Failed:
		c.failed.Inc()
	case exchange.Abandoned:
		c.abandoned.Inc()
	}
}

// RequestCounts holds the numbers of requests that the driver has received and ended since it was created.
type RequestCounts struct {
	Received  uint64
	Served    uint64
	Rejected  uint64
	Failed    uint64
	Abandoned uint64
}

// InProgress returns the number of requests that have not ended.
func (r RequestCounts) InProgress() int {
	return int(r.Received - r.Served - r.Rejected - r.Failed - r.Abandoned)
}

// Counts returns the numbers of requests since the driver was created.
func (d *Driver) Counts() RequestCounts {
	return RequestCounts{
		Received:  d.counters.accepted.Value(),
		Served:    d.counters.served.Value(),
		Rejected:  d.counters.rejected.Value(),
		Failed:    d.counters.failed.Value(),
		Abandoned: d.counters.abandoned.Value(),
	}
}
