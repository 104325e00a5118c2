package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

const (
	identityFile    = "identity"
	founderFile     = "founder"
	segmentPattern  = "log-%020d"
	segmentTempFile = "log.tmp"
)

// RecoveredState is the state that OpenStore read from disk.
type RecoveredState struct {
	HardState *consensusv1.HardState
	// Snapshot is nil if no snapshot has been taken.
	Snapshot *consensusv1.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*consensusv1.Entry
	// LeftoversError is why files of a failed compaction or transfer could not be removed;
	// the store is usable.
	LeftoversError error
}

// Store is the data directory of one replica of one group. It holds the identity of
// the replica, the log segments and the snapshots. It is not safe for concurrent
// use, except that a SnapshotWriter may be created and written concurrently.
type Store struct {
	dir           string
	files         FileSystem
	activeSegment *Log
	segmentNumber uint64
	// firstSegment is the number of the first segment that is needed: it begins with the
	// newest snapshot's metadata.
	firstSegment     uint64
	hardState        *consensusv1.HardState
	snapshotReader   *SnapshotReader
	incomingSnapshot *SnapshotWriter
}

// OpenStore opens or creates the directory of a replica and reads its content.
// The error for a corrupt file states the file and the offset.
func OpenStore(dir string) (*Store, *RecoveredState, error) { return OpenStoreOn(OSFiles{}, dir) }

// OpenStoreOn is OpenStore on a file system.
func OpenStoreOn(files FileSystem, dir string) (*Store, *RecoveredState, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, eris.Wrap(err, "create directory")
	}
	if err := files.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, err
	}
	s := &Store{dir: dir, files: files}
	recovered := &RecoveredState{}
	if err := s.openSnapshots(recovered); err != nil {
		return nil, nil, err
	}
	if err := s.openSegments(recovered); err != nil {
		s.Close()
		return nil, nil, err
	}
	s.hardState = recovered.HardState
	recovered.LeftoversError = s.removeLeftovers()
	return s, recovered, nil
}

// fileNumbers returns the numbers in the names of the files that match a pattern,
// in ascending order.
func (s *Store) fileNumbers(pattern string) ([]uint64, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, eris.Wrap(err, "list folder")
	}
	var numbers []uint64
	for _, file := range files {
		var number uint64
		if _, err := fmt.Sscanf(file.Name(), pattern, &number); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// openSnapshots opens the newest snapshot, if there is one.
func (s *Store) openSnapshots(recovered *RecoveredState) error {
	numbers, err := s.fileNumbers(snapshotPattern)
	if err != nil || len(numbers) == 0 {
		return err
	}
	s.snapshotReader, err = openSnapshot(snapshotPath(s.dir, numbers[len(numbers)-1]))
	if err != nil {
		return err
	}
	recovered.Snapshot = s.snapshotReader.Meta
	return nil
}

func (s *Store) segmentPath(number uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf(segmentPattern, number))
}

// openSegments replays all log segments and keeps the last one open for appends.
func (s *Store) openSegments(recovered *RecoveredState) error {
	numbers, err := s.fileNumbers(segmentPattern)
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		numbers = []uint64{1}
	}
	s.firstSegment = numbers[0]
	for i, number := range numbers {
		s.segmentNumber = number
		log, err := openLog(s.files, s.segmentPath(number), func(record []byte) error {
			replaced, err := recovered.replayBatch(record)
			if replaced {
				s.firstSegment = number
			}
			return err
		})
		if err != nil {
			return err
		}
		if i == len(numbers)-1 {
			s.activeSegment = log
			break
		}
		if err := log.Close(); err != nil {
			return eris.Wrap(err, "close segment")
		}
	}
	return recovered.trimToSnapshot()
}

// replayBatch applies one batch of log records to the recovered state, and reports whether
// it replaced all earlier entries by a snapshot.
func (r *RecoveredState) replayBatch(record []byte) (replaced bool, err error) {
	var batch consensusv1.LogBatch
	if err := proto.Unmarshal(record, &batch); err != nil {
		return false, eris.Wrap(err, "decode batch of log records")
	}
	for _, rec := range batch.Records {
		switch body := rec.Body.(type) {
		case *consensusv1.LogRecord_Entry:
			r.putEntry(body.Entry)
		case *consensusv1.LogRecord_HardState:
			r.HardState = body.HardState
		case *consensusv1.LogRecord_Snapshot:
			// The snapshot's file was durable before this record.
			r.Entries, replaced = nil, true
		}
	}
	return replaced, nil
}

// putEntry appends an entry and removes the entries with the same or a higher index.
func (r *RecoveredState) putEntry(e *consensusv1.Entry) {
	for n := len(r.Entries); n > 0 && r.Entries[n-1].Index >= e.Index; n-- {
		r.Entries = r.Entries[:n-1]
	}
	r.Entries = append(r.Entries, e)
}

// trimToSnapshot removes the entries that the snapshot covers, or all entries if
// their term at the snapshot's index differs from the snapshot's.
func (r *RecoveredState) trimToSnapshot() error {
	if r.Snapshot == nil {
		return nil
	}
	index := r.Snapshot.Index
	i := slices.IndexFunc(r.Entries, func(e *consensusv1.Entry) bool { return e.Index >= index })
	if i < 0 {
		r.Entries = nil
		return nil
	}
	first := r.Entries[i]
	if first.Index == index && first.Term != r.Snapshot.Term {
		r.Entries = nil
		return nil
	}
	if first.Index == index {
		i++
	}
	r.Entries = r.Entries[i:]
	if len(r.Entries) > 0 && r.Entries[0].Index != index+1 {
		return eris.Errorf("gap in the stored log: the log starts at entry %d, the snapshot ends at entry %d", r.Entries[0].Index, index)
	}
	return nil
}

// Identity returns the stored replica ID, or an empty string if there is none.
func (s *Store) Identity() (string, error) {
	data, err := os.ReadFile(filepath.Join(s.dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", eris.Wrap(err, "read identity")
	}
	var id consensusv1.ReplicaIdentity
	if err := proto.Unmarshal(data, &id); err != nil {
		return "", eris.Wrap(err, "decode identity")
	}
	return id.Id, nil
}

// SetIdentity stores the replica ID. It is called once per directory.
func (s *Store) SetIdentity(id string) error {
	data, err := proto.Marshal(&consensusv1.ReplicaIdentity{Id: id})
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	if err := renameio.WriteFile(filepath.Join(s.dir, identityFile), data, 0o600); err != nil {
		return eris.Wrap(err, "write identity")
	}
	return SyncDir(s.dir)
}

// MarkFounder records that the replica may bootstrap its group.
func (s *Store) MarkFounder() error {
	if err := renameio.WriteFile(filepath.Join(s.dir, founderFile), nil, 0o600); err != nil {
		return eris.Wrap(err, "write founder mark")
	}
	return SyncDir(s.dir)
}

// IsFounder reports whether MarkFounder was called on this directory.
func (s *Store) IsFounder() (bool, error) {
	_, err := os.Stat(filepath.Join(s.dir, founderFile))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, eris.Wrap(err, "read founder mark")
}

// Append makes entries and the hard state durable with a single sync. Either may
// be empty.
func (s *Store) Append(entries []*consensusv1.Entry, hardState *consensusv1.HardState) error {
	if hardState != nil {
		s.hardState = hardState
	}
	record, err := encodeBatch(nil, entries, hardState)
	if err != nil {
		return err
	}
	return s.activeSegment.Append(record)
}

// encodeBatch encodes one record of the log: snapshot, entries and hard state, each
// of them optional.
func encodeBatch(snapshot *consensusv1.SnapshotMeta, entries []*consensusv1.Entry, hardState *consensusv1.HardState) ([]byte, error) {
	batch := &consensusv1.LogBatch{}
	if snapshot != nil {
		batch.Records = append(batch.Records, &consensusv1.LogRecord{Body: &consensusv1.LogRecord_Snapshot{Snapshot: snapshot}})
	}
	for _, e := range entries {
		batch.Records = append(batch.Records, &consensusv1.LogRecord{Body: &consensusv1.LogRecord_Entry{Entry: e}})
	}
	if hardState != nil {
		batch.Records = append(batch.Records, &consensusv1.LogRecord{Body: &consensusv1.LogRecord_HardState{HardState: hardState}})
	}
	data, err := proto.Marshal(batch)
	return data, eris.Wrap(err, "encode batch of log records")
}

// WriteSnapshotChunk writes a chunk of a snapshot that another replica sends.
// Chunks must arrive in order; offset 0 starts a new snapshot.
func (s *Store) WriteSnapshotChunk(meta *consensusv1.SnapshotMeta, offset uint64, chunk []byte) error {
	if offset == 0 {
		if s.incomingSnapshot != nil {
			s.incomingSnapshot.Abort()
		}
		w, err := newSnapshotWriter(s.files, filepath.Join(s.dir, incomingTempFile), meta)
		if err != nil {
			return err
		}
		s.incomingSnapshot = w
	}
	if s.incomingSnapshot == nil || s.incomingSnapshot.writtenBytes != offset {
		return eris.Errorf("snapshot piece at %d does not follow", offset)
	}
	return s.incomingSnapshot.Write(chunk)
}

// InstallSnapshot replaces the log by the received snapshot and returns the state
// of the snapshot. It returns an error if the snapshot is incomplete.
func (s *Store) InstallSnapshot() ([]byte, error) {
	if s.incomingSnapshot == nil {
		return nil, eris.New("no snapshot was received")
	}
	w := s.incomingSnapshot
	s.incomingSnapshot = nil
	if err := s.Compact(w, nil); err != nil {
		return nil, err
	}
	return s.snapshotReader.ReadAll()
}

// Compact commits a snapshot, starts a new segment with the entries after it, and
// then removes older snapshots and segments. A crash in between leaves old and new
// files, from which OpenStore recovers the same state and removes the old ones.
func (s *Store) Compact(w *SnapshotWriter, entries []*consensusv1.Entry) error {
	if err := w.commit(s.dir); err != nil {
		w.Abort()
		return err
	}
	reader, err := openSnapshot(snapshotPath(s.dir, w.meta.Index))
	if err != nil {
		return err
	}
	if s.snapshotReader != nil {
		s.snapshotReader.Close()
	}
	s.snapshotReader = reader
	if err := s.rotateSegment(w.meta, entries); err != nil {
		return err
	}
	return s.removeObsolete()
}

// rotateSegment starts a new segment that holds the snapshot's metadata, the entries
// after the snapshot and the hard state.
func (s *Store) rotateSegment(meta *consensusv1.SnapshotMeta, entries []*consensusv1.Entry) error {
	record, err := encodeBatch(meta, entries, s.hardState)
	if err != nil {
		return err
	}
	temp := filepath.Join(s.dir, segmentTempFile)
	if err := s.files.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove unfinished segment")
	}
	next, err := openLog(s.files, temp, func([]byte) error { return nil })
	if err != nil {
		return err
	}
	path := s.segmentPath(s.segmentNumber + 1)
	err = next.Append(record)
	if err == nil {
		err = eris.Wrap(s.files.Rename(temp, path), "name segment")
	}
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		next.Close()
		return err
	}
	next.path = path
	s.segmentNumber++
	s.firstSegment = s.segmentNumber
	s.activeSegment.Close()
	s.activeSegment = next
	return nil
}

// removeObsolete removes the segments and snapshots before the current ones. Invariant:
// their removal is durable when it returns, or a loss of power brings them back, beside
// those that are written next.
func (s *Store) removeObsolete() error {
	var removed int
	remove := func(path string) error {
		removed++
		return s.files.Remove(path)
	}
	segments, err := s.fileNumbers(segmentPattern)
	if err != nil {
		return err
	}
	for _, n := range segments {
		if n < s.firstSegment {
			err = errors.Join(err, remove(s.segmentPath(n)))
		}
	}
	snapshots, listErr := s.fileNumbers(snapshotPattern)
	err = errors.Join(err, listErr)
	for _, n := range snapshots {
		if s.snapshotReader != nil && n < s.snapshotReader.Meta.Index {
			err = errors.Join(err, remove(snapshotPath(s.dir, n)))
		}
	}
	if removed > 0 {
		err = errors.Join(err, s.files.SyncDir(s.dir))
	}
	return eris.Wrap(err, "remove old files")
}

// removeLeftovers removes what a failed compaction or transfer, or a loss of power, left:
// unfinished files, older segments and snapshots. They may be what keeps a disk full.
func (s *Store) removeLeftovers() error {
	var err error
	for _, name := range []string{segmentTempFile, outgoingTempFile, incomingTempFile} {
		if e := s.files.Remove(filepath.Join(s.dir, name)); !errors.Is(e, fs.ErrNotExist) {
			err = errors.Join(err, e)
		}
	}
	return errors.Join(eris.Wrap(err, "remove unfinished files"), s.removeObsolete())
}

// LatestSnapshot returns the newest snapshot, or nil if there is none. The store owns
// the reader; Compact and Close close it.
func (s *Store) LatestSnapshot() *SnapshotReader { return s.snapshotReader }

// LogBytes returns the size of the segment that is written.
func (s *Store) LogBytes() int64 { return s.activeSegment.Size() }

// Close closes all files and removes an incompletely received snapshot.
func (s *Store) Close() {
	if s.activeSegment != nil {
		s.activeSegment.Close()
	}
	if s.snapshotReader != nil {
		s.snapshotReader.Close()
	}
	if s.incomingSnapshot != nil {
		s.incomingSnapshot.Abort()
	}
}
