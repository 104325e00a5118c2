package registry

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// Guards against instances that ask what is known now and are not told of a change just before, which
// waits to be shown together with others: they would take a server for the one that it was.
func TestPollThatDoesNotWaitReturnsAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := &changingDocument{changed: make(chan struct{})}
		hub := NewHub(time.Second, documents, slog.New(slog.DiscardHandler))
		var feed, cursor uint64
		poll := func() *fleetv1.SyncResponse {
			response, err := hub.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: "e-1", StartedUnixMs: 1}, Feed: feed, Cursor: cursor})
			require.NoError(t, err)
			feed, cursor = response.Feed, response.Cursor
			return response
		}
		poll()
		time.Sleep(time.Second)
		for n := range 3 { // within PollInterval
			hub.Announce(&fleetv1.Announcement{Server: "i-1", BornUnixMs: int64(n + 1), Sequence: 1, Service: "s", Software: fmt.Sprint("v", n+1), Address: "10.0.0.1:1"})
			documents.publish()
			response := poll()
			require.Len(t, response.Announcements, 1, "change %d", n+1)
			require.Equal(t, int64(n+1), response.Announcements[0].BornUnixMs)
			require.Len(t, response.Documents, 1)
			require.Equal(t, uint64(n+1), response.Documents[0].Version)
		}
		require.Empty(t, poll().Announcements)
		time.Sleep(time.Second)
	})
}
