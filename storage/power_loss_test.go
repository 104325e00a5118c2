package storage_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/storage"
	"github.com/galenaarch/galenaarch/storage/storagetest"
)

// TestDiskHasRoomAfterLossesOfPower guards against segments and snapshots that a compaction has
// removed and that a loss of power brings back: the disk is over-full, and the replica stores
// nothing any more. What was acknowledged is there after each loss of power.
func TestDiskHasRoomAfterLossesOfPower(t *testing.T) {
	const (
		seeds        = 40
		losses       = 6
		entryBytes   = 10 << 10
		segmentBytes = 400 << 10
		// capacity is a little more than two segments, as a disk of 128 MB beside segments of
		// 58 MB.
		capacity = 900 << 10
	)
	for seed := range uint64(seeds) {
		dir := t.TempDir()
		disk := storagetest.NewDisk(filepath.Join(dir, "trash"), seed)
		disk.SetCapacity(capacity)
		last := uint64(1)
		for loss := range losses {
			store, recovered, err := storage.OpenStoreOn(disk, filepath.Join(dir, "main"))
			require.NoError(t, err, "seed %d, after loss %d", seed, loss)
			require.NoError(t, recovered.LeftoversError)
			if loss > 0 {
				held := recovered.Snapshot.GetIndex()
				if n := len(recovered.Entries); n > 0 {
					held = recovered.Entries[n-1].Index
				}
				require.GreaterOrEqual(t, held, last, "seed %d, after loss %d", seed, loss)
			}
			// The last segment is left unfinished.
			for range segmentBytes/entryBytes + 5*int(seed%3) {
				last++
				entry := &consensusv1.Entry{Term: 1, Index: last, Data: bytes.Repeat([]byte("x"), entryBytes)}
				require.NoError(t, store.Append([]*consensusv1.Entry{entry}, nil), "seed %d, after loss %d: %s", seed, loss, diskUse(disk))
				if last%(segmentBytes/entryBytes) != 0 {
					continue
				}
				w, err := store.NewSnapshotWriter(&consensusv1.SnapshotMeta{Index: last, Term: 1, Bytes: entryBytes})
				require.NoError(t, err)
				require.NoError(t, w.Write(make([]byte, entryBytes)))
				require.NoError(t, store.Compact(w, nil))
			}
			require.NoError(t, disk.PowerLoss())
			store.Close()
		}
	}
}

func diskUse(disk *storagetest.Disk) string {
	return fmt.Sprintf("%d of %d KiB are used", disk.Size()>>10, 900)
}
