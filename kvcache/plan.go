package kvcache

import (
	"time"
)

// Coverage describes which blocks of a context have stored copies.
type Coverage struct {
	// Missing holds the indexes of blocks without any copy. The next list holds
	// those of blocks with one sealed copy only.
	Missing    []int
	SingleCopy []int
	// PrimaryStore is the store with the most copies; empty if there are none.
	PrimaryStore string
	// Access is the access record of the context's first block.
	Access AccessRecord
}

// Coverage reports which blocks of a context have stored copies, without granting a
// read lease.
func (s *Shard) Coverage(keys []BlockKey, now time.Time) (Coverage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return Coverage{}, err
	}
	var plan Coverage
	var copiesByStore [1 << 8]int
	maxCount := 0
	for i, k := range keys {
		b, ok := s.blocks[k]
		if !ok {
			plan.Missing = append(plan.Missing, i)
			continue
		}
		if i == 0 {
			plan.Access = b.access
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
				plan.PrimaryStore = s.stores[c.store]
			}
		}
		switch {
		case present == 0:
			plan.Missing = append(plan.Missing, i)
		case present == 1 && sealed == 1:
			plan.SingleCopy = append(plan.SingleCopy, i)
		}
	}
	return plan, nil
}

// Metadata returns the metadata to store with a block.
func (s *Shard) Metadata(k BlockKey) BlockMetadata {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[k]
	if !ok {
		return BlockMetadata{}
	}
	return s.stats.metadata(&b.access)
}
