// Package counter provides named counters and gauges.
package counter

import (
	"fmt"
	"strings"
)

// Counter counts events. It is not safe for concurrent use: only the event loop changes and reads it.
type Counter struct {
	name  string
	value uint64
}

// Inc adds 1 to the count.
func (c *Counter) Inc() { c.value++ }

// Value returns the count.
func (c *Counter) Value() uint64 { return c.value }

// Set is a set of counters and gauges, in the order in which they were added. Its zero value is empty and ready for use.
type Set struct {
	counters []*Counter
	gauges   []gauge
}

// gauge is a named value that a function returns.
type gauge struct {
	name string
	read func() uint64
}

// New adds a counter to the set and returns it. The name must be unique in the set.
func (s *Set) New(name string) *Counter {
	c := &Counter{name: name}
	s.counters = append(s.counters, c)
	return c
}

// Gauge adds a gauge to the set. The function read returns its current value. The name must be unique in the set.
func (s *Set) Gauge(name string, read func() uint64) {
	s.gauges = append(s.gauges, gauge{name, read})
}

// Value returns the value of the named counter or gauge. The result ok is false if there is none.
func (s *Set) Value(name string) (value uint64, ok bool) {
	for _, c := range s.counters {
		if c.name == name {
			return c.value, true
		}
	}
	for _, g := range s.gauges {
		if g.name == name {
			return g.read(), true
		}
	}
	return 0, false
}

// String returns all counters, followed by all gauges, as name=value separated by spaces.
func (s *Set) String() string {
	var b strings.Builder
	for _, c := range s.counters {
		fmt.Fprintf(&b, "%s=%d ", c.name, c.value)
	}
	for _, g := range s.gauges {
		fmt.Fprintf(&b, "%s=%d ", g.name, g.read())
	}
	return strings.TrimSuffix(b.String(), " ")
}
