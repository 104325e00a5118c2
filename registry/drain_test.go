package registry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// A hub that stops must not wait for an entry instance that no longer polls for longer than
// it is told to.
func TestDrainOfHubIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler))
		_, err := h.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: "ended"}})
		require.NoError(t, err)
		require.NoError(t, h.Drain(t.Context()), "nothing has changed")
		h.Announce(&fleetv1.Announcement{Server: "i-1", BornUnixMs: 1, Sequence: 1, Service: "desk", Address: "127.0.0.1:9"})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, h.Drain(ctx), context.DeadlineExceeded)
		time.Sleep(entryPollGrace)
		require.NoError(t, h.Drain(t.Context()), "it no longer counts")
	})
}
