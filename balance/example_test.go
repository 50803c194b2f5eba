package balance_test

import (
	"fmt"

	"salttrack/balance"
)

// The host in this example reports a request and the end of its first attempt, and prints the actions.
func Example() {
	b := balance.New(balance.Config{
		Replicas:          1,
		TierCount:         1,
		Granularity:       5,
		SlowStartDuration: 10000,
		MaxAttempts:       3,
		Classes:           []balance.Class{{LatencyObjective: 800, Deadline: 2000, PriorityWeight: 1}},
	}, 1, 0)
	b.OnEndpointUpdate(0, balance.EndpointUpdate{Snapshot: true, Endpoints: []balance.Endpoint{{ID: 7, State: balance.Ready}}})
	b.OnRequest(10, &balance.RequestArrived{Request: 1, ExpiresIn: 2000})
	b.OnAttemptEnded(30, &balance.AttemptEnded{Request: 1, Outcome: balance.ConnectFailed, Elapsed: 20})
	for action, more := b.NextAction(); more; action, more = b.NextAction() {
		switch a := action.(type) {
		case *balance.SetTimer:
			fmt.Println("set a timer")
		case *balance.ForwardRequest:
			fmt.Printf("forward request %d to upstream %d\n", a.Request, a.Upstream)
		case *balance.RejectRequest:
			fmt.Printf("reject request %d: %s\n", a.Request, a.Reason)
		}
	}
	// Output:
	// set a timer
	// forward request 1 to upstream 7
	// reject request 1: no retry allowed or of use
}
