package storage

import (
	"io"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
)

// File provides the file operations that logs and snapshots use.
type File interface {
	LogFile
	io.Writer
}

// FileSystem provides the operations that change a data directory and that fail on a full
// disk. Tests replace it.
type FileSystem interface {
	OpenFile(path string, flag int, mode fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the directory entries of path durable.
	SyncDir(path string) error
}

// OSFiles is the file system of the operating system.
type OSFiles struct{}

var _ FileSystem = OSFiles{}

// OpenFile implements FileSystem.
func (OSFiles) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // a nil *os.File is no nil File
	}
	return f, nil
}

// Rename implements FileSystem.
func (OSFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFiles) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FileSystem.
func (OSFiles) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	defer dir.Close()
	return eris.Wrap(dir.Sync(), "sync folder")
}
