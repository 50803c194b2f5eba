package loop_test

import (
	"testing"

	"salttrack/internal/loop"
)

// quotaUser is a user of descriptors that has a number of idle connections.
type quotaUser struct {
	quota *loop.DescriptorQuota
	idle  int
}

func newQuotaUser(limiter *loop.DescriptorLimiter) *quotaUser {
	u := &quotaUser{}
	u.quota = limiter.NewQuota(func() bool {
		if u.idle == 0 {
			return false
		}
		u.idle--
		u.quota.Release()
		return true
	})
	return u
}

// acquireAll acquires all descriptors of a limiter whose limit is eight: six for a and two for b.
func acquireAll(t *testing.T, a, b *quotaUser) {
	t.Helper()
	for i := range 6 {
		if a.quota.NearlyExhausted() || !a.quota.Acquire() {
			t.Errorf("nearly exhausted or not acquired with %d of 8 descriptors in use", i)
		}
	}
	if a.quota.Acquire() {
		t.Error("one user acquires more than three quarters of the descriptors")
	}
	for i, want := range []bool{true, true, false} {
		if got := b.quota.Acquire(); got != want {
			t.Errorf("the other user acquires descriptor %d: %v, want %v", i, got, want)
		}
	}
}

func TestQuota(t *testing.T) {
	limiter := loop.NewDescriptorLimiter(8)
	a, b := newQuotaUser(limiter), newQuotaUser(limiter)
	acquireAll(t, a, b)
	if limiter.InUse() != 8 {
		t.Errorf("%d descriptors are in use, want 8", limiter.InUse())
	}
	a.idle = 1
	if !b.quota.Acquire() || a.idle != 0 || limiter.InUse() != 8 || !b.quota.NearlyExhausted() {
		t.Error("an idle connection of the other user is not closed for a new one")
	}
	b.idle = 1
	if !b.quota.Acquire() || b.idle != 0 || limiter.InUse() != 8 {
		t.Error("an idle connection of the same user is not closed for a new one")
	}
	b.quota.Release()
	if !a.quota.Acquire() {
		t.Error("a released descriptor can't be acquired")
	}
}
