// Package counter holds the named counts that a balancer prints.
package counter

import (
	"fmt"
	"strings"
)

// Counter is one count. The loop alone changes and reads it.
type Counter struct {
	name  string
	value uint64
}

// Inc adds one.
func (c *Counter) Inc() { c.value++ }

// Value is the count so far.
func (c *Counter) Value() uint64 { return c.value }

// Set is a list of counts in the order of their making.
type Set struct {
	counters []*Counter
	readings []reading
}

type reading struct {
	name string
	read func() uint64
}

// New adds a count to the set.
func (s *Set) New(name string) *Counter {
	c := &Counter{name: name}
	s.counters = append(s.counters, c)
	return c
}

// Reading adds a figure that is read when the set is printed.
func (s *Set) Reading(name string, read func() uint64) {
	s.readings = append(s.readings, reading{name, read})
}

// Value returns a count or reading by name, and whether there is one.
func (s *Set) Value(name string) (uint64, bool) {
	for _, c := range s.counters {
		if c.name == name {
			return c.value, true
		}
	}
	for _, r := range s.readings {
		if r.name == name {
			return r.read(), true
		}
	}
	return 0, false
}

// String gives all of them as name=value, parted by spaces.
func (s *Set) String() string {
	var b strings.Builder
	for _, c := range s.counters {
		fmt.Fprintf(&b, "%s=%d ", c.name, c.value)
	}
	for _, r := range s.readings {
		fmt.Fprintf(&b, "%s=%d ", r.name, r.read())
	}
	return strings.TrimSuffix(b.String(), " ")
}
