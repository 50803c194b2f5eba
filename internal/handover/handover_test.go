package handover

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func record(orders map[string]Order) Record { return Record{Ready: true, Orders: orders} }

// A record is taken whole or not at all: cut anywhere, with any byte changed, of another version.
func TestRecord(t *testing.T) {
	want := record(map[string]Order{"s-1": {true, 1e12}, "a/ü \n": {false, 5}})
	whole, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(whole)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	for i := range whole {
		if _, err := decode(whole[:i]); err == nil {
			t.Errorf("cut at %d it is taken", i)
		}
		bad := append([]byte(nil), whole...)
		if bad[i] ^= 1; whole[i] != ' ' && i > len("salttrack-handover 1 ") {
			if r, err := decode(bad); err == nil && !cmp.Equal(r, want) {
				t.Errorf("with byte %d changed it is taken as %+v", i, r)
			}
		}
	}
	for _, other := range []string{"0", "2", "x"} {
		if _, err := decode([]byte(strings.Replace(string(whole), "handover 1 ", "handover "+other+" ", 1))); err == nil {
			t.Errorf("version %s is taken", other)
		}
	}
}

// Whatever the order in which records are met, the outcome is the same, and changed tells each difference.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.Custom(func(t *rapid.T) Order {
			return Order{rapid.Bool().Draw(t, "out"), float64(rapid.IntRange(1, 4).Draw(t, "at"))}
		}), 0, 3)
		all := rapid.SliceOfN(one, 1, 4).Draw(t, "records")
		forth, back, told := map[string]Order{}, map[string]Order{}, map[string]Order{}
		for i := range all {
			Merge(forth, all[i], func(id string, o Order) { told[id] = o })
			Merge(back, all[len(all)-1-i], func(string, Order) {})
		}
		if diff := cmp.Diff(forth, back) + cmp.Diff(forth, told); diff != "" {
			t.Fatal(diff)
		}
	})
}

func open(t *testing.T, folder, name string) *Dir {
	t.Helper()
	d, err := Open(folder, name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDir(t *testing.T) {
	folder := t.TempDir()
	a, b, other := open(t, folder, "n1"), open(t, folder, "n1"), open(t, folder, "n2")
	defer other.Close()
	want := record(map[string]Order{"s-1": {true, 7}})
	if live, gone, faults := a.Others(); len(live) != 1 || len(gone) != 0 || len(faults) != 0 {
		t.Errorf("one that has told nothing yet: %v %v %v", live, gone, faults)
	}
	if err := b.Publish(want); err != nil {
		t.Fatal(err)
	}
	if live, gone, _ := a.Others(); len(gone) != 0 || !cmp.Equal(live, []Record{want}) {
		t.Errorf("live %v, gone %v", live, gone)
	}
	if live, gone, _ := other.Others(); len(live)+len(gone) != 0 {
		t.Errorf("another balancer sees %v, %v", live, gone)
	}
	b.Close()
	if live, gone, _ := a.Others(); len(live) != 0 || !cmp.Equal(gone, []Record{want}) {
		t.Errorf("after its end: live %v, gone %v", live, gone)
	}
	if live, gone, _ := a.Others(); len(live)+len(gone) != 0 {
		t.Errorf("it is told again: %v, %v", live, gone)
	}
	// A damaged record is told once, and its process counts as alive.
	c := open(t, folder, "n1")
	if err := c.Publish(want); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(c.path, c.own+".record")
	if err := os.WriteFile(path, []byte("salttrack-handover 9 0 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if live, _, faults := a.Others(); len(live) != 1 || live[0].Ready || len(faults) != 1-min(i, 1) {
			t.Errorf("a damaged record: live %v, faults %v", live, faults)
		}
	}
	c.Close()
	a.Others()
	a.Close()
	if files, _ := os.ReadDir(a.path); len(files) != 1 { // its own lock; it never published
		t.Errorf("%d files are left", len(files))
	}
}
