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
