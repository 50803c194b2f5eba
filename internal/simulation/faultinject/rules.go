package faultinject

import "golang.org/x/sys/unix"

// Call is the name of a kernel call that can fail, as schedules give it.
type Call string

// The calls.
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

// Short is an Errno that makes reads and writes transfer one byte, instead of failing.
const Short = unix.Errno(0)

// Rule tells how a call fails.
type Rule struct {
	Call       Call
	Errno      unix.Errno // or Short
	FromMS     float64    // after the rules were set
	DurationMS float64    // 0 for no end
	Fraction   float64    // of the calls that fail, 0 for all
	MaxHits    int        // 0 for no limit
	hits       int
}

// active reports whether the rule applies so many ms after the rules were set.
func (r *Rule) active(elapsed float64) bool {
	if elapsed < r.FromMS {
		return false
	}
	ended := r.DurationMS != 0 && elapsed >= r.FromMS+r.DurationMS
	exhausted := r.MaxHits != 0 && r.hits >= r.MaxHits
	return !ended && !exhausted
}

// ClockStep is a step of the wall clock.
type ClockStep struct {
	AtMS     float64 // after the kernel was created
	OffsetMS float64 // forward or back
}
