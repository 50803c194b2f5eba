package timer

import (
	"testing"
)

// Timers run in the order of their times, and timers with the same time in the order in which they were set.
// A stopped timer does not run.
func TestOrder(t *testing.T) {
	var h Heap
	got := ""
	appendName := func(name string) func() { return func() { got += name } }
	h.Set(30, appendName("d"))
	stopped := h.Set(15, appendName("x"))
	h.Set(10, appendName("a"))
	h.Set(20, appendName("b"))
	h.Set(20, appendName("c"))
	h.Stop(stopped)
	h.Stop(stopped)
	h.Stop(nil)
	if due, ok := h.Next(); !ok || due != 10 {
		t.Errorf("Next() = %v, %v, want 10", due, ok)
	}
	h.Run(9)
	h.Run(20)
	if got != "abc" || h.Len() != 1 {
		t.Errorf("ran %q, %d pending; want \"abc\" and 1 pending", got, h.Len())
	}
	h.Run(30)
	if _, ok := h.Next(); ok || got != "abcd" {
		t.Errorf("ran %q, timers pending: %v; want \"abcd\" and none pending", got, ok)
	}
}

// Run must return even if a callback sets a timer that is already due.
func TestRunReturns(t *testing.T) {
	var h Heap
	runs := 0
	var setAgain func()
	setAgain = func() {
		runs++
		h.Set(0, setAgain)
	}
	h.Set(0, setAgain)
	h.Run(5)
	if runs != 1 || h.Len() != 1 {
		t.Errorf("the callback ran %d times, %d timers pending; want 1 and 1", runs, h.Len())
	}
}

// A callback can stop a timer that is due in the same call of Run.
// Stopping timers anywhere in the heap preserves the order of the others.
func TestStopWhileRunning(t *testing.T) {
	var h Heap
	var second *Timer
	h.Set(1, func() { h.Stop(second) })
	second = h.Set(2, func() { t.Error("a stopped timer ran") })
	h.Run(5)
	for i := range 50 {
		pending := h.Set(float64(i%7), func() {})
		if i%3 == 0 {
			h.Stop(pending)
		}
	}
	last := -1.0
	for h.Len() > 0 {
		due, _ := h.Next()
		if due < last {
			t.Fatalf("next timer is due at %v, after one due at %v", due, last)
		}
		last = due
		h.Run(due)
	}
}
