package hotrestart

import (
	"errors"
	"path/filepath"
)

// temporaryEnding is added to the name of a file that is being written.
const temporaryEnding = ".new"

// replaceFile replaces a file, whose present text is given, nil if there is none. After a kill at any point the file is the old one or
// the new one. With an error it is the old one, unless the system refuses to rename it back.
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

// restoreFile takes back a replacement that may not be on stable storage.
func restoreFile(files FileSystem, path string, old []byte) error {
	if old == nil {
		return files.Remove(path)
	}
	return writeAndRename(files, path, old)
}

// writeAndRename writes a text to a temporary file, which then gets the name of the other.
func writeAndRename(files FileSystem, path string, text []byte) error {
	temporary := path + temporaryEnding
	if err := files.Write(temporary, text); err != nil {
		return err
	}
	return files.Rename(temporary, path)
}
