package hotrestart

import (
	"errors"
	"path/filepath"
)

// temporarySuffix is added to the name of a file while it is being written.
const temporarySuffix = ".new"

// replaceFile replaces a file atomically. The parameter old is its present content, nil if it does not exist.
// If the process is killed at any point, the file has its old or its new content.
// If an error is returned, it has its old content, unless restoring that failed.
func replaceFile(files FileSystem, path string, old, text []byte) error {
	if err := writeAndRename(files, path, text); err != nil {
		return err
	}
	err := files.Sync(filepath.Dir(path))
	if err == nil {
		return nil
	}
	return errors.Join(err, restoreFile(files, path, old))
}

// restoreFile undoes a replacement that may not be on stable storage. It removes the file if old is nil.
func restoreFile(files FileSystem, path string, old []byte) error {
	if old == nil {
		return files.Remove(path)
	}
	return writeAndRename(files, path, old)
}

// writeAndRename writes a temporary file and renames it to the given path.
func writeAndRename(files FileSystem, path string, text []byte) error {
	temporary := path + temporarySuffix
	if err := files.Write(temporary, text); err != nil {
		return err
	}
	return files.Rename(temporary, path)
}
