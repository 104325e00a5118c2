package kvcache

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
)

const (
	// staleHalfLife is the half-life of the confidence in a stale view.
	staleHalfLife = 2 * time.Second
	// reportTimeout is the time without a report after which the confidence in a
	// view decays too.
	reportTimeout = time.Second
	// accuracyWeight is the smoothing factor of a view's accuracy.
	accuracyWeight = 0.1
	// minAccuracy is the lower bound of the accuracy, so that a view that was wrong
	// for some time is not ignored for good.
	minAccuracy = 0.2
)

// CacheView estimates which blocks one backend server caches, from the server's
// cache events. It is safe for concurrent use: writers hold a lock, readers use the
// index and Confidence, which take none.
type CacheView struct {
	index *Index

	mu           sync.Mutex
	incarnation  uint64
	lastSequence uint64
	keys         map[BlockKey]struct{}
	closed       bool

	reliability atomic.Pointer[reliability]
}

// reliability describes how well a view matches the server's cache.
type reliability struct {
	stale bool
	// since is when the view became stale, or the time of the last report if it is
	// not stale.
	since time.Time
	// accuracy is the moving average of the fraction of expected blocks that were
	// found cached.
	accuracy float64
}

// NewCacheView returns an empty view, which is stale until the first full listing.
func NewCacheView(index *Index) *CacheView {
	v := &CacheView{index: index, keys: make(map[BlockKey]struct{})}
	v.reliability.Store(&reliability{stale: true, accuracy: 1})
	return v
}

// Position returns the incarnation and sequence number of the last applied event,
// and whether the view is stale and needs a full listing.
func (v *CacheView) Position() (incarnation, sequence uint64, stale bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation, v.lastSequence, v.reliability.Load().stale
}

// Confidence estimates the probability that a block in the view is still cached;
// 0 to 1. It decays with the age of a stale view and with the time since the
// last report.
func (v *CacheView) Confidence(now time.Time) float64 {
	r := v.reliability.Load()
	age := now.Sub(r.since)
	if !r.stale {
		age -= reportTimeout
	}
	if age <= 0 {
		return r.accuracy
	}
	return r.accuracy * math.Exp2(-age.Seconds()/staleHalfLife.Seconds())
}

// Apply applies a page of events. A gap in the sequence or a new incarnation
// makes the view stale until a full listing arrives. Events that were already
// applied are ignored.
func (v *CacheView) Apply(page *backend.CacheEvents, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	if page.Snapshot {
		v.replaceAll(page)
		v.setReliability(false, now)
		return
	}
	stale := v.reliability.Load().stale
	if page.Incarnation != v.incarnation {
		v.removeAll()
		v.incarnation = page.Incarnation
		v.lastSequence = 0
		stale = true
	}
	for _, e := range page.Events {
		stale = v.applyEvent(e) || stale
	}
	v.setReliability(stale, now)
}

// setReliability sets whether the view is stale, and since when. A view that stays
// stale keeps its time.
func (v *CacheView) setReliability(stale bool, now time.Time) {
	old := v.reliability.Load()
	next := reliability{stale: stale, since: now, accuracy: old.accuracy}
	if stale && old.stale && !old.since.IsZero() {
		next.since = old.since
	}
	v.reliability.Store(&next)
}

// RecordHits records that the first found blocks of an expected prefix were cached,
// and removes the others from the view.
func (v *CacheView) RecordHits(expected []BlockKey, found int) {
	if len(expected) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	hitRatio := min(1, float64(found)/float64(len(expected)))
	next := *v.reliability.Load()
	next.accuracy = max(minAccuracy, next.accuracy+accuracyWeight*(hitRatio-next.accuracy))
	v.reliability.Store(&next)
	if found < len(expected) {
		v.removeKeys(expected[found:])
	}
}

// AddExpected adds blocks that a request has just computed or imported, before the
// server's own event arrives.
func (v *CacheView) AddExpected(keys []BlockKey) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.closed {
		v.addKeys(keys)
	}
}

// Close empties the view, which ignores all later events: the server is gone or has
// loaded other weights.
func (v *CacheView) Close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	v.removeAll()
}

// Len returns the number of blocks.
func (v *CacheView) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.keys)
}

// replaceAll replaces the content by a full listing.
func (v *CacheView) replaceAll(page *backend.CacheEvents) {
	listed := make(map[BlockKey]struct{}, len(page.Keys))
	for _, k := range parseKeys(page.Keys) {
		listed[k] = struct{}{}
	}
	for k := range v.keys {
		if _, ok := listed[k]; !ok {
			v.index.remove(k, v)
		}
	}
	for k := range listed {
		if _, ok := v.keys[k]; !ok {
			v.index.add(k, v)
		}
	}
	v.keys = listed
	v.incarnation = page.Incarnation
	v.lastSequence = page.LastSequence
}

// applyEvent applies one event and reports whether events before it were missed.
func (v *CacheView) applyEvent(e backend.CacheEvent) bool {
	if e.Sequence <= v.lastSequence {
		return false
	}
	gap := e.Sequence != v.lastSequence+1
	v.lastSequence = e.Sequence
	switch e.Type {
	case "stored":
		v.addKeys(parseKeys(e.Keys))
	case "removed":
		v.removeKeys(parseKeys(e.Keys))
	case "cleared":
		v.removeAll()
	}
	return gap
}

// parseKeys parses keys and omits invalid ones.
func parseKeys(list []string) []BlockKey {
	keys := make([]BlockKey, 0, len(list))
	for _, s := range list {
		if k, ok := ParseBlockKey(s); ok {
			keys = append(keys, k)
		}
	}
	return keys
}

// addKeys adds keys to the view and to the index.
func (v *CacheView) addKeys(keys []BlockKey) {
	for _, k := range keys {
		if _, ok := v.keys[k]; !ok {
			v.keys[k] = struct{}{}
			v.index.add(k, v)
		}
	}
}

// removeKeys removes keys from the view and from the index.
func (v *CacheView) removeKeys(keys []BlockKey) {
	for _, k := range keys {
		if _, ok := v.keys[k]; ok {
			delete(v.keys, k)
			v.index.remove(k, v)
		}
	}
}

// removeAll removes all keys of the view, also from the index.
func (v *CacheView) removeAll() {
	for k := range v.keys {
		v.index.remove(k, v)
	}
	clear(v.keys)
}
