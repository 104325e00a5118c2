package store

import (
	"encoding/json"
	"net/http"
)

// FaultRequest is a fault injection request. Fields with the zero value leave the
// setting unchanged.
type FaultRequest struct {
	// LinkBytesPerSecond is the new bandwidth of the link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second,omitempty"`
	// CapacityBytes is the new capacity. Blocks that exceed it stay until they are
	// deleted.
	CapacityBytes int64 `json:"capacity_bytes,omitempty"`
	// Stalled makes reads and writes wait until their requests are cancelled.
	Stalled *bool `json:"stalled,omitempty"`
}

// Stats holds the counters of a store.
type Stats struct {
	// ReadBytes and WrittenBytes are the bytes transferred over the link.
	ReadBytes    int64 `json:"read_bytes"`
	WrittenBytes int64 `json:"written_bytes"`
	UsedBytes    int64 `json:"used_bytes"`
	Blocks       int   `json:"blocks"`
}

// serveFaults changes the settings that a fault request names and returns the counters.
func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "expected faults", http.StatusBadRequest)
		return
	}
	if faults.LinkBytesPerSecond > 0 {
		s.SetLinkRate(faults.LinkBytesPerSecond)
	}
	if faults.Stalled != nil {
		s.stalled.Store(*faults.Stalled)
	}
	if faults.CapacityBytes > 0 {
		s.mu.Lock()
		s.capacityBytes = faults.CapacityBytes
		s.mu.Unlock()
	}
	writeJSON(w, s.Stats())
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Stats{ReadBytes: s.bytesRead.Load(), WrittenBytes: s.bytesWritten.Load(), UsedBytes: s.usedBytes, Blocks: len(s.blocks)}
}
