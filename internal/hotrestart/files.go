package hotrestart

import (
	"errors"
	"os"
)

// FileSystem is the file system on which records are written.
// Tests and the fault layer replace it to make calls fail, and tests also to simulate a kill at any call.
type FileSystem interface {
	// Write creates or overwrites a file, and returns once its content is on stable storage.
	Write(path string, text []byte) error
	// Rename renames a file. It replaces an existing file of the new name.
	Rename(from, to string) error
	// Sync returns once the entries of a directory are on stable storage.
	Sync(directory string) error
	// Remove removes a file.
	Remove(path string) error
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Write writes and syncs a file.
func (OSFileSystem) Write(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename renames a file.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Sync syncs a directory.
func (OSFileSystem) Sync(directory string) error {
	f, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }
