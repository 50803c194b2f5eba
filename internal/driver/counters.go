package driver

import (
	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
)

// outcomeNames are the outcomes of attempts in the log and in the names of counters.
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

// attemptsEndedPrefix and an outcome's name make the name of a counter.
const attemptsEndedPrefix = "attempts_ended_"

type counters struct {
	accepted      *counter.Counter
	served        *counter.Counter
	rejected      *counter.Counter
	failed        *counter.Counter
	abandoned     *counter.Counter
	lateResponses *counter.Counter // sent after the client's own deadline

	attempts          *counter.Counter
	retries           *counter.Counter                    // attempts after the first of a request
	attemptsCancelled *counter.Counter                    // by an action of the balancer
	attemptsEnded     [len(outcomeNames)]*counter.Counter // by outcome

	endpointUpdates *counter.Counter
}

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

// countResponse counts the end of an exchange.
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

// RequestCounts are the numbers of requests accepted and ended since the start.
type RequestCounts struct {
	Received  uint64
	Served    uint64
	Rejected  uint64
	Failed    uint64
	Abandoned uint64
}

// InProgress returns the number of requests without a final response.
func (r RequestCounts) InProgress() int {
	return int(r.Received - r.Served - r.Rejected - r.Failed - r.Abandoned)
}

// Counts returns the numbers of requests since the start.
func (d *Driver) Counts() RequestCounts {
	return RequestCounts{
		Received:  d.counters.accepted.Value(),
		Served:    d.counters.served.Value(),
		Rejected:  d.counters.rejected.Value(),
		Failed:    d.counters.failed.Value(),
		Abandoned: d.counters.abandoned.Value(),
	}
}
