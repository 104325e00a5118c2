package kvcache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
)

var viewEpoch = time.Unix(1_000_000, 0)

// testKeys returns valid chained block keys.
func testKeys(n int) []BlockKey {
	return TokenBlocks(Scope{ClientAccount: "a", Deployment: "d", WeightVersion: "v1"}, make([]int32, n), 1)
}

func keyStrings(keys ...BlockKey) []string {
	var list []string
	for _, k := range keys {
		list = append(list, k.String())
	}
	return list
}

func storedEvent(sequence uint64, keys ...BlockKey) backend.CacheEvent {
	return backend.CacheEvent{Sequence: sequence, Type: "stored", Keys: keyStrings(keys...)}
}

func removedEvent(sequence uint64, keys ...BlockKey) backend.CacheEvent {
	return backend.CacheEvent{Sequence: sequence, Type: "removed", Keys: keyStrings(keys...)}
}

func prefixLength(index *Index, v *CacheView, keys []BlockKey) int {
	for _, p := range index.Prefixes(keys, nil) {
		if p.View == v {
			return p.Blocks
		}
	}
	return 0
}

func TestViewAppliesEventPages(t *testing.T) {
	k := testKeys(4)
	full := &backend.CacheEvents{Incarnation: 1, LastSequence: 5, Snapshot: true, Keys: keyStrings(k[0], k[1])}
	cases := []struct {
		name   string
		pages  []*backend.CacheEvents
		prefix int
		stale  bool
	}{
		{"no events", nil, 0, true},
		{"full listing", []*backend.CacheEvents{full}, 2, false},
		{"next event", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{storedEvent(6, k[2])}}}, 3, false},
		{"duplicate event", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{removedEvent(5, k[0])}}}, 2, false},
		{"sequence gap", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{storedEvent(7, k[2])}}}, 3, true},
		{"sequence gap, then an empty page", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{storedEvent(7, k[2])}}, {Incarnation: 1}}, 3, true},
		{"full listing after a gap", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{storedEvent(9, k[2])}}, {Incarnation: 1, LastSequence: 9, Snapshot: true, Keys: keyStrings(k[0])}}, 1, false},
		{"new incarnation", []*backend.CacheEvents{full, {Incarnation: 2}}, 0, true},
		{"first block removed", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{removedEvent(6, k[0])}}}, 0, false},
		{"cache cleared", []*backend.CacheEvents{full, {Incarnation: 1, Events: []backend.CacheEvent{{Sequence: 6, Type: "cleared"}}}}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			index := NewIndex()
			v := NewCacheView(index)
			for _, p := range c.pages {
				v.Apply(p, viewEpoch)
			}
			require.Equal(t, c.prefix, prefixLength(index, v, k))
			_, _, stale := v.Position()
			require.Equal(t, c.stale, stale)
		})
	}
}

func TestConfidenceDecaysWithAge(t *testing.T) {
	k := testKeys(2)
	v := NewCacheView(NewIndex())
	require.Less(t, v.Confidence(viewEpoch), 0.01, "no event was received")
	v.Apply(&backend.CacheEvents{Incarnation: 1, LastSequence: 1, Snapshot: true, Keys: keyStrings(k...)}, viewEpoch)
	require.Equal(t, 1.0, v.Confidence(viewEpoch.Add(reportTimeout)))
	require.InDelta(t, 0.5, v.Confidence(viewEpoch.Add(reportTimeout+staleHalfLife)), 1e-9, "confidence decays without reports")

	gap := &backend.CacheEvents{Incarnation: 1, Events: []backend.CacheEvent{storedEvent(3, k[0])}}
	v.Apply(gap, viewEpoch)
	v.Apply(&backend.CacheEvents{Incarnation: 1}, viewEpoch.Add(staleHalfLife))
	require.InDelta(t, 0.5, v.Confidence(viewEpoch.Add(staleHalfLife)), 1e-9, "confidence decays from when the view became stale")
}

func TestRecordHitsCorrectsView(t *testing.T) {
	k := testKeys(4)
	index := NewIndex()
	v := NewCacheView(index)
	v.Apply(&backend.CacheEvents{Incarnation: 1, LastSequence: 1, Snapshot: true, Keys: keyStrings(k...)}, viewEpoch)
	v.RecordHits(k, 1)
	require.Equal(t, 1, prefixLength(index, v, k))
	require.Less(t, v.Confidence(viewEpoch), 1.0)
	for range 100 {
		v.RecordHits(k[:1], 1)
	}
	require.Greater(t, v.Confidence(viewEpoch), 0.99)
}

func TestClosedViewIsEmpty(t *testing.T) {
	k := testKeys(2)
	index := NewIndex()
	v := NewCacheView(index)
	v.AddExpected(k)
	require.Equal(t, 2, prefixLength(index, v, k))
	v.Close()
	v.AddExpected(k)
	v.Apply(&backend.CacheEvents{Incarnation: 1, LastSequence: 1, Snapshot: true, Keys: keyStrings(k...)}, viewEpoch)
	require.Empty(t, index.Prefixes(k, nil))
}

func TestPrefixesOfSeveralViews(t *testing.T) {
	k := testKeys(4)
	index := NewIndex()
	views := []*CacheView{NewCacheView(index), NewCacheView(index), NewCacheView(index)}
	views[0].AddExpected(k[:1])
	views[1].AddExpected(k)
	views[2].AddExpected(k[1:])
	got := make(map[*CacheView]int)
	for _, p := range index.Prefixes(k, nil) {
		got[p.View] = p.Blocks
	}
	require.Equal(t, map[*CacheView]int{views[0]: 1, views[1]: 4}, got, "a view without the first block has no prefix")
}
