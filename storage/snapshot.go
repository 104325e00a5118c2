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
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// SnapshotChunkBytes is the size of each chunk of a snapshot; the last one may be
// smaller.
const SnapshotChunkBytes = 256 << 10

const (
	snapshotPattern  = "snapshot-%020d"
	incomingTempFile = "incoming.tmp"
	outgoingTempFile = "outgoing.tmp"
)

// SnapshotWriter writes a snapshot file: one record with the SnapshotMeta, then one
// record per chunk. The file is written under a temporary name and takes effect
// only when Store.Compact commits it.
type SnapshotWriter struct {
	files        FileSystem
	file         File
	path         string
	meta         *consensusv1.SnapshotMeta
	writtenBytes uint64
	failure      error
}

// NewSnapshotWriter starts writing a snapshot of this replica's own state.
func (s *Store) NewSnapshotWriter(meta *consensusv1.SnapshotMeta) (*SnapshotWriter, error) {
	return newSnapshotWriter(s.files, filepath.Join(s.dir, outgoingTempFile), meta)
}

// newSnapshotWriter creates the file, replacing an uncommitted one.
func newSnapshotWriter(files FileSystem, path string, meta *consensusv1.SnapshotMeta) (*SnapshotWriter, error) {
	file, err := files.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "create snapshot")
	}
	w := &SnapshotWriter{files: files, file: file, path: path, meta: meta}
	header, err := proto.Marshal(meta)
	if err != nil {
		file.Close()
		return nil, eris.Wrap(err, "encode snapshot's place")
	}
	if err := w.writeRecord(header); err != nil {
		w.Abort()
		return nil, err
	}
	return w, nil
}

// writeRecord appends a record without a sync.
func (w *SnapshotWriter) writeRecord(data []byte) error {
	buf := binary.LittleEndian.AppendUint32(nil, uint32(len(data)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(data, castagnoliTable))
	if _, err := w.file.Write(append(buf, data...)); err != nil {
		w.failure = eris.Wrap(err, "write snapshot")
	}
	return w.failure
}

// Write appends state to the snapshot, one record per chunk. The length of state
// must be a multiple of the chunk size in every call except the last.
func (w *SnapshotWriter) Write(state []byte) error {
	for len(state) > 0 && w.failure == nil {
		n := min(len(state), SnapshotChunkBytes)
		if err := w.writeRecord(state[:n]); err != nil {
			return err
		}
		w.writtenBytes += uint64(n)
		state = state[n:]
	}
	return w.failure
}

// Sync makes the written data durable, so that the sync of the later commit is
// short.
func (w *SnapshotWriter) Sync() error {
	if w.failure == nil {
		w.failure = eris.Wrap(w.file.Sync(), "sync snapshot")
	}
	return w.failure
}

// commit syncs the complete file and renames it to its permanent name.
func (w *SnapshotWriter) commit(dir string) error {
	if w.failure != nil {
		return w.failure
	}
	if w.writtenBytes != w.meta.Bytes {
		return eris.Errorf("snapshot %s holds %d of %d bytes", w.path, w.writtenBytes, w.meta.Bytes)
	}
	if err := w.file.Sync(); err != nil {
		return eris.Wrap(err, "sync snapshot")
	}
	if err := w.file.Close(); err != nil {
		return eris.Wrap(err, "close snapshot")
	}
	if err := w.files.Rename(w.path, snapshotPath(dir, w.meta.Index)); err != nil {
		return eris.Wrap(err, "name snapshot")
	}
	return w.files.SyncDir(dir)
}

// Abort closes and removes an uncommitted snapshot.
func (w *SnapshotWriter) Abort() {
	w.file.Close()
	_ = w.files.Remove(w.path) // a leftover file is truncated by the next writer
}

func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf(snapshotPattern, index))
}

// SnapshotReader provides random access to the chunks of a committed snapshot.
type SnapshotReader struct {
	// Meta holds the position in the log, the membership and the state size of the
	// snapshot.
	Meta        *consensusv1.SnapshotMeta
	log         Log
	fileSize    int64
	stateOffset int64
}

func openSnapshot(path string) (*SnapshotReader, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open snapshot")
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, eris.Wrap(err, "size of snapshot")
	}
	r := &SnapshotReader{Meta: &consensusv1.SnapshotMeta{}, log: Log{file: file, path: path}, fileSize: info.Size()}
	header, err := r.readRecord(0)
	if err == nil {
		r.stateOffset = headerBytes + int64(len(header))
		err = proto.Unmarshal(header, r.Meta)
	}
	if err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "read head of %s", path)
	}
	return r, nil
}

// readRecord reads the record at an offset. An incomplete record is corruption,
// because a snapshot gets its name only after it is complete.
func (r *SnapshotReader) readRecord(offset int64) ([]byte, error) {
	data, err := r.log.readRecord(offset, r.fileSize)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &CorruptionError{File: r.log.path, Offset: offset, Reason: "record is not whole"}
	}
	return data, err
}

// ReadChunk returns the chunk at an offset of the state, which must be a multiple of
// the chunk size. It returns nil at or past the end.
func (r *SnapshotReader) ReadChunk(offset uint64) ([]byte, error) {
	if offset >= r.Meta.Bytes {
		return nil, nil
	}
	return r.readRecord(r.stateOffset + int64(offset/SnapshotChunkBytes)*(headerBytes+SnapshotChunkBytes))
}

// ReadAll returns the complete state.
func (r *SnapshotReader) ReadAll() ([]byte, error) {
	var state []byte
	for uint64(len(state)) < r.Meta.Bytes {
		chunk, err := r.ReadChunk(uint64(len(state)))
		if err != nil {
			return nil, err
		}
		state = append(state, chunk...)
	}
	return state, nil
}

// Close closes the file.
func (r *SnapshotReader) Close() error { return r.log.file.Close() }
