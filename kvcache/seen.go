package kvcache

import "sync"

// SeenBlocks is a bounded set of block keys seen before. It holds two generations:
// when the current one is full, the previous one is dropped. It is safe for
// concurrent use.
type SeenBlocks struct {
	mu       sync.Mutex
	limit    int
	current  map[BlockKey]struct{}
	previous map[BlockKey]struct{}
}

// NewSeenBlocks returns a set that holds the last limit keys added, and at most twice
// as many.
func NewSeenBlocks(limit int) *SeenBlocks {
	return &SeenBlocks{limit: limit, current: make(map[BlockKey]struct{}), previous: make(map[BlockKey]struct{})}
}

// CountAndAdd returns how many leading blocks were seen before, and adds all keys to
// the set.
func (s *SeenBlocks) CountAndAdd(keys []BlockKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i, k := range keys {
		if s.contains(k) && n == i {
			n++
		}
		s.add(k)
	}
	return n
}

// contains reports whether either generation holds a key; the caller holds s.mu.
func (s *SeenBlocks) contains(k BlockKey) bool {
	if _, ok := s.current[k]; ok {
		return true
	}
	_, ok := s.previous[k]
	return ok
}

// add adds a key to the current generation. If that is full, it becomes the previous one
// first. The caller holds s.mu.
func (s *SeenBlocks) add(k BlockKey) {
	if len(s.current) >= s.limit {
		s.previous = s.current
		s.current = make(map[BlockKey]struct{})
	}
	s.current[k] = struct{}{}
}
