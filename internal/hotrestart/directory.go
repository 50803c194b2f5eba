package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// maxRecordSize bounds what is read of one record, in bytes.
const maxRecordSize = 1 << 20

// The endings of a process's files. A process lives as long as its lock file is locked.
const (
	lockEnding   = ".lock"
	recordEnding = ".record"
)

// Directory is a store in a directory that the processes of one balancer share.
type Directory struct {
	path      string
	process   string            // the name of this process's files, without their endings
	lock      *os.File          // held, and owned, until Close
	published []byte            // this process's record as it is stored, nil if there is none
	reported  map[string]uint64 // hashes of the errors that were reported, by the process whose record has them
	files     FileSystem
}

// OpenDirectory joins the processes of the named balancer in a directory below the given one. Records are written by the given calls.
func OpenDirectory(parent, balancer string, files FileSystem) (*Directory, error) {
	hash := fnv.New64a()
	hash.Write([]byte(balancer))
	path := filepath.Join(parent, fmt.Sprintf("salttrack-%016x", hash.Sum64()))
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, &StorageError{err}
	}
	lock, err := createLock(path)
	if err != nil {
		return nil, &StorageError{err}
	}
	return &Directory{
		path:     path,
		process:  filepath.Base(lock.Name()),
		lock:     lock,
		reported: map[string]uint64{},
		files:    files,
	}, nil
}

// createLock creates and locks the lock file of a new process. The file gets its ending once it is locked, so that no other process
// sees it unlocked. Its Name is the one without the ending.
func createLock(directory string) (*os.File, error) {
	lock, err := os.CreateTemp(directory, "p")
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		err = os.Rename(lock.Name(), lock.Name()+lockEnding)
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return lock, nil
}

// file is the path of a process's file with an ending.
func (d *Directory) file(process, ending string) string {
	return filepath.Join(d.path, process+ending)
}

// Publish replaces this process's record, completely or not at all.
func (d *Directory) Publish(r Record, merged []string) error {
	stored, err := encode(r)
	if err != nil {
		return err
	}
	if string(stored) != string(d.published) {
		if err := replaceFile(d.files, d.file(d.process, recordEnding), d.published, stored); err != nil {
			return &StorageError{err}
		}
		d.published = stored
	}
	for _, process := range merged {
		d.remove(process)
	}
	return nil
}

// remove removes the files of a process that has exited, also those that it was writing and those of older versions.
func (d *Directory) remove(process string) {
	for _, ending := range [...]string{recordEnding, recordEnding + temporaryEnding, temporaryEnding, lockEnding} {
		d.files.Remove(d.file(process, ending))
	}
	delete(d.reported, process)
}

// Peers returns the records of the other processes.
func (d *Directory) Peers() (PeerRecords, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return PeerRecords{}, &StorageError{err}
	}
	var peers PeerRecords
	for _, entry := range entries {
		process, isLock := strings.CutSuffix(entry.Name(), lockEnding)
		if !isLock || process == d.process {
			continue
		}
		// The lock comes first: a process that publishes and exits between the two steps counts as live with its last record.
		exited := isUnlocked(d.file(process, lockEnding))
		r, err := d.readRecord(process)
		if err != nil {
			peers.Unreadable = append(peers.Unreadable, &RecordError{Process: process, Err: err})
		}
		peer := PeerRecord{Process: process, Record: r}
		if exited {
			peers.Exited = append(peers.Exited, peer)
		} else {
			peers.Live = append(peers.Live, peer)
		}
	}
	return peers, nil
}

// isUnlocked reports whether no process holds a lock.
func isUnlocked(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil
}

// readRecord reads the record of another process, the zero record if there is none. The same error with the same bytes is returned once,
// since a peer's record is read again and again.
func (d *Directory) readRecord(process string) (Record, error) {
	var r Record
	stored, err := readBounded(d.file(process, recordEnding))
	if err == nil {
		r, err = decode(stored)
	}
	if err == nil || errors.Is(err, os.ErrNotExist) {
		delete(d.reported, process)
		return r, nil
	}
	hash := xxhash.Sum64String(err.Error() + string(stored))
	if d.reported[process] == hash {
		return Record{}, nil
	}
	d.reported[process] = hash
	return Record{}, err
}

// readBounded reads a file that may be as long as a record.
func readBounded(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxRecordSize+1))
	if err == nil && len(text) > maxRecordSize {
		err = &TooLongError{Max: maxRecordSize}
	}
	return text, err
}

// Close releases the lock. The record stays for the other processes.
func (d *Directory) Close() { d.lock.Close() }
