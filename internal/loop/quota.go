package loop

import "salttrack/internal/invariant"

const (
	reservedPart        = 4 // a quarter of the descriptors is never taken by one user alone
	nearlyExhaustedPart = 8 // of a limit: with no more than that free, it is nearly exhausted
)

// DescriptorLimiter divides the descriptors for connections between their users. No user gets all of them: a client
// connection is of no use without one to an upstream, nor the other way round.
type DescriptorLimiter struct {
	limit       int
	maxPerQuota int
	quotas      []*DescriptorQuota
}

// DescriptorQuota is the part of one user of a table.
type DescriptorQuota struct {
	table    *DescriptorLimiter
	open     int
	shedIdle func() bool
}

// NewDescriptorLimiter returns a table for a number of connections.
func NewDescriptorLimiter(limit int) *DescriptorLimiter {
	return &DescriptorLimiter{limit: limit, maxPerQuota: maxPerQuota(limit)}
}

// maxPerQuota is three quarters of all connections.
func maxPerQuota(limit int) int { return limit - limit/reservedPart }

// SetLimit changes the number of connections. Idle ones beyond it are closed.
func (t *DescriptorLimiter) SetLimit(limit int) {
	t.limit = limit
	t.maxPerQuota = maxPerQuota(limit)
	for _, q := range t.quotas {
		for t.isExceededBy(q) {
			if !q.shedIdle() {
				break
			}
		}
	}
}

func (t *DescriptorLimiter) isExceededBy(q *DescriptorQuota) bool {
	return t.InUse() > t.limit || q.open > t.maxPerQuota
}

// NewQuota adds a user. Its function closes one of its idle connections and reports whether there was one; the users are
// asked in the order in which they were added.
func (t *DescriptorLimiter) NewQuota(shedIdle func() bool) *DescriptorQuota {
	q := &DescriptorQuota{table: t, shedIdle: shedIdle}
	t.quotas = append(t.quotas, q)
	return q
}

// InUse returns the number of connections of all users.
func (t *DescriptorLimiter) InUse() int {
	open := 0
	for _, q := range t.quotas {
		open += q.open
	}
	return open
}

// Acquire reserves a descriptor for one more connection and reports whether there is one. Idle connections are closed
// for it if there is none.
func (q *DescriptorQuota) Acquire() bool {
	if q.open >= q.table.maxPerQuota && !q.shedIdle() {
		return false
	}
	for _, other := range q.table.quotas {
		if q.table.InUse() < q.table.limit {
			break
		}
		other.shedIdle()
	}
	if q.table.InUse() >= q.table.limit {
		return false
	}
	q.open++
	return true
}

// Release returns the descriptor of a connection.
func (q *DescriptorQuota) Release() {
	q.open--
	invariant.Check(q.open >= 0, "no more descriptors are released than were acquired")
}

// InUse returns the number of connections of the user.
func (q *DescriptorQuota) InUse() int { return q.open }

// NearlyExhausted reports whether descriptors are so few that the user should close connections when it can.
func (q *DescriptorQuota) NearlyExhausted() bool {
	t := q.table
	return q.open >= t.maxPerQuota-t.maxPerQuota/nearlyExhaustedPart || t.InUse() >= t.limit-t.limit/nearlyExhaustedPart
}
