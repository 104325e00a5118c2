package kvcache

import (
	"time"
)

// Listed is a sealed block as listed by a store.
type Listed struct {
	Key        BlockKey
	Bytes      int64
	Generation uint64
	Note       Note
}

// Mark identifies the state of a shard before a listing is read, so that an
// outdated listing can be detected.
type Mark struct {
	fencingToken uint64
	freeOps      uint64
}

// Mark returns the current state. Call it before reading a listing.
func (s *Shard) Mark() Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Mark{fencingToken: s.fencingToken, freeOps: s.freeOps}
}

// Adopt applies a store's listing that was read after the mark, under this
// ownership's fencing token. It ignores the listing if a free request was made
// or completed since the mark, because the listing may then be outdated. Copies
// of an earlier incarnation of the store are dropped, except for reservations.
func (s *Shard) Adopt(m Mark, store string, incarnation uint64, list []Listed, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return err
	}
	if m.fencingToken != s.fencingToken || m.freeOps != s.freeOps {
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

func (s *Shard) applyListed(store uint8, l Listed, now time.Time) {
	b := s.getOrCreate(l.Key, int(l.Note.Depth))
	c := s.availableSlot(b, store, s.sinceEpoch(now))
	if c == nil {
		return
	}
	if b.access.accesses == 0 {
		s.stats.restore(&b.access, l.Note, now)
	}
	b.bytes = uint32(l.Bytes)
	s.updateCopy(b, c, copyRecord{id: l.Generation, store: store, state: copySealed})
}

// Restarted drops the copies in a store whose incarnation has changed.
func (s *Shard) Restarted(store string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	storeIndex := s.storeIndexFor(store)
	if known := s.incarnations[storeIndex]; known != 0 && known != incarnation {
		s.dropStoreCopies(storeIndex, true)
	}
	s.incarnations[storeIndex] = incarnation
}

// dropStoreCopies drops the copies in a store, including reservations if
// requested.
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

// Sealed calls f for each sealed copy with the block's access record and whether
// a copy in another store is sealed too.
func (s *Shard) Sealed(f func(k BlockKey, store string, bytes int64, u *Use, otherCopy bool)) {
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

// Len returns the number of tracked blocks.
func (s *Shard) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks)
}
