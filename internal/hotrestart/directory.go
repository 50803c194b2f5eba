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

// maxRecordSize is the maximum size of a stored record that is read, in bytes.
const maxRecordSize = 1 << 20

// Suffixes of the names of a process's files. A process is live as long as it holds the lock on its lock file.
const (
	lockSuffix   = ".lock"
	recordSuffix = ".record"
)

// Directory is a Store in a directory that the processes of one balancer share.
type Directory struct {
	path      string
	process   string            // name of this process's files without the suffix
	lock      *os.File          // locked file, which is kept open until Close
	published []byte            // stored record of this process, nil if there is none
	reported  map[string]uint64 // hash of the last reported error and of the invalid record, by process
	files     FileSystem
}

// OpenDirectory opens the store of the named balancer, in a subdirectory of the parent directory.
// It creates and locks the lock file of this process. Records are written through the given file system.
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

// createLock creates and locks the lock file of a new process.
// The file gets its suffix after it is locked, so that no other process sees it unlocked.
// The Name of the returned file is the one without the suffix.
func createLock(directory string) (*os.File, error) {
	lock, err := os.CreateTemp(directory, "p")
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		err = os.Rename(lock.Name(), lock.Name()+lockSuffix)
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return lock, nil
}

// file returns the path of a process's file with the given suffix.
func (d *Directory) file(process, suffix string) string {
	return filepath.Join(d.path, process+suffix)
}

// Publish replaces the record of this process atomically.
func (d *Directory) Publish(r Record, merged []string) error {
	stored, err := encode(r)
	if err != nil {
		return err
	}
	if string(stored) != string(d.published) {
		if err := replaceFile(d.files, d.file(d.process, recordSuffix), d.published, stored); err != nil {
			return &StorageError{err}
		}
		d.published = stored
	}
	for _, process := range merged {
		d.remove(process)
	}
	return nil
}

// remove removes the files of a process that has exited. They include its temporary files, and those of older program versions.
func (d *Directory) remove(process string) {
	for _, suffix := range [...]string{recordSuffix, recordSuffix + temporarySuffix, temporarySuffix, lockSuffix} {
		d.files.Remove(d.file(process, suffix))
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
		peers.FileBytes += fileBytes(entry)
		process, isLock := strings.CutSuffix(entry.Name(), lockSuffix)
		if !isLock || process == d.process {
			continue
		}
		// The lock has to be checked before the record is read.
		// Then a process that publishes and exits in between counts as live, with its last record.
		// In the other order it would count as exited, with an outdated record.
		exited := isUnlocked(d.file(process, lockSuffix))
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

// fileBytes returns the size of a file in bytes, 0 if it was removed.
func fileBytes(entry os.DirEntry) int {
	info, err := entry.Info()
	if err != nil {
		return 0
	}
	return int(info.Size())
}

// isUnlocked reports whether no process holds the lock on a file.
func isUnlocked(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil
}

// readRecord reads the record of another process. It returns the zero Record if there is none.
// Since records are read repeatedly, an error is returned only once, until the error or the stored bytes change.
func (d *Directory) readRecord(process string) (Record, error) {
	var r Record
	stored, err := readBounded(d.file(process, recordSuffix))
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

// readBounded reads a file of at most maxRecordSize bytes. For a longer file it returns a *TooLongError.
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

// Close releases the lock, which marks the process as exited. Its record stays for the other processes.
func (d *Directory) Close() { d.lock.Close() }
