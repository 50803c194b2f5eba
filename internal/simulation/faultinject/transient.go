package faultinject

import "golang.org/x/sys/unix"

// TransientRules returns rules for faults that must neither break a connection nor change a response.
// Reads and writes are short, interrupted or delayed, calls fail for lack of memory, and waits return early.
// The key of each rule is the name of a subtest.
func TransientRules() map[string]Rule {
	return map[string]Rule{
		"short reads":             {Call: Read, Errno: Short},
		"short writes":            {Call: Write, Errno: Short},
		"random short reads":      {Call: Read, Errno: Short, Fraction: 0.3},
		"reads, ENOBUFS":          {Call: Read, Errno: unix.ENOBUFS, MaxHits: 5},
		"reads, EINTR":            {Call: Read, Errno: unix.EINTR, MaxHits: 5},
		"writes, ENOBUFS":         {Call: Write, Errno: unix.ENOBUFS, MaxHits: 5},
		"writes, ENOMEM":          {Call: Write, Errno: unix.ENOMEM, MaxHits: 5},
		"delayed writes":          {Call: Write, Errno: unix.EAGAIN, Fraction: 0.5},
		"add to epoll, ENOMEM":    {Call: Add, Errno: unix.ENOMEM, MaxHits: 3},
		"add to epoll, ENOSPC":    {Call: Add, Errno: unix.ENOSPC, MaxHits: 3},
		"modify epoll, ENOMEM":    {Call: Modify, Errno: unix.ENOMEM, MaxHits: 3},
		"waits that return early": {Call: Wait, Errno: unix.EINTR, Fraction: 0.5},
	}
}
