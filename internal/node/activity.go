package node

import (
	"fmt"
	"strings"
)

// InFlight counts the work that a balancer has not finished.
type InFlight struct {
	Requests  int // client requests without a final response
	Exchanges int // exchanges that are in progress or have attempts in flight
	Attempts  int // attempts at upstreams, without those whose response is being streamed
}

// InFlight returns the work that the balancer has not finished.
func (n *Node) InFlight() InFlight {
	return InFlight{
		Requests:  n.driver.InProgress(),
		Exchanges: n.driver.Exchanges(),
		Attempts:  n.driver.AttemptsInFlight(),
	}
}

// String formats the counts for an error message. It returns "" if nothing is in flight.
func (f InFlight) String() string {
	if f == (InFlight{}) {
		return ""
	}
	return fmt.Sprintf("%d requests, %d exchanges, %d attempts", f.Requests, f.Exchanges, f.Attempts)
}

// Unreleased counts the resources that a balancer holds. Each one that is held after Close is a leak.
type Unreleased struct {
	InFlight
	Connections int // open connections to clients and upstreams
	Timers      int // pending timers, without those of the balancing decisions
	Watches     int // descriptors that the event loop watches
	Memory      int // bytes in the memory account
}

// Unreleased returns the resources that the balancer holds.
func (n *Node) Unreleased() Unreleased {
	return Unreleased{
		InFlight:    n.InFlight(),
		Connections: n.descriptors.InUse(),
		Timers:      n.loop.Timers.Len() - n.driver.PendingTimers(),
		Watches:     n.loop.Watched(),
		Memory:      n.memory.Total(),
	}
}

// String formats the counts that are not 0 for an error message. It returns "" if nothing is held.
func (u Unreleased) String() string {
	var parts []string
	for _, part := range []struct {
		name  string
		count int
	}{
		{"connections", u.Connections},
		{"exchanges", u.Exchanges},
		{"requests", u.Requests},
		{"attempts", u.Attempts},
		{"timers", u.Timers},
		{"watches", u.Watches},
		{"bytes", u.Memory},
	} {
		if part.count != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.count, part.name))
		}
	}
	return strings.Join(parts, ", ")
}
