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

// failingFileSystem is the file system of the operating system with one failing call.
// With errKilled all calls after it fail too, as if the process had been killed at that call.
type failingFileSystem struct {
	OSFileSystem
	failAt     int   // index of the failing call, counted from 0
	err        error // error of the failing call
	writesHalf bool  // whether a failing write leaves the first half of its content
	calls      int   // number of calls so far
}

// fails counts a call and reports whether the call has to fail.
func (f *failingFileSystem) fails() bool {
	n := f.calls
	f.calls++
	return n == f.failAt || f.err == errKilled && n > f.failAt
}

func (f *failingFileSystem) Write(path string, text []byte) error {
	if f.fails() {
		if f.writesHalf && f.calls-1 == f.failAt {
			os.WriteFile(path, text[:len(text)/2], 0o600)
		}
		return f.err
	}
	return f.OSFileSystem.Write(path, text)
}

func (f *failingFileSystem) Rename(from, to string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Rename(from, to)
}

func (f *failingFileSystem) Sync(directory string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Sync(directory)
}

func (f *failingFileSystem) Remove(path string) error {
	if f.fails() {
		return f.err
	}
	return f.OSFileSystem.Remove(path)
}

// replacement is one case of TestReplacementIsAtomic.
type replacement struct {
	failingFileSystem
	first bool // whether the process has not published a record before
}

// name describes the case for failure messages.
func (r replacement) name() string {
	return fmt.Sprintf("%v at call %d, writes half %v, first record %v", r.err, r.failAt, r.writesHalf, r.first)
}

// A record is replaced atomically, whichever file system call fails. If the writer reports success, its peers read the new record.
// If it reports an error, they read the old one. If it is killed at a call or halfway through a write, they read one of the two.
func TestReplacementIsAtomic(t *testing.T) {
	for _, err := range []error{unix.ENOSPC, unix.EIO, errKilled} {
		for _, writesHalf := range []bool{false, true} {
			for _, first := range []bool{false, true} {
				for failAt := 0; ; failAt++ {
					r := replacement{failingFileSystem{failAt: failAt, err: err, writesHalf: writesHalf}, first}
					r.check(t)
					if r.calls <= failAt { // there is no further call that could fail
						break
					}
				}
			}
		}
	}
}

// check publishes a record on the failing file system, and checks which record a peer reads.
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
	writer.files = &r.failingFileSystem
	err := writer.Publish(next, nil)
	peers, _ := peer.Peers()
	if len(peers.Live) != 1 || len(peers.Unreadable) != 0 {
		t.Fatalf("%s: the peer reads %+v", r.name(), peers)
	}
	got := peers.Live[0].Record
	switch {
	case err == nil && !cmp.Equal(got, next):
		t.Errorf("%s: Publish succeeds, but the peer reads %+v", r.name(), got)
	case err != nil && r.err != errKilled && !cmp.Equal(got, old):
		t.Errorf("%s: Publish fails, but the peer reads %+v", r.name(), got)
	case !cmp.Equal(got, next) && !cmp.Equal(got, old):
		t.Errorf("%s: the peer reads %+v", r.name(), got)
	}
	if err != nil && r.err != errKilled {
		writer.files = OSFileSystem{}
		if err := writer.Publish(next, nil); err != nil {
			t.Errorf("%s: Publish fails with %v after the file system recovered", r.name(), err)
		}
	}
}
