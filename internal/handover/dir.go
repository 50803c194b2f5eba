package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// recordMost bounds what is read of one record.
const recordMost = 1 << 20

// Dir is a store in a folder that the processes of one balancer share. It is small and in memory, so its calls are made
// on the loop.
type Dir struct {
	path string
	own  string // the name of this process's files, without their endings
	lock *os.File
	last []byte
	told map[string]time.Time // records that were told as faulty, and of when they were
}

// Open joins the processes of the balancer of a name in a folder.
func Open(folder, name string) (*Dir, error) {
	h := fnv.New64a()
	h.Write([]byte(name))
	path := filepath.Join(folder, fmt.Sprintf("salttrack-%016x", h.Sum64()))
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	lock, err := os.CreateTemp(path, "p")
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
		err = os.Rename(lock.Name(), lock.Name()+".lock") // others see it locked or not at all
	}
	if err != nil {
		lock.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Dir{path: path, own: filepath.Base(lock.Name()), lock: lock, told: map[string]time.Time{}}, nil
}

// Publish replaces this process's record, whole.
func (d *Dir) Publish(r Record) error {
	p, err := encode(r)
	if err != nil || string(p) == string(d.last) {
		return err
	}
	next := filepath.Join(d.path, d.own+".new")
	if err := os.WriteFile(next, p, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(next, filepath.Join(d.path, d.own+".record")); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	d.last = p
	return nil
}

// Others returns the records of the others. A process is gone when its lock is free.
func (d *Dir) Others() (live, gone []Record, faults []error) {
	names, err := os.ReadDir(d.path)
	if err != nil {
		return nil, nil, []error{fmt.Errorf("handover: %w", err)}
	}
	for _, e := range names {
		name, ok := strings.CutSuffix(e.Name(), ".lock")
		if !ok || name == d.own {
			continue
		}
		dead := free(filepath.Join(d.path, e.Name()))
		r, err := d.read(name)
		switch {
		case err != nil && !errors.Is(err, os.ErrNotExist): // it may not have published yet
			faults = append(faults, fmt.Errorf("handover: %s: %w", name, err))
			if !dead {
				live = append(live, Record{})
			}
		case dead && err == nil:
			gone = append(gone, r)
		case !dead:
			live = append(live, r)
		}
		if dead {
			for _, ending := range [...]string{".record", ".new", ".lock"} {
				os.Remove(filepath.Join(d.path, name+ending))
			}
			delete(d.told, name)
		}
	}
	return live, gone, faults
}

// free reports whether nobody holds a lock.
func free(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil
}

// read reads the record of another process. A fault is told once for each text.
func (d *Dir) read(name string) (Record, error) {
	path := filepath.Join(d.path, name+".record")
	info, err := os.Stat(path)
	if err != nil {
		return Record{}, os.ErrNotExist
	}
	if info.Size() > recordMost {
		err = fmt.Errorf("record of %d bytes", info.Size())
	}
	var r Record
	if err == nil {
		var p []byte
		if p, err = os.ReadFile(path); err == nil {
			r, err = decode(p)
		}
	}
	if err != nil {
		if d.told[name].Equal(info.ModTime()) {
			return Record{}, os.ErrNotExist
		}
		d.told[name] = info.ModTime()
	}
	return r, err
}

// Close gives the lock up. The record stays for the others.
func (d *Dir) Close() { d.lock.Close() }
