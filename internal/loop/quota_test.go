package loop_test

import (
	"testing"

	"salttrack/internal/loop"
)

// connections is a user of a table with a number of idle connections.
type connections struct {
	quota *loop.DescriptorQuota
	idle  int
}

func newConnections(table *loop.DescriptorLimiter) *connections {
	c := &connections{}
	c.quota = table.NewQuota(func() bool {
		if c.idle == 0 {
			return false
		}
		c.idle--
		c.quota.Release()
		return true
	})
	return c
}

// acquireAll acquires the descriptors of a table of eight: six of a, two of b.
func acquireAll(t *testing.T, a, b *connections) {
	t.Helper()
	for i := range 6 {
		if a.quota.NearlyExhausted() || !a.quota.Acquire() {
			t.Errorf("exhausted with %d of 8", i)
		}
	}
	if a.quota.Acquire() {
		t.Error("one user gets more than three quarters")
	}
	for i, want := range []bool{true, true, false} {
		if got := b.quota.Acquire(); got != want {
			t.Errorf("descriptor %d of the other user: %v", i, got)
		}
	}
}

func TestQuota(t *testing.T) {
	table := loop.NewDescriptorLimiter(8)
	a, b := newConnections(table), newConnections(table)
	acquireAll(t, a, b)
	if table.InUse() != 8 {
		t.Errorf("%d are open", table.InUse())
	}
	a.idle = 1
	if !b.quota.Acquire() || a.idle != 0 || table.InUse() != 8 || !b.quota.NearlyExhausted() {
		t.Error("an idle connection of the other user is not closed for a new one")
	}
	b.idle = 1
	if !b.quota.Acquire() || b.idle != 0 || table.InUse() != 8 {
		t.Error("an idle connection of the same user is not closed for a new one")
	}
	b.quota.Release()
	if !a.quota.Acquire() {
		t.Error("a released descriptor can't be acquired")
	}
}
