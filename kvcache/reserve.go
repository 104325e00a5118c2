package kvcache

import (
	"time"
)

// Reservation allows an exporter to write blocks and publish them.
type Reservation struct {
	FencingNumber uint64
	Number        uint64
	// Indexes are the positions, in the requested keys, of the granted keys.
	Indexes []int
}

// Reserve reserves slots for copies of blocks in a store, for ReservationTTL. It
// grants each key that has no copy there and a slot available. bytes is the size of
// one block. The error is ErrNotOwner.
func (s *Shard) Reserve(keys []BlockKey, store string, bytes int64, now time.Time) (Reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return Reservation{}, err
	}
	s.lastReservation++
	r := Reservation{FencingNumber: s.fencingNumber, Number: s.lastReservation}
	storeIndex := s.storeIndexFor(store)
	for i, k := range keys {
		b := s.getOrCreate(k, i)
		c := s.availableSlot(b, storeIndex, s.sinceEpoch(now))
		if c == nil {
			continue
		}
		s.updateCopy(b, c, copyRecord{id: r.Number, expiresAt: s.sinceEpoch(now) + ReservationTTL, store: storeIndex, state: copyReserved})
		b.bytes = uint32(bytes)
		r.Indexes = append(r.Indexes, i)
	}
	return r, nil
}

// availableSlot returns a slot for a copy in a store, or nil if there is none. A
// copy that is being freed keeps its slot until the store has confirmed.
func (s *Shard) availableSlot(b *blockEntry, store uint8, elapsed time.Duration) *copyRecord {
	var slot *copyRecord
	for i := range b.copies {
		c := &b.copies[i]
		if c.state == copyReserved && c.expiresAt <= elapsed {
			s.updateCopy(b, c, copyRecord{})
		}
		if c.state == copyNone {
			slot = c
			continue
		}
		if c.store == store {
			return nil
		}
	}
	return slot
}

// Seal publishes a block that was written under a reservation. It returns
// ErrNoReservation if the reservation is not the current one for that block and store
// or has expired, or if the store has restarted, and ErrNotOwner without a lease.
func (s *Shard) Seal(k BlockKey, loc Location, r Reservation, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return err
	}
	b, ok := s.blocks[k]
	if !ok || r.FencingNumber != s.fencingNumber {
		return ErrNoReservation
	}
	storeIndex := s.storeIndexFor(loc.Store)
	for i := range b.copies {
		c := &b.copies[i]
		if c.state != copyReserved || c.store != storeIndex || c.id != r.Number || c.expiresAt <= s.sinceEpoch(now) {
			continue
		}
		if !s.acceptIncarnation(storeIndex, loc.Incarnation) {
			s.updateCopy(b, c, copyRecord{})
			return ErrNoReservation
		}
		b.bytes = uint32(loc.Bytes)
		s.updateCopy(b, c, copyRecord{id: loc.Generation, store: storeIndex, state: copySealed})
		return nil
	}
	return ErrNoReservation
}

// acceptIncarnation reports whether a store's incarnation matches the known one,
// and records it if none is known.
func (s *Shard) acceptIncarnation(store uint8, incarnation uint64) bool {
	if s.incarnations[store] == 0 {
		s.incarnations[store] = incarnation
	}
	return s.incarnations[store] == incarnation
}

// Abort releases the slots of a reservation that were not sealed.
func (s *Shard) Abort(keys []BlockKey, r Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.FencingNumber != s.fencingNumber {
		return
	}
	for _, k := range keys {
		b, ok := s.blocks[k]
		if !ok {
			continue
		}
		for i := range b.copies {
			if c := &b.copies[i]; c.state == copyReserved && c.id == r.Number {
				s.updateCopy(b, c, copyRecord{})
			}
		}
	}
}

// ReportMissing removes a sealed copy that a reader did not find at its address.
func (s *Shard) ReportMissing(k BlockKey, loc Location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[k]
	if !ok {
		return
	}
	for i := range b.copies {
		c := &b.copies[i]
		if c.state == copySealed && s.location(b, c).sameAddress(loc) {
			s.updateCopy(b, c, copyRecord{})
		}
	}
}

// sameAddress reports whether two locations are the same copy.
func (l Location) sameAddress(o Location) bool {
	return l.Store == o.Store && l.Incarnation == o.Incarnation && l.Generation == o.Generation
}
