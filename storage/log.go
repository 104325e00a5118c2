// Package storage stores durable records in a data directory. A record is durable
// only after a sync of its file and, for a new file, of its directory.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the size of a record header: length and checksum, 4 bytes each.
	headerBytes = 8
	// maxRecordBytes limits the size of a record, so that a corrupt length cannot
	// exhaust memory.
	maxRecordBytes = 64 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports corruption other than a torn write at the end of a log.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: damaged record at offset %d: %s", e.File, e.Offset, e.Reason)
}

// LogFile provides the file operations that a Log uses.
type LogFile interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Stat() (os.FileInfo, error)
	Close() error
}

// Log is an append-only file of checksummed records. It is not safe for
// concurrent use.
type Log struct {
	file      LogFile
	path      string
	endOffset int64
	// failure is the first write or sync error. The content of the disk is unknown
	// after it, so no further append is acknowledged.
	failure error
}

// OpenLog opens or creates a log and passes every complete record to visit. It
// truncates a last record that is incomplete or fails its checksum.
func OpenLog(path string, visit func(record []byte) error) (*Log, error) {
	return openLog(OSFiles{}, path, visit)
}

func openLog(files FileSystem, path string, visit func(record []byte) error) (*Log, error) {
	file, err := files.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	if err := files.SyncDir(filepath.Dir(path)); err != nil {
		file.Close()
		return nil, err
	}
	l := &Log{file: file, path: path}
	if err := l.replay(visit); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

// replay passes every complete record to visit and truncates a torn tail.
func (l *Log) replay(visit func([]byte) error) error {
	info, err := l.file.Stat()
	if err != nil {
		return eris.Wrap(err, "size of log")
	}
	for l.endOffset < info.Size() {
		record, err := l.readRecord(l.endOffset, info.Size())
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return l.truncateTail()
		}
		if err != nil {
			return err
		}
		if err := visit(record); err != nil {
			return err
		}
		l.endOffset += headerBytes + int64(len(record))
	}
	return nil
}

// readRecord reads the record at an offset. io.ErrUnexpectedEOF means that the
// record is the last one and is incomplete or fails its checksum.
func (l *Log) readRecord(offset, size int64) ([]byte, error) {
	if offset+headerBytes > size {
		return nil, io.ErrUnexpectedEOF
	}
	var header [headerBytes]byte
	if _, err := l.file.ReadAt(header[:], offset); err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	length := int64(binary.LittleEndian.Uint32(header[:4]))
	if length == 0 {
		return nil, l.checkZeroTail(offset, size)
	}
	next := offset + headerBytes + length
	if next > size {
		return nil, io.ErrUnexpectedEOF
	}
	if length > maxRecordBytes {
		return nil, &CorruptionError{File: l.path, Offset: offset, Reason: "length out of bounds"}
	}
	record := make([]byte, length)
	if _, err := l.file.ReadAt(record, offset+headerBytes); err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	if crc32.Checksum(record, castagnoliTable) == binary.LittleEndian.Uint32(header[4:]) {
		return record, nil
	}
	if next == size {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, &CorruptionError{File: l.path, Offset: offset, Reason: "checksum differs"}
}

// checkZeroTail distinguishes a tail of zeros, which a crash during a write may
// leave, from corruption. A zero length is never valid, because no record is empty.
// It returns io.ErrUnexpectedEOF for a tail of zeros.
func (l *Log) checkZeroTail(offset, size int64) error {
	rest := make([]byte, min(size-offset, maxRecordBytes))
	if _, err := l.file.ReadAt(rest, offset); err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "read log")
	}
	for _, b := range rest {
		if b != 0 {
			return &CorruptionError{File: l.path, Offset: offset, Reason: "empty record"}
		}
	}
	return io.ErrUnexpectedEOF
}

// truncateTail removes everything after the last complete record.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.endOffset); err != nil {
		return eris.Wrap(err, "truncate torn tail")
	}
	return eris.Wrap(l.file.Sync(), "sync truncated log")
}

// Append writes records of 1 byte to 64 MiB each with a single sync. After a write
// or sync error the log rejects all further appends.
func (l *Log) Append(records ...[]byte) error {
	if l.failure != nil {
		return l.failure
	}
	var buf []byte
	for _, r := range records {
		if len(r) == 0 || len(r) > maxRecordBytes {
			return eris.Errorf("record of %d bytes: expected 1 to %d", len(r), maxRecordBytes)
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(r, castagnoliTable))
		buf = append(buf, r...)
	}
	if _, err := l.file.WriteAt(buf, l.endOffset); err != nil {
		l.failure = eris.Wrap(err, "append to log")
		return l.failure
	}
	if err := l.file.Sync(); err != nil {
		l.failure = eris.Wrap(err, "sync log")
		return l.failure
	}
	l.endOffset += int64(len(buf))
	return nil
}

// Size returns the size of all complete records in bytes, headers included.
func (l *Log) Size() int64 { return l.endOffset }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// SyncDir makes the directory entries of path durable.
func SyncDir(path string) error { return OSFiles{}.SyncDir(path) }
