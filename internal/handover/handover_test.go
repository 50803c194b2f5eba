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

// expect looks at what a process sees of the others.
func expect(t *testing.T, what string, d *Dir, live, gone []Record, faults int) {
	t.Helper()
	l, g, f := d.Others()
	if diff := cmp.Diff([][]Record{live, gone}, [][]Record{l, g}); diff != "" || len(f) != faults {
		t.Errorf("%s: %s %v", what, diff, f)
	}
}

func TestDir(t *testing.T) {
	folder, want := t.TempDir(), record(map[string]Order{"s-1": {true, 7}})
	var dirs []*Dir
	for _, name := range []string{"n1", "n1", "n1", "n2"} {
		d, err := Open(folder, name)
		if err != nil {
			t.Fatal(err)
		}
		dirs = append(dirs, d)
	}
	a, b, c, other := dirs[0], dirs[1], dirs[2], dirs[3]
	c.Close()
	expect(t, "one that has told nothing yet, one that never did", a, []Record{{}}, nil, 0)
	if err := b.Publish(want); err != nil {
		t.Fatal(err)
	}
	expect(t, "told", a, []Record{want}, nil, 0)
	expect(t, "another balancer", other, nil, nil, 0)
	if err := os.WriteFile(filepath.Join(b.path, b.own+".record"), []byte("salttrack-handover 9 0 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range 3 { // it is told once, and its process counts as alive
		expect(t, "a damaged record", a, []Record{{}}, nil, 1-min(i, 1))
	}
	b.last = nil
	if err := b.Publish(want); err != nil {
		t.Fatal(err)
	}
	b.Close()
	expect(t, "after its end", a, nil, []Record{want}, 0)
	expect(t, "told again", a, nil, nil, 0)
	a.Close()
	if files, _ := os.ReadDir(a.path); len(files) != 1 { // its own lock; it never published
		t.Errorf("%d files are left", len(files))
	}
}
