package replay

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"salttrack/balance"
)

func newCache(now *balance.Millis) *Cache {
	return New(make([]byte, Size), func() balance.Millis { return *now })
}

// An id is remembered until it is removed or its time has passed. The times may wrap around meanwhile.
func TestAddAndRemove(t *testing.T) {
	now := timeUnit*timeMask - retention/2 // the times wrap around within the retention
	c := newCache(&now)
	check := func(what string, want bool) {
		t.Helper()
		if got := c.Add("id"); got != want {
			t.Errorf("%s: added %v, want %v", what, got, want)
		}
	}
	check("new", true)
	check("again", false)
	c.Remove("id")
	check("after its removal", true)
	now += retention - 2*timeUnit
	check("within the retention", false)
	now += 4 * timeUnit
	check("after the retention", true)
	c.Remove("never added")
	check("again", false)
}

// In a full bucket the oldest id makes room. As many ids as fit into a quarter of the slots are nearly all remembered.
func TestManyIDs(t *testing.T) {
	now := balance.Millis(1e6)
	c := newCache(&now)
	const ids = bucketCount * slotsPerBucket / 4
	for n := range ids {
		c.Add(fmt.Sprint(n))
		now += timeUnit / 4
	}
	forgotten := 0
	for n := range ids {
		if c.Add(fmt.Sprint(n)) {
			forgotten++
		}
	}
	if forgotten > ids/100 {
		t.Errorf("%d of %d ids are forgotten", forgotten, ids)
	}
	for n := range 2 * bucketCount * slotsPerBucket {
		if id := fmt.Sprint("new", n); !c.Add(id) || c.Add(id) {
			t.Fatalf("%s is not remembered in a full cache", id)
		}
		now += timeUnit
	}
}

// Of several processes that add the same id in the same memory, at most one gets true.
func TestSharedMemory(t *testing.T) {
	memory := make([]byte, Size)
	for n := range 2000 {
		id := fmt.Sprint(n)
		var added atomic.Int32
		var processes sync.WaitGroup
		for range 4 {
			processes.Go(func() {
				if New(memory, func() balance.Millis { return 1e6 }).Add(id) {
					added.Add(1)
				}
			})
		}
		processes.Wait()
		if added.Load() > 1 {
			t.Fatalf("%s was added by %d processes", id, added.Load())
		}
	}
}
