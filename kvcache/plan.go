package kvcache

import (
	"time"
)

// Coverage describes which blocks of a context have stored copies.
type Coverage struct {
	// Missing holds the indexes of the blocks without any copy or reservation,
	// SingleCopy those of the blocks whose only copy is sealed.
	Missing    []int
	SingleCopy []int
	// PrimaryStore is the store with the most copies and reservations; empty if there
	// are none.
	PrimaryStore string
	// Access is the access record of the context's first block.
	Access AccessRecord
}

// Coverage reports which blocks of a context have stored copies, without granting a
// read lease or recording an access. The error is ErrNotOwner.
func (s *Shard) Coverage(keys []BlockKey, now time.Time) (Coverage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return Coverage{}, err
	}
	var coverage Coverage
	var copiesByStore [1 << 8]int
	maxCount := 0
	for i, k := range keys {
		b, ok := s.blocks[k]
		if !ok {
			coverage.Missing = append(coverage.Missing, i)
			continue
		}
		if i == 0 {
			coverage.Access = b.access
		}
		present, sealed := 0, 0
		for j := range b.copies {
			c := &b.copies[j]
			if c.state == copyNone || (c.state == copyReserved && c.expiresAt <= s.sinceEpoch(now)) {
				continue
			}
			present++
			if c.state == copySealed {
				sealed++
			}
			copiesByStore[c.store]++
			if copiesByStore[c.store] > maxCount {
				maxCount = copiesByStore[c.store]
				coverage.PrimaryStore = s.stores[c.store]
			}
		}
		switch {
		case present == 0:
			coverage.Missing = append(coverage.Missing, i)
		case present == 1 && sealed == 1:
			coverage.SingleCopy = append(coverage.SingleCopy, i)
		}
	}
	return coverage, nil
}

// Metadata returns the metadata to store with a block; the zero value if the block is
// unknown.
func (s *Shard) Metadata(k BlockKey) BlockMetadata {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[k]
	if !ok {
		return BlockMetadata{}
	}
	return s.stats.metadata(&b.access)
}
