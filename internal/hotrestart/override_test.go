package hotrestart

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Records can be merged in any order with the same result, and changed is called for each override that the merge changes.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.Custom(func(t *rapid.T) Override {
			return Override{
				Disabled: rapid.Bool().Draw(t, "disabled"),
				SetAt:    float64(rapid.IntRange(1, 4).Draw(t, "set at")),
				Version:  uint64(rapid.IntRange(0, 3).Draw(t, "version")),
			}
		}), 0, 3)
		records := rapid.SliceOfN(record, 1, 4).Draw(t, "records")
		forward, backward, changed := map[string]Override{}, map[string]Override{}, map[string]Override{}
		for i := range records {
			Merge(forward, records[i], func(upstream string, o Override) { changed[upstream] = o })
			Merge(backward, records[len(records)-1-i], func(string, Override) {})
		}
		same := cmp.Comparer(func(a, b Override) bool {
			return a.effectiveVersion() == b.effectiveVersion() && a.Disabled == b.Disabled
		})
		if diff := cmp.Diff(forward, backward, same) + cmp.Diff(forward, changed, same); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A later override supersedes an earlier one even if the clock of its process is behind.
// This also holds if the first override is from an older program and has only a time, but no version.
func TestVersionsWithSteppedClocks(t *testing.T) {
	const hour = 3600e3
	for _, clocks := range [][]float64{{1e12, 1e12 + hour, 1e12}, {1e12, 1e12 - hour, 1e12 + 5}, {1e12, 1e12, 1e12}} {
		for _, firstWithoutVersion := range []bool{false, true} {
			known := map[string]Override{}
			for n, at := range clocks {
				o := Override{Disabled: n%2 == 0, SetAt: at}
				if !firstWithoutVersion || n > 0 {
					o.Version = NextVersion(known, at)
				}
				changed := false
				Merge(known, map[string]Override{"s": o}, func(string, Override) { changed = true })
				if !changed || known["s"].Disabled != o.Disabled {
					t.Errorf("clocks %v, first without version %v: override %d is not in force", clocks, firstWithoutVersion, n)
				}
			}
		}
	}
}

// The age of an override is measured by the uptime of the machine. It is 0 if the override has no uptime or a later one.
func TestAge(t *testing.T) {
	for uptime, want := range map[float64]float64{0: 0, 500: 400, 99: 0} {
		if got := (Override{SetAtUptime: 100}).Age(uptime); got != want {
			t.Errorf("at uptime %v: age %v, want %v", uptime, got, want)
		}
	}
	if (Override{SetAt: 5}).Age(1e9) != 0 {
		t.Error("the age of an override without an uptime is not 0")
	}
	if a, b := Uptime(), Uptime(); a <= 0 || b < a {
		t.Errorf("Uptime returns %v, then %v", a, b)
	}
}
