package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/galenaarch/galenaarch/api/backend"
)

// serveList lists sealed blocks in order of their keys, of one scope if asked.
// A fencing number ends the orders of earlier owners of the scope first.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	after, scope := r.URL.Query().Get("after"), r.URL.Query().Get("scope")
	if text := r.Header.Get(backend.HeaderFencingNumber); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil || scope == "" {
			http.Error(w, "expected a fencing number and a scope", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		status := s.raise(scope, number)
		s.mu.Unlock()
		if status != http.StatusOK {
			http.Error(w, "the fencing number is not accepted", status)
			return
		}
	}
	writeJSON(w, s.listing(after, scope))
}

// raise takes in a fencing number of a scope; the lock is held.
func (s *Store) raise(scope string, number uint64) int {
	highest, ok := s.fencing[scope]
	if number < highest {
		return http.StatusConflict
	}
	if !ok && len(s.fencing) >= maxScopes {
		return http.StatusInsufficientStorage
	}
	s.fencing[scope] = number
	return http.StatusOK
}

func (s *Store) listing(after, scope string) backend.StoreListing {
	s.mu.RLock()
	defer s.mu.RUnlock()
	listing := backend.StoreListing{Incarnation: s.settings.Incarnation, UsedBytes: s.used}
	var keys []string
	for k, b := range s.blocks {
		if k > after && (scope == "" || b.scope == scope) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > listingPage {
		keys = keys[:listingPage]
		listing.Cursor = keys[listingPage-1]
	}
	for _, k := range keys {
		b := s.blocks[k]
		listing.Blocks = append(listing.Blocks, backend.SealedBlock{
			Key: k, Bytes: int64(len(b.data)), Checksum: b.checksum, Generation: b.generation, Metadata: b.meta,
		})
	}
	return listing
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
