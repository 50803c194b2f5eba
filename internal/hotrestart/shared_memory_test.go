package hotrestart

import (
	"errors"
	"testing"
)

// What one process writes to the memory, the others read, also after it has closed its directory.
func TestSharedMemory(t *testing.T) {
	parent := t.TempDir()
	open := func() (*Directory, []byte) {
		d, err := OpenDirectory(parent, "n1", OSFileSystem{})
		if err != nil {
			t.Fatal(err)
		}
		memory, err := d.SharedMemory("ids", 8192)
		if err != nil || len(memory) != 8192 {
			t.Fatalf("%d bytes, %v", len(memory), err)
		}
		return d, memory
	}
	first, written := open()
	second, read := open()
	defer second.Close()
	written[8191] = 7
	if read[0] != 0 || read[8191] != 7 {
		t.Errorf("the other process reads %d and %d, want 0 and 7", read[0], read[8191])
	}
	first.Close()
	third, later := open()
	defer third.Close()
	if later[8191] != 7 {
		t.Errorf("a later process reads %d, want 7", later[8191])
	}
	peers, err := second.Peers()
	if err != nil || len(peers.Unreadable) != 0 {
		t.Errorf("the file disturbs the records: %+v, %v", peers, err)
	}
}

// An error names the storage, as those of records do.
func TestSharedMemoryFails(t *testing.T) {
	d, err := OpenDirectory(t.TempDir(), "n1", OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	var storage *StorageError
	if _, err := d.SharedMemory("missing/ids", 8192); !errors.As(err, &storage) {
		t.Errorf("%v, want a StorageError", err)
	}
}
