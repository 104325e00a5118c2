package registry

import (
	"context"
	"time"
)

// drainPollInterval is how often Drain checks what the entry instances know.
const drainPollInterval = 5 * time.Millisecond

// Drain shows the changes of the table that wait to be shown, and waits until the polling entry
// instances know them or ctx is done. It must be called before the process stops: a server
// tells one control instance only that it ends.
func (h *Hub) Drain(ctx context.Context) error {
	h.mu.Lock()
	if h.wakePending {
		h.showChanges()
	}
	cursor := h.shownCursor
	h.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !h.entriesKnow(cursor) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// entriesKnow reports whether all entry instances that poll know the changes up to cursor.
func (h *Hub) entriesKnow(cursor uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.liveEntries() {
		if h.entries[e.Name].cursor < cursor {
			return false
		}
	}
	return true
}
