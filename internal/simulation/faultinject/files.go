package faultinject

import (
	"time"

	"golang.org/x/sys/unix"
)

// FileCall is the name of a call on files that can fail, as schedules give it.
type FileCall string

// The calls on files.
const (
	FileWrite  FileCall = "file_write"
	FileRename FileCall = "file_rename"
	FileSync   FileCall = "file_sync"
	FileRemove FileCall = "file_remove"
)

// FileRule tells how a call on files fails: after a delay, with an error if there is one.
type FileRule struct {
	Call       FileCall `json:"call"`
	ErrnoName  string   `json:"errno"` // "" for a call that is slow only
	FromMS     float64  `json:"from_ms"`
	DurationMS float64  `json:"for_ms"` // 0 for no end
	DelayMS    float64  `json:"delay_ms"`

	errno unix.Errno // of ErrnoName
}

// active reports whether the rule applies at a time after the start.
func (r *FileRule) active(elapsed time.Duration) bool {
	if elapsed < milliseconds(r.FromMS) {
		return false
	}
	return r.DurationMS == 0 || elapsed < milliseconds(r.FromMS+r.DurationMS)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FileSystem are the calls on files that Files wraps, as package hotrestart makes them.
type FileSystem interface {
	Write(path string, data []byte) error
	Rename(from, to string) error
	Sync(dir string) error
	Remove(path string) error
}

// Files are calls on files that fail or are slow.
type Files struct {
	inner     FileSystem
	rules     []FileRule
	createdAt time.Time
}

// NewFiles wraps calls on files. The times of the rules count from now on.
func NewFiles(inner FileSystem, rules []FileRule) *Files {
	return &Files{inner: inner, rules: rules, createdAt: time.Now()}
}

// failure waits as long as the rules say, and returns the error of a call, nil if it is to be made.
func (f *Files) failure(call FileCall) error {
	elapsed := time.Since(f.createdAt)
	for i := range f.rules {
		rule := &f.rules[i]
		if rule.Call != call || !rule.active(elapsed) {
			continue
		}
		time.Sleep(milliseconds(rule.DelayMS))
		if rule.ErrnoName != "" {
			return rule.errno
		}
	}
	return nil
}

// Write writes a file, or fails.
func (f *Files) Write(path string, data []byte) error {
	if err := f.failure(FileWrite); err != nil {
		return err
	}
	return f.inner.Write(path, data)
}

// Rename renames a file, or fails.
func (f *Files) Rename(from, to string) error {
	if err := f.failure(FileRename); err != nil {
		return err
	}
	return f.inner.Rename(from, to)
}

// Sync syncs a directory, or fails.
func (f *Files) Sync(dir string) error {
	if err := f.failure(FileSync); err != nil {
		return err
	}
	return f.inner.Sync(dir)
}

// Remove removes a file, or fails.
func (f *Files) Remove(path string) error {
	if err := f.failure(FileRemove); err != nil {
		return err
	}
	return f.inner.Remove(path)
}
