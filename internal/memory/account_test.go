package memory

import "testing"

// The kinds with the smallest share are refused first, whichever kind has used the memory.
func TestKindsAreRefusedInOrder(t *testing.T) {
	a := NewAccount(1000)
	calls := 0
	a.OnFull(func() { calls++ })
	for _, step := range []struct {
		total   int
		refused []Kind
	}{
		{250, nil},
		{251, []Kind{ReadAhead}},
		{501, []Kind{ReadAhead, Bodies}},
		{751, []Kind{ReadAhead, Bodies, Streams, Heads}},
		{1001, Kinds()},
	} {
		a.Add(Connections, step.total-a.Total())
		full := 0
		for _, kind := range Kinds() {
			if a.Full(kind) {
				full++
			}
		}
		for _, kind := range step.refused {
			if !a.Full(kind) {
				t.Errorf("%d of 1000 bytes: %v is not full", step.total, kind)
			}
		}
		if full != len(step.refused) {
			t.Errorf("%d of 1000 bytes: %d kinds are full, want %d", step.total, full, len(step.refused))
		}
	}
	if calls != 1 {
		t.Errorf("%d calls when the limit was passed once", calls)
	}
}

// An account may be absent.
func TestNoAccount(t *testing.T) {
	var a *Account
	a.Add(Bodies, 1)
	if a.Full(Bodies) {
		t.Error("an absent account is full")
	}
}

// As memory runs out, requests of the lowest weight are rejected first.
func TestLowWeightsAreRejectedFirst(t *testing.T) {
	a := NewAccount(1000)
	for _, step := range []struct {
		total         int
		lowest, other bool
	}{{874, true, true}, {877, false, true}, {1000, false, true}, {1001, false, false}} {
		a.Add(Bodies, step.total-a.Total())
		if lowest, other := a.AdmitsRequest(0), a.AdmitsRequest(1); lowest != step.lowest || other != step.other {
			t.Errorf("%d of 1000 bytes: lowest weight admitted %v, highest %v", step.total, lowest, other)
		}
	}
}
