package link

import (
	"sync"
	"sync/atomic"
	"time"
)

// Set holds the network links to all context stores. Readers take no lock.
type Set struct {
	// mu serializes Configure.
	mu    sync.Mutex
	links atomic.Pointer[map[string]*Link]
}

// NewSet returns an empty set.
func NewSet() *Set {
	s := &Set{}
	s.links.Store(&map[string]*Link{})
	return s
}

// Get returns the network link to a context store, or nil if it is not configured.
func (s *Set) Get(store string) *Link { return (*s.links.Load())[store] }

// Configure sets the nominal rates by store, in bytes per second, and the number
// of entries that share them. Links to other stores are removed.
func (s *Set) Configure(nominalRates map[string]float64, entries int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.links.Load()
	next := make(map[string]*Link, len(nominalRates))
	for name, bytesPerSecond := range nominalRates {
		l, ok := old[name]
		if !ok {
			l = New(bytesPerSecond, entries)
		}
		l.Configure(bytesPerSecond, entries, now)
		next[name] = l
	}
	s.links.Store(&next)
}
