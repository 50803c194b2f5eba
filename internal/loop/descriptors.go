package loop

import "salttrack/internal/invariant"

const (
	reservedDivisor        = 4 // a quarter of the descriptors is out of reach of any single user
	nearlyExhaustedDivisor = 8 // a limit is nearly exhausted when at most an eighth of it is free
)

// DescriptorLimiter limits the number of open connections, each of which has one descriptor, and divides the
// descriptors between several users. No user gets all of them: a client connection is useless without a connection to
// an upstream, and vice versa.
type DescriptorLimiter struct {
	limit       int
	maxPerQuota int
	quotas      []*DescriptorQuota
}

// DescriptorQuota counts the descriptors that one user of a DescriptorLimiter has.
type DescriptorQuota struct {
	limiter  *DescriptorLimiter
	inUse    int
	shedIdle func() bool // closes an idle connection of the user and reports whether there was one
}

// NewDescriptorLimiter returns a limiter for a number of open connections.
func NewDescriptorLimiter(limit int) *DescriptorLimiter {
	return &DescriptorLimiter{limit: limit, maxPerQuota: maxPerQuota(limit)}
}

// maxPerQuota returns the number of descriptors that one user may have: three quarters of the limit.
func maxPerQuota(limit int) int { return limit - limit/reservedDivisor }

// SetLimit changes the limit on open connections. If more are open, idle ones are closed.
func (l *DescriptorLimiter) SetLimit(limit int) {
	l.limit = limit
	l.maxPerQuota = maxPerQuota(limit)
	for _, q := range l.quotas {
		for l.isExceededBy(q) {
			if !q.shedIdle() {
				break
			}
		}
	}
}

// isExceededBy reports whether all users together, or the user of a quota, have more descriptors than allowed.
func (l *DescriptorLimiter) isExceededBy(q *DescriptorQuota) bool {
	return l.InUse() > l.limit || q.inUse > l.maxPerQuota
}

// NewQuota adds a user of the descriptors and returns its quota. The function shedIdle closes one idle connection of
// the user and reports whether there was one. If a descriptor is needed, the functions are called in the order in which
// the users were added.
func (l *DescriptorLimiter) NewQuota(shedIdle func() bool) *DescriptorQuota {
	q := &DescriptorQuota{limiter: l, shedIdle: shedIdle}
	l.quotas = append(l.quotas, q)
	return q
}

// InUse returns the number of descriptors that all users have acquired and not released.
func (l *DescriptorLimiter) InUse() int {
	inUse := 0
	for _, q := range l.quotas {
		inUse += q.inUse
	}
	return inUse
}

// Acquire reserves a descriptor for one more connection and reports whether there was one. If none is free, it closes
// idle connections to free one.
func (q *DescriptorQuota) Acquire() bool {
	if q.inUse >= q.limiter.maxPerQuota && !q.shedIdle() {
		return false
	}
	for _, other := range q.limiter.quotas {
		if q.limiter.InUse() < q.limiter.limit {
			break
		}
		other.shedIdle()
	}
	if q.limiter.InUse() >= q.limiter.limit {
		return false
	}
	q.inUse++
	return true
}

// Release returns the descriptor of a connection that was closed, or was never opened.
func (q *DescriptorQuota) Release() {
	q.inUse--
	invariant.Check(q.inUse >= 0, "no more descriptors are released than were acquired")
}

// InUse returns the number of descriptors that the user has acquired and not released.
func (q *DescriptorQuota) InUse() int { return q.inUse }

// NearlyExhausted reports whether so few descriptors are free that the user should close connections where it can.
func (q *DescriptorQuota) NearlyExhausted() bool {
	l := q.limiter
	return q.inUse >= l.maxPerQuota-l.maxPerQuota/nearlyExhaustedDivisor || l.InUse() >= l.limit-l.limit/nearlyExhaustedDivisor
}
