package checker

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

// testEnvironment is an Environment that returns fixed values. Its zero value exempts no request.
type testEnvironment struct {
	lastResume float64
	exempt     bool
}

func (e testEnvironment) LastResume(string, float64, float64) float64  { return e.lastResume }
func (e testEnvironment) Exempt(string, string, float64, float64) bool { return e.exempt }
func (e testEnvironment) MaxTransitMS(string, string) float64          { return 0 }

// Classes of the requests in the tests, as indexes of Limits.Classes.
const (
	idempotent = iota
	withKey
	nonIdempotent
)

// Sending time and deadline of all requests in the tests, in ms.
const (
	requestSentAt   = 100
	requestDeadline = 1100
)

// checkerTest records a sequence of events and names the rule that they violate.
type checkerTest struct {
	name        string
	rule        names.Rule // the only rule that is violated; "" if none is
	environment testEnvironment
	record      func(c *Checker) // called after the idempotent request "a" has been sent
}

// newTestChecker returns a checker that has recorded the sending of the idempotent request "a".
func newTestChecker(environment testEnvironment) *Checker {
	c := New(Limits{
		MaxAttempts:  2,
		DrainGraceMS: 250,
		ToleranceMS:  50,
		ExactTimes:   true,
		Classes: []balance.Class{
			idempotent:    {Idempotency: balance.Idempotent},
			withKey:       {Idempotency: balance.WithIdempotencyKey, DeduplicationScope: balance.ScopeZone},
			nonIdempotent: {Idempotency: balance.NonIdempotent},
		},
	}, environment)
	sendRequest(c, "a", idempotent)
	return c
}

// runCheckerTests runs each test and compares the rule that is violated with the expected one.
func runCheckerTests(t *testing.T, tests []checkerTest) {
	t.Helper()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestChecker(tt.environment)
			tt.record(c)
			violated := names.Rule("")
			for _, violation := range c.Violations {
				if violated != "" && violated != violation.Rule {
					t.Errorf("another rule is violated too: %s", violation)
				}
				violated = violation.Rule
			}
			if violated != tt.rule {
				t.Errorf("violated rule %q, want %q; violations: %v", violated, tt.rule, c.Violations)
			}
		})
	}
}

func sendRequest(c *Checker, id string, class int) {
	c.RequestSent(fake.Request{
		ID:             id,
		RootID:         id,
		IdempotencyKey: "k-" + id,
		Class:          class,
		Balancer:       "b.1",
		Client:         "c",
		SentAt:         requestSentAt,
		Deadline:       requestDeadline,
	})
}

func receiveResponse(c *Checker, id string, status int, at float64) {
	c.ResponseReceived(fake.Response{RequestID: id, Status: status, At: at})
}

func receiveAttempt(c *Checker, id string, at float64) {
	c.AttemptReceived(fake.Attempt{RequestID: id, Upstream: "u", Balancer: "b.1", FirstByteAt: at, LastByteAt: at})
}

func execute(c *Checker, id, upstream, zone string, at float64) {
	c.RequestExecuted(fake.Execution{RequestID: id, Upstream: upstream, Zone: zone, At: at})
}

func executeWithKey(c *Checker, id, upstream, zone string, at float64) {
	c.RequestExecuted(fake.Execution{RequestID: id, Upstream: upstream, Zone: zone, IdempotencyKey: "k-" + id, At: at})
}

func sendUpdate(c *Checker, balancer string, phase fake.Phase, startedAt, at float64) {
	c.EndpointUpdateSent(fake.EndpointUpdate{Balancer: balancer, Upstream: "u", Phase: phase, StartedAt: startedAt, At: at})
}

func handleMalformedInput(c *Checker, input string, status int, at float64) {
	c.MalformedInputHandled(fake.MalformedInputResult{Input: input, Balancer: "b", Status: status, At: at})
}

func exitBalancer(c *Checker, counters map[string]uint64) {
	c.BalancerExited("b.1", 300, func(name string) uint64 { return counters[name] })
}
