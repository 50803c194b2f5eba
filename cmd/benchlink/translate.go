package main

import (
	"fmt"

	"salttrack/balance"
	"salttrack/internal/simwire"
)

// outcomes maps the outcome codes of the simulator's protocol to the outcomes of package balance.
var outcomes = map[simwire.OutcomeCode]balance.Outcome{
	simwire.OutcomeOK:              balance.OK,
	simwire.OutcomeUpstreamError:   balance.UpstreamError,
	simwire.OutcomeOverloaded:      balance.Overloaded,
	simwire.OutcomeTimedOut:        balance.TimedOut,
	simwire.OutcomeConnectFailed:   balance.ConnectFailed,
	simwire.OutcomeConnectionReset: balance.ConnectionReset,
	simwire.OutcomeCancelled:       balance.Cancelled,
	simwire.OutcomeNotSent:         balance.NotSent,
}

// requestArrived converts an event of the simulator to one of package balance.
func requestArrived(event *simwire.RequestArrived) balance.RequestArrived {
	return balance.RequestArrived{
		Request:   balance.RequestID(event.Request),
		Class:     event.Class,
		Tenant:    event.Tenant,
		ExpiresIn: event.ExpiresIn,
	}
}

// responseStarted converts an event of the simulator to one of package balance.
func responseStarted(event *simwire.ResponseStarted) balance.ResponseStarted {
	return balance.ResponseStarted{
		Request: balance.RequestID(event.Request),
		Attempt: int(event.Attempt),
		Elapsed: event.Elapsed,
	}
}

// attemptEnded converts an event of the simulator to one of package balance. inFlightColumn is the column of the load
// report with the requests in flight, or -1.
func attemptEnded(event *simwire.AttemptEnded, inFlightColumn int) (balance.AttemptEnded, error) {
	outcome, ok := outcomes[event.Outcome]
	if !ok {
		return balance.AttemptEnded{}, fmt.Errorf("%w %d", errUnknownOutcome, event.Outcome)
	}
	ended := balance.AttemptEnded{
		Request:     balance.RequestID(event.Request),
		Attempt:     int(event.Attempt),
		Outcome:     outcome,
		Elapsed:     event.Elapsed,
		RequestDone: event.RequestDone,
	}
	ended.ReportedInFlight, ended.LoadReported = event.LoadReport.Value(inFlightColumn)
	return ended, nil
}

// appendEndpoints converts an endpoint list of the simulator and appends it to a slice.
func appendEndpoints(endpoints []balance.Endpoint, list []simwire.Endpoint) []balance.Endpoint {
	for i := range list {
		endpoint := &list[i]
		endpoints = append(endpoints, balance.Endpoint{
			ID:        balance.UpstreamID(endpoint.Upstream),
			Zone:      endpoint.Zone,
			Cell:      endpoint.Cell,
			State:     endpointState(endpoint.State),
			StartedAt: endpoint.StartedAt,
		})
	}
	return endpoints
}

// endpointState converts the state of an endpoint. An unknown state is converted to draining,
// so that no new request is forwarded to the upstream.
func endpointState(state simwire.EndpointState) balance.EndpointState {
	switch state {
	case simwire.EndpointRemoved:
		return balance.Removed
	case simwire.EndpointReady:
		return balance.Ready
	default:
		return balance.Draining
	}
}

// addActions adds the pending actions of an instance to the reply.
func addActions(balancer *balance.Balancer, id simwire.InstanceID, reply *simwire.Reply) {
	for action, ok := balancer.NextAction(); ok; action, ok = balancer.NextAction() {
		switch action := action.(type) {
		case *balance.ForwardRequest:
			reply.ForwardRequest(id, uint32(action.Request), uint32(action.Upstream), action.Timeout)
		case *balance.RejectRequest:
			reply.RejectRequest(id, uint32(action.Request), action.RetryAfter)
		case *balance.FailRequest:
			reply.FailRequest(id, uint32(action.Request))
		case *balance.CancelAttempt:
			reply.CancelAttempt(id, uint32(action.Request), uint16(action.Attempt))
		case *balance.SetTimer:
			reply.SetTimer(id, action.After, uint64(action.Timer))
		case *balance.WatchEndpoints:
			reply.WatchEndpoints(id)
		}
	}
}
