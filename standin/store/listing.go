package store

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/galenaarch/galenaarch/api/backend"
)

// serveList lists sealed blocks sorted by key, optionally of one scope only. If the
// request has a fencing number, it first invalidates the numbers of earlier owners of
// that scope.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	after, scope := r.URL.Query().Get("after"), r.URL.Query().Get("scope")
	if header := r.Header.Get(backend.HeaderFencingNumber); header != "" {
		fencing, err := strconv.ParseUint(header, 10, 64)
		if err != nil || scope == "" {
			http.Error(w, "expected a fencing number and a scope", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		status := s.acceptFencingNumber(scope, fencing)
		s.mu.Unlock()
		if status != http.StatusOK {
			http.Error(w, "the fencing number is not accepted", status)
			return
		}
	}
	writeJSON(w, s.listing(after, scope))
}

// acceptFencingNumber records the fencing number of a scope and returns an HTTP
// status. It rejects numbers below the highest one seen. The caller must hold s.mu.
func (s *Store) acceptFencingNumber(scope string, fencing uint64) int {
	highest, ok := s.highestFencing[scope]
	if fencing < highest {
		return http.StatusConflict
	}
	if !ok && len(s.highestFencing) >= maxScopes {
		return http.StatusInsufficientStorage
	}
	s.highestFencing[scope] = fencing
	return http.StatusOK
}

// listing returns one page of the blocks of a scope, or of all scopes if it is empty, with
// keys greater than after. The cursor is empty on the last page.
func (s *Store) listing(after, scope string) backend.StoreListing {
	s.mu.RLock()
	defer s.mu.RUnlock()
	listing := backend.StoreListing{Incarnation: s.settings.Incarnation, UsedBytes: s.usedBytes}
	var keys []string
	for k, b := range s.blocks {
		if k > after && (scope == "" || b.scope == scope) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > listingPageSize {
		keys = keys[:listingPageSize]
		listing.Cursor = keys[listingPageSize-1]
	}
	for _, k := range keys {
		b := s.blocks[k]
		listing.Blocks = append(listing.Blocks, backend.SealedBlock{
			Key: k, Bytes: int64(len(b.data)), Checksum: b.checksum, Generation: b.generation, Metadata: b.metadata,
		})
	}
	return listing
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
