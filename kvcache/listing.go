package kvcache

import (
	"time"
)

// ListedBlock is a sealed block as listed by a store.
type ListedBlock struct {
	Key        BlockKey
	Bytes      int64
	Generation uint64
	Metadata   BlockMetadata
}

// ShardVersion identifies the state of a shard when the reading of a listing
// begins, so that an outdated listing can be detected.
type ShardVersion struct {
	fencingNumber uint64
	freeOps       uint64
}

// Version returns the current version. It must be called before a listing is read.
func (s *Shard) Version() ShardVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardVersion{fencingNumber: s.fencingNumber, freeOps: s.freeOps}
}

// ApplyListing applies a store's listing that was read after version was taken, under
// this owner's fencing number. It ignores the listing if a free request was made or
// completed since then, or if the ownership changed, because the listing may be
// outdated. Copies of an earlier incarnation of the store are dropped, except for
// reservations. The error is ErrNotOwner.
func (s *Shard) ApplyListing(version ShardVersion, store string, incarnation uint64, list []ListedBlock, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return err
	}
	if version.fencingNumber != s.fencingNumber || version.freeOps != s.freeOps {
		return nil
	}
	storeIndex := s.storeIndexFor(store)
	if s.incarnations[storeIndex] != incarnation {
		s.dropStoreCopies(storeIndex, false)
		s.incarnations[storeIndex] = incarnation
	}
	for _, l := range list {
		s.applyListed(storeIndex, l, now)
	}
	return nil
}

// applyListed adds a listed block unless it has a copy in that store or no free slot.
func (s *Shard) applyListed(store uint8, l ListedBlock, now time.Time) {
	b := s.getOrCreate(l.Key, int(l.Metadata.Depth))
	c := s.availableSlot(b, store, s.sinceEpoch(now))
	if c == nil {
		return
	}
	if b.access.accesses == 0 {
		s.stats.restore(&b.access, l.Metadata, now)
	}
	b.bytes = uint32(l.Bytes)
	s.updateCopy(b, c, copyRecord{id: l.Generation, store: store, state: copySealed})
}

// HandleStoreRestart records a store's incarnation, and drops the copies and
// reservations in the store if the incarnation has changed.
func (s *Shard) HandleStoreRestart(store string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	storeIndex := s.storeIndexFor(store)
	if known := s.incarnations[storeIndex]; known != 0 && known != incarnation {
		s.dropStoreCopies(storeIndex, true)
	}
	s.incarnations[storeIndex] = incarnation
}

// dropStoreCopies drops the copies in a store, and also the reservations if
// includeReserved is set.
func (s *Shard) dropStoreCopies(store uint8, includeReserved bool) {
	for _, b := range s.blocks {
		for i := range b.copies {
			c := &b.copies[i]
			if c.state == copyNone || c.store != store || (c.state == copyReserved && !includeReserved) {
				continue
			}
			s.updateCopy(b, c, copyRecord{})
		}
	}
}

// ForEachSealed calls f for each sealed copy, with the block's access record and
// whether another store holds a sealed copy too. It holds the shard's lock: f must
// not call the shard.
func (s *Shard) ForEachSealed(f func(k BlockKey, store string, bytes int64, record *AccessRecord, otherCopy bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, b := range s.blocks {
		sealed := 0
		for i := range b.copies {
			if b.copies[i].state == copySealed {
				sealed++
			}
		}
		for i := range b.copies {
			if c := &b.copies[i]; c.state == copySealed {
				f(k, s.stores[c.store], int64(b.bytes), &b.access, sealed > 1)
			}
		}
	}
}

// Len returns the number of tracked blocks, including those without a copy.
func (s *Shard) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks)
}
