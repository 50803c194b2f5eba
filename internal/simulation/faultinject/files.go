package faultinject

import (
	"time"

	"golang.org/x/sys/unix"
)

// FileCall is the name of a file operation in a fault schedule.
type FileCall string

// The file operations that can fail or be delayed.
const (
	FileWrite  FileCall = "file_write"
	FileRename FileCall = "file_rename"
	FileSync   FileCall = "file_sync"
	FileRemove FileCall = "file_remove"
)

// FileRule delays a file operation, and makes it fail if the rule has an error.
type FileRule struct {
	Call       FileCall `json:"call"`
	ErrnoName  string   `json:"errno"`    // "" delays the operation and lets it proceed
	FromMS     float64  `json:"from_ms"`  // ms after NewFiles at which the rule begins to apply
	DurationMS float64  `json:"for_ms"`   // ms for which the rule applies; 0 means without end
	DelayMS    float64  `json:"delay_ms"` // ms by which the operation is delayed

	errno unix.Errno // value of ErrnoName, set by schedule.resolve
}

// active reports whether the rule applies when the given time has elapsed since NewFiles.
func (r *FileRule) active(elapsed time.Duration) bool {
	if elapsed < milliseconds(r.FromMS) {
		return false
	}
	return r.DurationMS == 0 || elapsed < milliseconds(r.FromMS+r.DurationMS)
}

// milliseconds converts ms to a time.Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// FileSystem is the set of file operations that Files wraps.
// It has the methods of hotrestart.FileSystem.
type FileSystem interface {
	Write(path string, data []byte) error
	Rename(from, to string) error
	Sync(dir string) error
	Remove(path string) error
}

// Files is a FileSystem that injects delays and errors into the operations of another one.
type Files struct {
	inner     FileSystem
	rules     []FileRule
	createdAt time.Time
}

// NewFiles returns inner with the faults of the rules. The times of the rules count from this call.
func NewFiles(inner FileSystem, rules []FileRule) *Files {
	return &Files{inner: inner, rules: rules, createdAt: time.Now()}
}

// failure sleeps for the delays of the active rules, up to the first rule that has an error, and returns that error.
// It returns nil if the operation is to be carried out.
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

// Write writes a file after the injected delay. It returns the injected error if there is one.
func (f *Files) Write(path string, data []byte) error {
	if err := f.failure(FileWrite); err != nil {
		return err
	}
	return f.inner.Write(path, data)
}

// Rename renames a file after the injected delay. It returns the injected error if there is one.
func (f *Files) Rename(from, to string) error {
	if err := f.failure(FileRename); err != nil {
		return err
	}
	return f.inner.Rename(from, to)
}

// Sync syncs a directory to stable storage after the injected delay. It returns the injected error if there is one.
func (f *Files) Sync(dir string) error {
	if err := f.failure(FileSync); err != nil {
		return err
	}
	return f.inner.Sync(dir)
}

// Remove removes a file after the injected delay. It returns the injected error if there is one.
func (f *Files) Remove(path string) error {
	if err := f.failure(FileRemove); err != nil {
		return err
	}
	return f.inner.Remove(path)
}
