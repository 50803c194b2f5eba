package node

import (
	"fmt"
	"strings"
)

// InFlight is the work that a balancer has not finished.
type InFlight struct {
	Requests  int // without a final response
	Exchanges int // with clients
	Attempts  int // at upstreams, but for those whose response is streamed
}

// InFlight returns the work that is not finished.
func (n *Node) InFlight() InFlight {
	return InFlight{
		Requests:  n.driver.InProgress(),
		Exchanges: n.driver.Exchanges(),
		Attempts:  n.driver.AttemptsInFlight(),
	}
}

// String lists the work, "" if there is none.
func (f InFlight) String() string {
	if f == (InFlight{}) {
		return ""
	}
	return fmt.Sprintf("%d requests, %d exchanges, %d attempts", f.Requests, f.Exchanges, f.Attempts)
}

// Unreleased is what a balancer still holds after Close: all of it is a leak.
type Unreleased struct {
	InFlight
	Connections int
	Timers      int
	Watches     int // of descriptors, by the loop
}

// Unreleased returns what is not released.
func (n *Node) Unreleased() Unreleased {
	return Unreleased{
		InFlight:    n.InFlight(),
		Connections: n.descriptors.InUse(),
		Timers:      n.loop.Timers.Len() - n.driver.PendingTimers(),
		Watches:     n.loop.Watched(),
	}
}

// String lists what is not released, "" if that is nothing.
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
	} {
		if part.count != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.count, part.name))
		}
	}
	return strings.Join(parts, ", ")
}
