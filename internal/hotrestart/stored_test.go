package hotrestart

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// storedRecords returns the decoded content of the records in testdata, which the program of commit 77548c0 has written.
func storedRecords() map[string]Record {
	firstName, escapedName, nameWithSlash := "s-0", "<&>\"\\ü\u2028", "a/b.c %"
	disabled := Override{Disabled: true, SetAt: 1796291727723.053, Version: 1796291727723, SetAtUptime: 697219.118379}
	several := map[string]Override{
		firstName:     disabled,
		escapedName:   {Disabled: true, SetAt: 1796291727740.266, Version: 1796291727740, SetAtUptime: 697236.33145},
		nameWithSlash: {Disabled: true, SetAt: 1796291727736.416, Version: 1796291727736, SetAtUptime: 697232.480778},
		"s-1":         {SetAt: 1796291727745.002, Version: 1796291727745, SetAtUptime: 697241.067308},
	}
	return map[string]Record{
		"ready":             {Ready: true, Overrides: map[string]Override{}},
		"one-disabled":      {Ready: true, Overrides: map[string]Override{firstName: disabled}},
		"several-overrides": {Ready: true, Overrides: several},
		"merged-from-peer":  {Ready: true, Overrides: several},
		"shutting-down":     {ShuttingDown: true, Overrides: several},
	}
}

func storedRecord(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "77548c0", name+".record"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Records that the program of commit 77548c0 has written are decoded, and encoding the same state gives the same bytes.
// So this program and that one can read each other's records.
func TestStoredRecords(t *testing.T) {
	for name, want := range storedRecords() {
		stored := storedRecord(t, name)
		got, err := decode(stored)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
		written, err := encode(want)
		if diff := cmp.Diff(string(stored), string(written)); err != nil || diff != "" {
			t.Errorf("%s: encoding gives other bytes: %v %s", name, err, diff)
		}
	}
}

// The directory and the files have the names under which processes of other program versions look for them.
func TestStoredFileNames(t *testing.T) {
	parent := t.TempDir()
	d := openProcess(t, parent, "n1")
	defer d.Close()
	want := storedRecords()["shutting-down"]
	if err := d.Publish(want, nil); err != nil {
		t.Fatal(err)
	}
	const directoryName = "salttrack-08b37b07b558d4c0" // with the FNV-1a hash of "n1"
	records, _ := filepath.Glob(filepath.Join(parent, directoryName, "p*.record"))
	locks, _ := filepath.Glob(filepath.Join(parent, directoryName, "p*.lock"))
	if len(records) != 1 || len(locks) != 1 {
		t.Fatalf("records %v, locks %v", records, locks)
	}
	text, err := os.ReadFile(records[0])
	if diff := cmp.Diff(string(storedRecord(t, "shutting-down")), string(text)); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
}

// A record that another program version has written counts as that of a peer process, which is live while its lock is held.
func TestStoredPeer(t *testing.T) {
	parent := t.TempDir()
	peer := openProcess(t, parent, "n1")
	if err := os.WriteFile(peer.file(peer.process, recordSuffix), storedRecord(t, "several-overrides"), 0o600); err != nil {
		t.Fatal(err)
	}
	d := openProcess(t, parent, "n1")
	defer d.Close()
	want := storedRecords()["several-overrides"]
	expectPeers(t, "a live peer of another program version", d, []Record{want}, nil, 0)
	peer.Close()
	expectPeers(t, "the same peer after its exit", d, nil, []Record{want}, 0)
}
