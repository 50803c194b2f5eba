// Package checker checks a run of the simulator against the rules that package names lists.
// The checks use the records of the fake clients, upstreams and discovery agents.
// A balancer itself reports only its counters, which are compared with these records, and its confirmation of an override
// that disables an upstream.
// All times are in milliseconds.
package checker

import (
	"fmt"
	"net/http"

	"salttrack/balance"
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

// Violation is one violation of a rule. It is stored in JSON reports.
type Violation struct {
	Rule names.Rule `json:"rule"`
	At   float64    `json:"at"` // ms after the start of the run
	Text string     `json:"text"`
}

// Error returns the rule, the time and the text of the violation.
func (v Violation) Error() string { return fmt.Sprintf("%s at %.1f ms: %s", v.Rule, v.At, v.Text) }

// Environment reports the conditions of a run that excuse a balancer from a rule.
type Environment interface {
	// LastResume returns the latest end of the stalls of a balancer's process that overlap the time between from and to.
	// It returns 0 if there is no such stall. A stalled process gets no CPU and can't act.
	LastResume(balancer string, from, to float64) float64
	// Exempt reports whether a balancer was killed, or unreachable from a client, at some time between from and to.
	Exempt(balancer, client string, from, to float64) bool
	// MaxTransitMS returns the longest time in ms that data may be in transit between a balancer and a client.
	MaxTransitMS(balancer, client string) float64
}

// Limits are the parameters of the rules.
type Limits struct {
	StartedAt    float64 // start of the run; the times of violations are relative to it
	Classes      []balance.Class
	MaxAttempts  int     // attempts allowed for each request
	DrainGraceMS float64 // how long a balancer may use an upstream after the update that reports it as terminating or terminated
	ToleranceMS  float64 // added to each time limit
	ExactTimes   bool    // the recorded times are the times on the wire, without delays of the recording process
}

// maxViolations is the greatest number of violations that are stored for a run. Later violations are dropped.
const maxViolations = 50

// earlyResponseMarginMS is how long before a time limit, in ms, a balancer may begin to respond.
// A stall of the balancer in this period excuses a response after the limit.
const earlyResponseMarginMS = 30

// request is the record of one request that a client sent. A client's retry is another request.
type request struct {
	fake.Request
	responded   bool // the client received a complete response
	status      int  // HTTP status of the response
	respondedAt float64
	cancelledAt float64 // 0 if the client did not cancel the request
	executions  int     // how often upstreams executed the request
	attempts    int     // attempts that upstreams received
}

// endpointKey identifies the state of one upstream at one balancer process.
// Each process has its own state, because discovery and operators inform each process separately.
type endpointKey struct{ balancer, upstream string }

// Checker records the events of one run and checks them. It implements fake.Recorder.
// It is not safe for concurrent use.
type Checker struct {
	Violations []Violation
	Counts     Counts

	limits      Limits
	environment Environment

	requests       map[string]*request       // by request ID
	producedBodies map[string][]string       // response bodies of upstreams, by request ID
	executionSites map[string][]string       // upstream and zone of each execution, by root ID of a non-idempotent request or by idempotency key
	drainingSince  map[endpointKey]float64   // time of the first update since the last in_service that reported another phase
	disabledSince  map[endpointKey]float64   // time at which the balancer confirmed that it disabled the upstream
	announcedStart map[endpointKey]float64   // start time of the upstream in the last update that the balancer got
	recentAttempts map[string][]fake.Attempt // by upstream
	processCounts  map[string]*processCounts // by balancer process
}

// Counts has the number of recorded events of each kind. The JSON names are stored in reports and must not change.
type Counts struct {
	Requests           int `json:"Asked"`
	Served             int
	Rejected           int `json:"Refused"`
	Failed             int
	NoResponse         int `json:"NoAnswer"`
	Exempt             int `json:"Excused"` // requests whose lost connection or timeout is excused, for example because the balancer was killed
	Attempts           int
	Executed           int `json:"Ran"`
	Duplicates         int `json:"Repeated"` // requests that upstreams dropped because they had executed the idempotency key
	MalformedInputs    int `json:"Rude"`
	UnannouncedCrashes int `json:"FellUntold"` // crashes of warming upstreams whose start had not been announced to the balancers
}

// Add adds the counts of another run.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.NoResponse += other.NoResponse
	c.Exempt += other.Exempt
	c.Attempts += other.Attempts
	c.Executed += other.Executed
	c.Duplicates += other.Duplicates
	c.MalformedInputs += other.MalformedInputs
	c.UnannouncedCrashes += other.UnannouncedCrashes
}

// New returns a checker for one run.
func New(limits Limits, environment Environment) *Checker {
	return &Checker{
		limits:         limits,
		environment:    environment,
		requests:       map[string]*request{},
		producedBodies: map[string][]string{},
		executionSites: map[string][]string{},
		drainingSince:  map[endpointKey]float64{},
		disabledSince:  map[endpointKey]float64{},
		announcedStart: map[endpointKey]float64{},
		recentAttempts: map[string][]fake.Attempt{},
		processCounts:  map[string]*processCounts{},
	}
}

// Report adds a violation that occurred at the given time. It does nothing if the run already has maxViolations.
func (c *Checker) Report(rule names.Rule, at float64, format string, args ...any) {
	if len(c.Violations) >= maxViolations {
		return
	}
	c.Violations = append(c.Violations, Violation{Rule: rule, At: at - c.limits.StartedAt, Text: fmt.Sprintf(format, args...)})
}

// mayRejectExecuted reports whether a request of a class may be rejected although it was executed.
// It may be rejected if a retry by the client does no harm: the request is idempotent, or all upstreams share its idempotency keys.
func (c *Checker) mayRejectExecuted(class int) bool {
	rules := c.limits.Classes[class]
	return rules.Idempotency == balance.Idempotent ||
		rules.Idempotency == balance.WithIdempotencyKey && rules.DeduplicationScope == balance.ScopeAll
}

// responseDueAt returns the latest time at which the response to a request has to arrive at the client.
// The parameter at is the time at which the response arrived or the client stopped waiting for it.
// A balancer that is stalled at the deadline can respond only after the stall.
func (c *Checker) responseDueAt(r *request, at float64) float64 {
	resumed := c.environment.LastResume(r.Balancer, r.Deadline-earlyResponseMarginMS, at)
	return max(r.Deadline, resumed) + c.limits.ToleranceMS + c.environment.MaxTransitMS(r.Balancer, r.Client)
}

// exempt reports whether the balancer of a request was killed, or unreachable from the client, at some time between
// the sending of the request and the time at.
func (c *Checker) exempt(r *request, at float64) bool {
	return c.environment.Exempt(r.Balancer, r.Client, r.SentAt, at)
}

// isRejection reports whether an HTTP status tells a client that its request was not executed.
func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
