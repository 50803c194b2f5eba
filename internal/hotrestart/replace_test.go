package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

var errKilled = errors.New("killed")

// failingFiles are the system's, but that one call fails, or that the process is killed at it and makes no further call.
type failingFiles struct {
	OSFileSystem
	failAt     int   // the call, counted from 0
	err        error // errKilled: this call and all further ones fail
	writesHalf bool  // a failing write leaves half of its text
	calls      int
}

// fails counts a call, and reports whether it fails.
func (f *failingFiles) fails() bool {
	n := f.calls
	f.calls++
	return n == f.failAt || f.err == errKilled && n > f.failAt
}

func (f *failingFiles) Write(path string, text []byte) error {
	if f.fails() {
		if f.writesHalf && f.calls-1 == f.failAt {
			os.WriteFile(path, text[:len(text)/2], 0o600)
		}
		return f.err
	}
	return f.OSFileSystem.Write(path, text)
}

func (f *failingFiles) Rename(from, to string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Rename(from, to)
}

func (f *failingFiles) Sync(directory string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Sync(directory)
}

func (f *failingFiles) Remove(path string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Remove(path)
}

// replacement is one case of TestReplacedCompletelyOrNot.
type replacement struct {
	failingFiles
	first bool // the process has published no record before
}

// Name is the case as failures quote it.
func (r replacement) name() string {
	return fmt.Sprintf("%v at call %d, writes half %v, first record %v", r.err, r.failAt, r.writesHalf, r.first)
}

// A record is replaced completely or not at all. Whichever call fails, the peers read the old record and the writer has an error, or they
// read the new one; success means the new one. After a kill at any call, or half way through a write, the peers read one of the two.
func TestReplacedCompletelyOrNot(t *testing.T) {
	for _, err := range []error{unix.ENOSPC, unix.EIO, errKilled} {
		for _, writesHalf := range []bool{false, true} {
			for _, first := range []bool{false, true} {
				for failAt := 0; ; failAt++ {
					r := replacement{failingFiles{failAt: failAt, err: err, writesHalf: writesHalf}, first}
					r.check(t)
					if r.calls <= failAt { // each call was made to fail
						break
					}
				}
			}
		}
	}
}

// check publishes a record with a call that fails, and checks what a peer reads.
func (r *replacement) check(t *testing.T) {
	t.Helper()
	parent := t.TempDir()
	writer, peer := openProcess(t, parent, "n"), openProcess(t, parent, "n")
	defer writer.Close()
	defer peer.Close()
	old := testRecord(map[string]Override{"s-1": {Disabled: true, SetAt: 5, Version: 5}})
	next := testRecord(map[string]Override{"s-1": {SetAt: 6, Version: 6}, "s-2": {Disabled: true, SetAt: 6, Version: 7}})
	if r.first {
		old = Record{}
	} else if err := writer.Publish(old, nil); err != nil {
		t.Fatal(err)
	}
	writer.files = &r.failingFiles
	err := writer.Publish(next, nil)
	peers, _ := peer.Peers()
	if len(peers.Live) != 1 || len(peers.Unreadable) != 0 {
		t.Fatalf("%s: the peer reads %+v", r.name(), peers)
	}
	got := peers.Live[0].Record
	switch {
	case err == nil && !cmp.Equal(got, next):
		t.Errorf("%s: success, and the peer reads %+v", r.name(), got)
	case err != nil && r.err != errKilled && !cmp.Equal(got, old):
		t.Errorf("%s: an error, and the peer reads %+v", r.name(), got)
	case !cmp.Equal(got, next) && !cmp.Equal(got, old):
		t.Errorf("%s: the peer reads %+v", r.name(), got)
	}
	if err != nil && r.err != errKilled {
		writer.files = OSFileSystem{}
		if err := writer.Publish(next, nil); err != nil {
			t.Errorf("%s: %v when the calls no longer fail", r.name(), err)
		}
	}
}
