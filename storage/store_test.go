package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

func entry(index, term uint64) *consensusv1.Entry {
	return &consensusv1.Entry{Index: index, Term: term, Kind: consensusv1.EntryKind_ENTRY_KIND_COMMAND, Data: []byte("data")}
}

func indexes(entries []*consensusv1.Entry) []uint64 {
	var out []uint64
	for _, e := range entries {
		out = append(out, e.Index)
	}
	return out
}

func reopen(t *testing.T, dir string) (*Store, *RecoveredState) {
	t.Helper()
	s, r, err := OpenStore(dir)
	require.NoError(t, err)
	return s, r
}

// TestStoreRecoversAcknowledgedWrites guards against the loss of acknowledged writes
// when a store is reopened, before and after a compaction.
func TestStoreRecoversAcknowledgedWrites(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	s, r := reopen(t, dir)
	require.Nil(t, r.HardState)
	require.NoError(t, s.SetIdentity("control-1/x"))
	require.NoError(t, s.Append([]*consensusv1.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, &consensusv1.HardState{Term: 1, Vote: "a"}))
	require.NoError(t, s.Append([]*consensusv1.Entry{entry(2, 2)}, nil))
	s.Close()

	s, r = reopen(t, dir)
	require.Equal(t, []uint64{1, 2}, indexes(r.Entries), "a later entry replaces all entries from its index on")
	require.Equal(t, "a", r.HardState.Vote)
	id, err := s.Identity()
	require.NoError(t, err)
	require.Equal(t, "control-1/x", id)

	state := bytes.Repeat([]byte("s"), SnapshotChunkBytes+10)
	w, err := s.NewSnapshotWriter(&consensusv1.SnapshotMeta{Index: 1, Term: 1, Bytes: uint64(len(state))})
	require.NoError(t, err)
	require.NoError(t, w.Write(state))
	require.NoError(t, s.Compact(w, []*consensusv1.Entry{entry(2, 2)}))
	require.NoError(t, s.Append([]*consensusv1.Entry{entry(3, 2)}, nil))
	s.Close()

	s, r = reopen(t, dir)
	defer s.Close()
	require.Equal(t, []uint64{2, 3}, indexes(r.Entries))
	require.Equal(t, "a", r.HardState.Vote, "a snapshot keeps the vote")
	got, err := s.LatestSnapshot().ReadAll()
	require.NoError(t, err)
	require.Equal(t, state, got)
}

func TestReceivedSnapshotReplacesLog(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	s, _ := reopen(t, dir)
	require.NoError(t, s.Append([]*consensusv1.Entry{entry(1, 1), entry(2, 1), entry(9, 1)}, nil))
	meta := &consensusv1.SnapshotMeta{Index: 5, Term: 3, Bytes: SnapshotChunkBytes + 1}
	require.NoError(t, s.WriteSnapshotChunk(meta, 0, bytes.Repeat([]byte("a"), SnapshotChunkBytes)))
	require.Error(t, s.WriteSnapshotChunk(meta, 7, []byte("gap")))
	require.NoError(t, s.WriteSnapshotChunk(meta, SnapshotChunkBytes, []byte("b")))
	state, err := s.InstallSnapshot()
	require.NoError(t, err)
	require.Len(t, state, SnapshotChunkBytes+1)
	s.Close()
	s, r := reopen(t, dir)
	defer s.Close()
	require.Empty(t, r.Entries)
	require.EqualValues(t, 5, r.Snapshot.Index)
}

// TestCrashDuringCompaction checks recovery from the files that a crash after each
// step of a compaction leaves.
func TestCrashDuringCompaction(t *testing.T) {
	tests := []struct {
		name        string
		snapshot    *consensusv1.SnapshotMeta
		rotate      bool
		wantEntries []uint64
	}{
		{"snapshot committed, log not rotated", &consensusv1.SnapshotMeta{Index: 2, Term: 1, Bytes: 1}, false, []uint64{3}},
		{"snapshot with a conflicting term committed", &consensusv1.SnapshotMeta{Index: 2, Term: 7, Bytes: 1}, false, nil},
		{"log rotated, old files not removed", &consensusv1.SnapshotMeta{Index: 2, Term: 1, Bytes: 1}, true, []uint64{3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "group")
			s, _ := reopen(t, dir)
			require.NoError(t, s.Append([]*consensusv1.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}, nil))
			w, err := s.NewSnapshotWriter(tt.snapshot)
			require.NoError(t, err)
			require.NoError(t, w.Write([]byte("x")))
			require.NoError(t, w.commit(dir))
			if tt.rotate {
				require.NoError(t, s.rotateSegment(tt.snapshot, []*consensusv1.Entry{entry(3, 1)}))
			}
			s.Close()
			s, r := reopen(t, dir)
			s.Close()
			require.Equal(t, tt.wantEntries, indexes(r.Entries))
		})
	}
}

// TestCorruptionReportsFileAndOffset guards against corrupt files that are accepted
// or reported without their location.
func TestCorruptionReportsFileAndOffset(t *testing.T) {
	for _, pattern := range []string{"log-", "snapshot-"} {
		t.Run(pattern, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "group")
			s, _ := reopen(t, dir)
			w, err := s.NewSnapshotWriter(&consensusv1.SnapshotMeta{Index: 1, Term: 1, Bytes: 1})
			require.NoError(t, err)
			require.NoError(t, w.Write([]byte("x")))
			require.NoError(t, s.Compact(w, nil))
			require.NoError(t, s.Append([]*consensusv1.Entry{entry(2, 1)}, nil))
			s.Close()
			names, err := os.ReadDir(dir)
			require.NoError(t, err)
			for _, n := range names {
				if strings.HasPrefix(n.Name(), pattern) {
					path := filepath.Join(dir, n.Name())
					data, err := os.ReadFile(path)
					require.NoError(t, err)
					data[headerBytes] ^= 0xff
					require.NoError(t, os.WriteFile(path, data, 0o600))
				}
			}
			_, _, err = OpenStore(dir)
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption)
			require.Contains(t, corruption.File, pattern)
			require.Zero(t, corruption.Offset)
		})
	}
}

// failingFile fails writes or syncs like a full or failing disk.
type failingFile struct {
	LogFile
	failWrite, failSync bool
	writes              int
}

var errDisk = errors.New("no space left on device")

func (f *failingFile) WriteAt(p []byte, off int64) (int, error) {
	f.writes++
	if f.failWrite {
		half, _ := f.LogFile.WriteAt(p[:len(p)/2], off) // a partial write
		return half, errDisk
	}
	return f.LogFile.WriteAt(p, off)
}

func (f *failingFile) Sync() error {
	if f.failSync {
		return errDisk
	}
	return f.LogFile.Sync()
}

// TestNoAppendAfterDiskFailure guards against an acknowledged append after a failed
// write or sync, when the content of the disk is unknown.
func TestNoAppendAfterDiskFailure(t *testing.T) {
	for _, tt := range []struct {
		name string
		file failingFile
	}{{"write fails", failingFile{failWrite: true}}, {"sync fails", failingFile{failSync: true}}} {
		t.Run(tt.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "group")
			s, _ := reopen(t, dir)
			require.NoError(t, s.Append([]*consensusv1.Entry{entry(1, 1)}, nil))
			original := s.activeSegment.file
			faulty := tt.file
			faulty.LogFile = original
			s.activeSegment.file = &faulty
			require.ErrorIs(t, s.Append([]*consensusv1.Entry{entry(2, 1)}, nil), errDisk)
			faulty.failWrite, faulty.failSync = false, false
			require.ErrorIs(t, s.Append([]*consensusv1.Entry{entry(3, 1)}, nil), errDisk, "the content of the disk is unknown")
			s.Close()
			s, r := reopen(t, dir)
			defer s.Close()
			require.EqualValues(t, 1, r.Entries[0].Index)
			require.LessOrEqual(t, len(r.Entries), 2, "entry 3 was rejected")
		})
	}
}

// FuzzOpenLog checks that a log that can be opened accepts and recovers an append.
func FuzzOpenLog(f *testing.F) {
	f.Add([]byte{}, uint8(0))
	f.Add([]byte{1, 0, 0, 0, 9, 9, 9, 9, 1}, uint8(3))
	f.Add(make([]byte, 64), uint8(0))
	f.Fuzz(func(t *testing.T, data []byte, _ uint8) {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, data, 0o600))
		l, err := OpenLog(path, func([]byte) error { return nil })
		if err != nil {
			return
		}
		require.NoError(t, l.Append([]byte("next")))
		require.NoError(t, l.Close())
		var last []byte
		l, err = OpenLog(path, func(r []byte) error { last = r; return nil })
		require.NoError(t, err)
		require.Equal(t, "next", string(last))
		require.NoError(t, l.Close())
	})
}

// FuzzReplayBatch checks that recovered entries follow the snapshot in ascending
// order, whatever the batch.
func FuzzReplayBatch(f *testing.F) {
	batch, err := encodeBatch(&consensusv1.SnapshotMeta{Index: 1}, []*consensusv1.Entry{entry(2, 1)}, &consensusv1.HardState{Term: 1})
	require.NoError(f, err)
	f.Add(batch)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &RecoveredState{Snapshot: &consensusv1.SnapshotMeta{Index: 1, Term: 1}}
		if _, err := r.replayBatch(data); err != nil || r.trimToSnapshot() != nil {
			return
		}
		for i, e := range r.Entries {
			require.Greater(t, e.Index, uint64(1))
			require.True(t, i == 0 || e.Index > r.Entries[i-1].Index)
		}
	})
}

// FuzzOpenSnapshot checks that reading a corrupt snapshot terminates without a panic.
func FuzzOpenSnapshot(f *testing.F) {
	header, err := proto.Marshal(&consensusv1.SnapshotMeta{Index: 1, Bytes: 1})
	require.NoError(f, err)
	f.Add(header)
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "snapshot")
		require.NoError(t, os.WriteFile(path, data, 0o600))
		r, err := openSnapshot(path)
		if err != nil {
			return
		}
		defer r.Close()
		if r.Meta.Bytes < 1<<20 {
			_, _ = r.ReadAll() // must terminate, with or without an error
		}
	})
}
