package kvcache

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newOwnedShard(t testing.TB) *Shard {
	t.Helper()
	s := NewShard(NewAccessStats(testEpoch), testEpoch)
	s.ApplyLease(1, testEpoch.Add(time.Hour), testEpoch)
	return s
}

func sealBlocks(t testing.TB, s *Shard, keys []BlockKey, store string, now time.Time) {
	t.Helper()
	r, err := s.Reserve(keys, store, 1, now)
	require.NoError(t, err)
	for n, i := range r.Indexes {
		location := Location{Store: store, Bytes: 1, Incarnation: 1, Generation: uint64(n + 1)}
		require.NoError(t, s.Seal(keys[i], location, r, now))
	}
}

func TestBlockLifecycle(t *testing.T) {
	k := testKeys(1)
	later := testEpoch.Add(2 * ReadLeaseTTL)
	location := Location{Store: "store", Bytes: 1, Incarnation: 1, Generation: 1}
	cases := []struct {
		name   string
		run    func(t *testing.T, s *Shard)
		copies int
	}{
		{"a reserved copy is not published", func(t *testing.T, s *Shard) {
			_, err := s.Reserve(k, "store", 1, testEpoch)
			require.NoError(t, err)
		}, 0},
		{"a sealed copy is published", func(t *testing.T, s *Shard) { sealBlocks(t, s, k, "store", testEpoch) }, 1},
		{"sealing fails after the reservation has expired", func(t *testing.T, s *Shard) {
			r, err := s.Reserve(k, "store", 1, testEpoch)
			require.NoError(t, err)
			require.ErrorIs(t, s.Seal(k[0], location, r, testEpoch.Add(ReservationTTL)), ErrNoReservation)
		}, 0},
		{"sealing fails under another owner's reservation", func(t *testing.T, s *Shard) {
			r, err := s.Reserve(k, "store", 1, testEpoch)
			require.NoError(t, err)
			r.FencingNumber++
			require.ErrorIs(t, s.Seal(k[0], location, r, testEpoch), ErrNoReservation)
		}, 0},
		{"sealing fails under an earlier reservation", func(t *testing.T, s *Shard) {
			earlier, err := s.Reserve(k, "store", 1, testEpoch)
			require.NoError(t, err)
			s.Abort(k, earlier)
			_, err = s.Reserve(k, "store", 1, testEpoch)
			require.NoError(t, err)
			require.ErrorIs(t, s.Seal(k[0], location, earlier, testEpoch), ErrNoReservation)
		}, 0},
		{"leases of an earlier owner prevent freeing", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			_, ok := s.BeginFree(k[0], "store", testEpoch.Add(ReadLeaseTTL-1))
			require.False(t, ok)
		}, 1},
		{"a read lease prevents freeing", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			_, err := s.Lookup(&LookupRequest{Keys: k}, later)
			require.NoError(t, err)
			_, ok := s.BeginFree(k[0], "store", later.Add(ReadLeaseTTL))
			require.False(t, ok)
			_, ok = s.BeginFree(k[0], "store", later.Add(ReadLeaseTTL+1))
			require.True(t, ok)
		}, 0},
		{"the slot is occupied until the free is confirmed", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			request, ok := s.BeginFree(k[0], "store", later)
			require.True(t, ok)
			r, err := s.Reserve(k, "store", 1, later)
			require.NoError(t, err)
			require.Empty(t, r.Indexes)
			require.Empty(t, s.FreesToRetry(later))
			require.Equal(t, []FreeRequest{request}, s.FreesToRetry(later.Add(freeRetryInterval)))
			s.CompleteFree(request)
			sealBlocks(t, s, k, "store", later)
		}, 1},
		{"a restarted store has no copies", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			s.HandleStoreRestart("store", 2)
		}, 0},
		{"a copy in another store survives a restart", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			sealBlocks(t, s, k, "other", testEpoch)
			s.HandleStoreRestart("store", 2)
		}, 1},
		{"a new ownership starts empty", func(t *testing.T, s *Shard) {
			sealBlocks(t, s, k, "store", testEpoch)
			s.ApplyLease(2, testEpoch.Add(time.Hour), testEpoch)
		}, 0},
		{"a listing fills a new ownership", func(t *testing.T, s *Shard) {
			s.ApplyLease(2, testEpoch.Add(time.Hour), testEpoch)
			require.NoError(t, s.ApplyListing(s.Version(), "store", 1, []ListedBlock{{Key: k[0], Bytes: 1, Generation: 4}}, testEpoch))
		}, 1},
		{"a listing from before a new ownership is ignored", func(t *testing.T, s *Shard) {
			version := s.Version()
			s.ApplyLease(2, testEpoch.Add(time.Hour), testEpoch)
			require.NoError(t, s.ApplyListing(version, "store", 1, []ListedBlock{{Key: k[0], Bytes: 1, Generation: 4}}, testEpoch))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newOwnedShard(t)
			c.run(t, s)
			found, err := s.Lookup(&LookupRequest{Keys: k}, later)
			require.NoError(t, err)
			require.Len(t, found.Copies, c.copies)
		})
	}
}

func TestShardWithoutLeaseRejectsRequests(t *testing.T) {
	s := newOwnedShard(t)
	k := testKeys(1)
	expired := testEpoch.Add(time.Hour)
	_, err := s.Lookup(&LookupRequest{Keys: k}, expired)
	require.ErrorIs(t, err, ErrNotOwner)
	_, err = s.Reserve(k, "store", 1, expired)
	require.ErrorIs(t, err, ErrNotOwner)
	_, ok := s.BeginFree(k[0], "store", expired)
	require.False(t, ok)
	s.Resign()
	_, err = s.FencingNumber(testEpoch)
	require.ErrorIs(t, err, ErrNotOwner)
}

func TestGhostEntriesAreBounded(t *testing.T) {
	s := newOwnedShard(t)
	for n := range 3 * maxGhosts {
		_, err := s.Lookup(&LookupRequest{Keys: []BlockKey{keyForNumber(n)}}, testEpoch)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.Len(), maxGhosts)
}

func keyForNumber(n int) BlockKey {
	var k BlockKey
	binary.BigEndian.PutUint64(k[:], uint64(n)*0x9e3779b97f4a7c15)
	return k
}

// BenchmarkShardMemory reports the heap bytes per stored block.
func BenchmarkShardMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("%d blocks", n), func(b *testing.B) {
			keys := make([]BlockKey, n)
			for i := range keys {
				keys[i] = keyForNumber(i)
			}
			for b.Loop() {
				before := heapBytes()
				s := newOwnedShard(b)
				sealBlocks(b, s, keys, "store", testEpoch)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "bytes/block")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
