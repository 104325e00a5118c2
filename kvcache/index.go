package kvcache

import (
	"slices"
	"sync"
)

// Index maps a block to the views that hold it. Lookups take no lock: each
// block's list of holders is immutable and writers replace it.
type Index struct {
	// holders maps a BlockKey to a pointer to a slice of views that is never
	// modified.
	holders sync.Map
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{} }

// Prefix says how many leading blocks of a prompt a view holds.
type Prefix struct {
	View   *CacheView
	Blocks int
}

// Prefixes appends the views that hold the first key, with the number of leading
// keys that each holds, and returns the extended list.
func (idx *Index) Prefixes(keys []BlockKey, dst []Prefix) []Prefix {
	start := len(dst)
	matching := 0
	for i, k := range keys {
		holders := idx.holdersOf(k)
		if i == 0 {
			for _, v := range holders {
				dst = append(dst, Prefix{View: v})
			}
			matching = len(holders)
		}
		if matching = extendPrefixes(dst[start:start+matching], holders, i+1); matching == 0 {
			break
		}
	}
	return dst
}

// extendPrefixes moves the prefixes whose views are among the holders to the
// front, sets their length and returns their number.
func extendPrefixes(prefixes []Prefix, holders []*CacheView, blocks int) int {
	matching := 0
	for i := range prefixes {
		if !slices.Contains(holders, prefixes[i].View) {
			continue
		}
		prefixes[i].Blocks = blocks
		prefixes[matching], prefixes[i] = prefixes[i], prefixes[matching]
		matching++
	}
	return matching
}

// holdersOf returns the views that hold a block.
func (idx *Index) holdersOf(k BlockKey) []*CacheView {
	if p, ok := idx.holders.Load(k); ok {
		return *p.(*[]*CacheView)
	}
	return nil
}

// add records that a view holds a block.
func (idx *Index) add(k BlockKey, v *CacheView) {
	for {
		old, ok := idx.holders.Load(k)
		if !ok {
			if _, loaded := idx.holders.LoadOrStore(k, &[]*CacheView{v}); !loaded {
				return
			}
			continue
		}
		list := *old.(*[]*CacheView)
		if slices.Contains(list, v) {
			return
		}
		next := append(slices.Clone(list), v)
		if idx.holders.CompareAndSwap(k, old, &next) {
			return
		}
	}
}

// remove records that a view no longer holds a block.
func (idx *Index) remove(k BlockKey, v *CacheView) {
	for {
		old, ok := idx.holders.Load(k)
		if !ok {
			return
		}
		list := *old.(*[]*CacheView)
		position := slices.Index(list, v)
		if position < 0 {
			return
		}
		if len(list) == 1 {
			if idx.holders.CompareAndDelete(k, old) {
				return
			}
			continue
		}
		next := slices.Delete(slices.Clone(list), position, position+1)
		if idx.holders.CompareAndSwap(k, old, &next) {
			return
		}
	}
}
