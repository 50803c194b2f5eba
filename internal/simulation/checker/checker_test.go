package checker

import (
	"testing"

	"salttrack/internal/simulation/fake"
	"salttrack/internal/simulation/names"
)

// body is the response body of an upstream.
var body = []byte("body")

// TestResponseRules checks the rules for the time, the number and the body of responses.
func TestResponseRules(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"served", "", testEnvironment{}, func(c *Checker) {
			receiveAttempt(c, "a", 110)
			execute(c, "a", "u", "east", 111)
			c.ResponseProduced("a", body)
			c.ResponseReceived(fake.Response{RequestID: "a", Status: 200, Body: body, At: 120})
		}},
		{"late", names.LateResponse, testEnvironment{}, func(c *Checker) { receiveResponse(c, "a", 502, 1151) }},
		{"late within the tolerance", "", testEnvironment{}, func(c *Checker) { receiveResponse(c, "a", 502, 1149) }},
		{"late because of a stall", "", testEnvironment{lastResume: 1400}, func(c *Checker) { receiveResponse(c, "a", 502, 1440) }},
		{"late after the tolerance that follows a stall", names.LateResponse, testEnvironment{lastResume: 1400},
			func(c *Checker) { receiveResponse(c, "a", 502, 1451) }},
		{"late across a partition", "", testEnvironment{exempt: true}, func(c *Checker) { receiveResponse(c, "a", 502, 5000) }},
		{"two responses", names.ExtraResponse, testEnvironment{}, func(c *Checker) {
			receiveResponse(c, "a", 502, 200)
			receiveResponse(c, "a", 503, 210)
		}},
		{"extra bytes", names.ExtraResponse, testEnvironment{}, func(c *Checker) { c.ExtraBytesReceived("b", []byte("x")) }},
		{"response of another request", names.CrossedResponse, testEnvironment{}, func(c *Checker) {
			c.ResponseProduced("b", body)
			c.ResponseReceived(fake.Response{RequestID: "a", Status: 200, Body: body, At: 200})
		}},
	})
}

// TestLostRequestRule checks which requests without a response are violations.
func TestLostRequestRule(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"timed out", names.LostRequest, testEnvironment{}, func(c *Checker) { c.ResponseTimedOut("a", 1500) }},
		{"closed without a response", names.LostRequest, testEnvironment{},
			func(c *Checker) { c.ConnectionLost(fake.ConnectionLoss{RequestID: "a", At: 200}) }},
		{"in transit when the idle connection was closed", "", testEnvironment{},
			func(c *Checker) { c.ConnectionLost(fake.ConnectionLoss{RequestID: "a", At: 200, Reused: true}) }},
		{"closed after an attempt", names.LostRequest, testEnvironment{}, func(c *Checker) {
			receiveAttempt(c, "a", 110)
			c.ConnectionLost(fake.ConnectionLoss{RequestID: "a", At: 200, Reused: true})
		}},
		{"cancelled", "", testEnvironment{}, func(c *Checker) { c.RequestCancelled("a", 200) }},
	})
}

// TestExecutionRules checks the rules for repeated executions and for executions of rejected requests.
func TestExecutionRules(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"non-idempotent request twice", names.DuplicateExecution, testEnvironment{}, func(c *Checker) {
			sendRequest(c, "n", nonIdempotent)
			execute(c, "n", "u", "east", 110)
			execute(c, "n", "v", "east", 120)
		}},
		{"idempotent request twice", "", testEnvironment{}, func(c *Checker) {
			execute(c, "a", "u", "east", 110)
			execute(c, "a", "v", "west", 120)
		}},
		{"idempotency key twice", names.DuplicateExecution, testEnvironment{}, func(c *Checker) {
			sendRequest(c, "k", withKey)
			executeWithKey(c, "k", "u", "east", 110)
			executeWithKey(c, "k", "v", "west", 120)
		}},
		{"duplicate dropped", "", testEnvironment{}, func(c *Checker) {
			sendRequest(c, "k", withKey)
			executeWithKey(c, "k", "u", "east", 110)
			c.DuplicateDropped("k")
		}},
		{"rejected after execution", names.FalseRejection, testEnvironment{}, func(c *Checker) {
			sendRequest(c, "n", nonIdempotent)
			execute(c, "n", "u", "east", 110)
			receiveResponse(c, "n", 503, 200)
		}},
		{"execution after rejection", names.FalseRejection, testEnvironment{}, func(c *Checker) {
			sendRequest(c, "k", withKey)
			receiveResponse(c, "k", 429, 200)
			executeWithKey(c, "k", "u", "east", 210)
		}},
		{"failed after execution", "", testEnvironment{}, func(c *Checker) {
			sendRequest(c, "n", nonIdempotent)
			execute(c, "n", "u", "east", 110)
			receiveResponse(c, "n", 502, 200)
		}},
	})
}

// TestAttemptRules checks the rules for the number, the time and the content of attempts.
func TestAttemptRules(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"after the response", names.AttemptAfterResponse, testEnvironment{}, func(c *Checker) {
			receiveResponse(c, "a", 503, 200)
			receiveAttempt(c, "a", 201)
		}},
		{"after the client cancelled", names.AttemptAfterResponse, testEnvironment{}, func(c *Checker) {
			c.RequestCancelled("a", 200)
			receiveAttempt(c, "a", 251)
		}},
		{"after the client cancelled, within the tolerance", "", testEnvironment{}, func(c *Checker) {
			c.RequestCancelled("a", 200)
			receiveAttempt(c, "a", 249)
		}},
		{"too many", names.TooManyAttempts, testEnvironment{}, func(c *Checker) {
			for range 3 {
				receiveAttempt(c, "a", 110)
			}
		}},
		{"unknown request", names.UnknownRequest, testEnvironment{}, func(c *Checker) { receiveAttempt(c, "z", 110) }},
		{"malformed", names.MalformedRequest, testEnvironment{}, func(c *Checker) {
			c.AttemptReceived(fake.Attempt{Malformed: true, Balancer: "b.1", Upstream: "u"})
		}},
	})
}

// TestUpstreamRules checks the rules for attempts to draining upstreams and for crashes of warming upstreams.
func TestUpstreamRules(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"sent to a draining upstream", names.DrainingUpstreamUsed, testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.Terminating, 0, 100)
			receiveAttempt(c, "a", 401)
		}},
		{"sent within the grace period", "", testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.Terminating, 0, 100)
			receiveAttempt(c, "a", 399)
		}},
		{"sent to an upstream that drained and terminated", names.DrainingUpstreamUsed, testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.Terminating, 0, 100)
			sendUpdate(c, "b.1", fake.Terminated, 0, 300)
			receiveAttempt(c, "a", 420)
		}},
		{"back in service", "", testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.Terminating, 0, 100)
			sendUpdate(c, "b.1", fake.InService, 200, 300)
			receiveAttempt(c, "a", 900)
		}},
		{"another balancer was informed", "", testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.2", fake.Terminating, 0, 100)
			receiveAttempt(c, "a", 900)
		}},
		{"warming upstream overloaded", names.WarmingUpstreamCrashed, testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.InService, 100, 105)
			receiveAttempt(c, "a", 110)
			c.WarmingUpstreamCrashed("u", 100, 120)
		}},
		{"warming upstream overloaded, start not announced", "", testEnvironment{}, func(c *Checker) {
			sendUpdate(c, "b.1", fake.InService, 0, 50)
			receiveAttempt(c, "a", 110)
			c.WarmingUpstreamCrashed("u", 100, 120)
		}},
	})
}

// TestMalformedInputRule checks which results of malformed input are violations.
func TestMalformedInputRule(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"served", names.MalformedInputAccepted, testEnvironment{}, func(c *Checker) { handleMalformedInput(c, "noise", 200, 10) }},
		{"connection left open", names.MalformedInputAccepted, testEnvironment{},
			func(c *Checker) { handleMalformedInput(c, "silent", fake.StatusNoReply, 4500) }},
		{"rejected or closed", "", testEnvironment{}, func(c *Checker) {
			handleMalformedInput(c, "noise", 400, 10)
			handleMalformedInput(c, "silent", fake.StatusClosed, 2500)
		}},
	})
}

// TestCounterRule checks the comparison of a balancer's counters with the records.
func TestCounterRule(t *testing.T) {
	runCheckerTests(t, []checkerTest{
		{"counted with another outcome", names.CounterMismatch, testEnvironment{}, func(c *Checker) {
			receiveResponse(c, "a", 503, 200)
			exitBalancer(c, map[string]uint64{counterAccepted: 1, counterServed: 1})
		}},
		{"response pending at the exit", "", testEnvironment{}, func(c *Checker) {
			sendRequest(c, "slow", idempotent)
			receiveResponse(c, "a", 503, 200)
			exitBalancer(c, map[string]uint64{counterAccepted: 2, counterServed: 1, counterRejected: 1})
		}},
		{"counters equal to the records", "", testEnvironment{}, func(c *Checker) {
			receiveResponse(c, "a", 503, 200)
			exitBalancer(c, map[string]uint64{counterAccepted: 1, counterRejected: 1})
		}},
	})
}
