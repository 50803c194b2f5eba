package hotrestart

import (
	"errors"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

// openProcess opens the store of a balancer, as a new process does.
func openProcess(t *testing.T, parent, balancer string) *Directory {
	t.Helper()
	d, err := OpenDirectory(parent, balancer, OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// expectPeers checks which records of other processes a process reads, and how many of them are unreadable.
func expectPeers(t *testing.T, what string, d *Directory, live, exited []Record, unreadable int) {
	t.Helper()
	peers, err := d.Peers()
	records := func(peers []PeerRecord) (records []Record) {
		for _, peer := range peers {
			records = append(records, peer.Record)
		}
		return records
	}
	diff := cmp.Diff([][]Record{live, exited}, [][]Record{records(peers.Live), records(peers.Exited)})
	if diff != "" || len(peers.Unreadable) != unreadable || err != nil {
		t.Errorf("%s: %s %v %v", what, diff, peers.Unreadable, err)
	}
}

// The processes of one balancer read each other's records. The record of an exited process stays until another process has merged it.
func TestPeers(t *testing.T) {
	parent, want := t.TempDir(), testRecord(map[string]Override{"s-1": {Disabled: true, SetAt: 7}})
	reader, publisher := openProcess(t, parent, "n1"), openProcess(t, parent, "n1")
	withoutRecord, otherBalancer := openProcess(t, parent, "n1"), openProcess(t, parent, "n2")
	withoutRecord.Close()
	expectPeers(t, "one live and one exited process without records", reader, []Record{{}}, []Record{{}}, 0)
	reader.remove(withoutRecord.process)
	if err := publisher.Publish(want, nil); err != nil {
		t.Fatal(err)
	}
	expectPeers(t, "a published record", reader, []Record{want}, nil, 0)
	expectPeers(t, "another balancer", otherBalancer, nil, nil, 0)
	publisher.Close()
	expectPeers(t, "after the publisher's exit", reader, nil, []Record{want}, 0)
	expectPeers(t, "a second read before the record is merged", reader, nil, []Record{want}, 0)
	if err := reader.Publish(want, []string{publisher.process}); err != nil {
		t.Fatal(err)
	}
	expectPeers(t, "after the record is merged", reader, nil, nil, 0)
	reader.Close()
	if files, _ := os.ReadDir(reader.path); len(files) != 2 {
		t.Errorf("%d files remain, want the reader's lock and record", len(files))
	}
}

// An unreadable record is reported once, and its process still counts as live.
func TestUnreadableRecord(t *testing.T) {
	parent, want := t.TempDir(), testRecord(nil)
	reader, publisher := openProcess(t, parent, "n1"), openProcess(t, parent, "n1")
	defer reader.Close()
	defer publisher.Close()
	overwriteRecord := func(text string) {
		if err := os.WriteFile(publisher.file(publisher.process, recordSuffix), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overwriteRecord("salttrack-handover 9 0 0\n")
	peers, err := reader.Peers()
	var recordErr *RecordError
	var versionErr *FormatVersionError
	if err != nil || len(peers.Unreadable) != 1 || !errors.As(peers.Unreadable[0], &recordErr) || recordErr.Process != publisher.process ||
		!errors.As(recordErr, &versionErr) || versionErr.Version != 9 {
		t.Errorf("%v, %v", peers.Unreadable, err)
	}
	for range 2 {
		expectPeers(t, "the same record again", reader, []Record{{}}, nil, 0)
	}
	overwriteRecord("salttrack-handover 8 0 0\n")
	expectPeers(t, "another unreadable record", reader, []Record{{}}, nil, 1)
	if err := publisher.Publish(want, nil); err != nil {
		t.Fatal(err)
	}
	expectPeers(t, "a readable record", reader, []Record{want}, nil, 0)
}

// The record of a process that has exited stays until another process has stored it.
func TestExitedUntilMerged(t *testing.T) {
	parent := t.TempDir()
	exited, successor := openProcess(t, parent, "n"), openProcess(t, parent, "n")
	defer successor.Close()
	want := testRecord(map[string]Override{"s-1": {Disabled: true, SetAt: 5}})
	if err := exited.Publish(want, nil); err != nil {
		t.Fatal(err)
	}
	exited.Close()
	successor.files = &failingFileSystem{failAt: 0, err: unix.ENOSPC}
	err := successor.Publish(want, []string{exited.process})
	if err == nil {
		t.Error("published on a full disk")
	}
	if storageErr := (*StorageError)(nil); !errors.As(err, &storageErr) || !errors.Is(err, unix.ENOSPC) || err.Error() != "handover: no space left on device" {
		t.Errorf("error %q", err)
	}
	if _, err := os.Stat(exited.file(exited.process, recordSuffix)); err != nil {
		t.Error("the record is removed though no other process has stored its overrides")
	}
	successor.files = OSFileSystem{}
	if err := successor.Publish(want, []string{exited.process}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(exited.file(exited.process, recordSuffix)); err == nil {
		t.Error("the record is not removed though another process has merged it")
	}
}
