package storage

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// timedFile measures the time that a log spends in Sync.
type timedFile struct {
	LogFile
	syncTime time.Duration
}

func (f *timedFile) Sync() error {
	started := time.Now()
	err := f.LogFile.Sync()
	f.syncTime += time.Since(started)
	return err
}

// BenchmarkGroupCommit appends batches of 200-byte entries with one sync per batch.
// It reports entries per second and the share of the time spent in Sync.
func BenchmarkGroupCommit(b *testing.B) {
	for _, batch := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			s, _, err := OpenStore(filepath.Join(b.TempDir(), "group"))
			require.NoError(b, err)
			defer s.Close()
			timed := &timedFile{LogFile: s.activeSegment.file}
			s.activeSegment.file = timed
			entries := make([]*consensusv1.Entry, batch)
			for i := range entries {
				entries[i] = &consensusv1.Entry{Kind: consensusv1.EntryKind_ENTRY_KIND_COMMAND, Term: 1, Data: make([]byte, 200)}
			}
			index := uint64(0)
			b.ResetTimer()
			for range b.N {
				for _, e := range entries {
					index++
					e.Index = index
				}
				if err := s.Append(entries, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(timed.syncTime.Seconds()/b.Elapsed().Seconds(), "sync-share")
		})
	}
}
