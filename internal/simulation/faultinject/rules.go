package faultinject

import "golang.org/x/sys/unix"

// Call is the name of a system call in a fault schedule.
type Call string

// The system calls that can fail.
const (
	Accept  Call = "accept"
	Connect Call = "connect"
	Listen  Call = "listen"
	Read    Call = "read"
	Write   Call = "write"
	Add     Call = "epoll_add"
	Modify  Call = "epoll_mod"
	Wait    Call = "wait"
)

// Short is the Errno of rules under which reads and writes transfer a single byte and do not fail.
const Short = unix.Errno(0)

// Rule makes a system call fail, or makes reads or writes short.
type Rule struct {
	Call       Call
	Errno      unix.Errno // error that the call returns, or Short
	FromMS     float64    // ms after SetRules at which the rule begins to apply
	DurationMS float64    // ms for which the rule applies; 0 means without end
	Fraction   float64    // fraction of the calls that fail; 0 means all
	MaxHits    int        // maximum number of calls that fail; 0 means no limit
	hits       int        // calls that have failed so far
}

// active reports whether the rule applies when the given time, in ms, has elapsed since SetRules.
func (r *Rule) active(elapsed float64) bool {
	if elapsed < r.FromMS {
		return false
	}
	ended := r.DurationMS != 0 && elapsed >= r.FromMS+r.DurationMS
	exhausted := r.MaxHits != 0 && r.hits >= r.MaxHits
	return !ended && !exhausted
}

// ClockStep sets the wall clock forward or back.
type ClockStep struct {
	AtMS     float64 // ms after New at which the clock is set
	OffsetMS float64 // ms by which the clock is set forward; negative sets it back
}
