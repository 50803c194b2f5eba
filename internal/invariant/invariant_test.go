package invariant

import "testing"

// A breach panics in a debug build and is counted in both.
func TestCheck(t *testing.T) {
	before := Broken()
	Check(true, "holds")
	if Broken() != before {
		t.Error("what holds is counted as broken")
	}
	defer func() {
		if p := recover(); (p != nil) != Debug {
			t.Errorf("debug %v, panic %v", Debug, p)
		}
		if Broken() != before+1 {
			t.Error("the breach is not counted")
		}
	}()
	Check(false, "does not hold")
}
