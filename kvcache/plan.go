package kvcache

import (
	"time"
)

// Plan describes which blocks of a context have stored copies.
type Plan struct {
	// Lacking holds the indexes of blocks without any copy. The next list holds
	// those of blocks with one sealed copy only.
	Lacking []int
	Single  []int
	// Home is the store with the most copies; empty if there are none.
	Home string
	// Use is the access record of the context's first block.
	Use Use
}

// Plan reports which blocks of a context have stored copies, without granting a
// read lease.
func (s *Shard) Plan(keys []BlockKey, now time.Time) (Plan, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLease(now); err != nil {
		return Plan{}, err
	}
	var plan Plan
	var copiesByStore [1 << 8]int
	maxCount := 0
	for i, k := range keys {
		b, ok := s.blocks[k]
		if !ok {
			plan.Lacking = append(plan.Lacking, i)
			continue
		}
		if i == 0 {
			plan.Use = b.access
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
				plan.Home = s.stores[c.store]
			}
		}
		switch {
		case present == 0:
			plan.Lacking = append(plan.Lacking, i)
		case present == 1 && sealed == 1:
			plan.Single = append(plan.Single, i)
		}
	}
	return plan, nil
}

// Note returns the metadata to store with a block.
func (s *Shard) Note(k BlockKey) Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[k]
	if !ok {
		return Note{}
	}
	return s.stats.metadata(&b.access)
}
