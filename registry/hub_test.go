package registry

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// noDocuments is a control state without documents.
type noDocuments struct{}

// Published returns no documents.
func (noDocuments) Published() []*controlv1.PublishedDocument { return nil }

// Changed returns nil, so no change is ever signaled.
func (noDocuments) Changed() <-chan struct{} { return nil }

// ControlURLs returns no URLs.
func (noDocuments) ControlURLs() []string { return nil }

// TestStoppingEntriesAreListedIfNoneAccepts guards against an empty address
// list while all entry instances are restarted one after the other, faster than
// they finish their streams: for seconds none of them accepts clients.
func TestStoppingEntriesAreListedIfNoneAccepts(t *testing.T) {
	hub := NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler))
	poll := func(name string, sequence uint64, accepting bool) {
		_, err := hub.Sync(t.Context(), &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: name, StartedUnixMs: 1, Sequence: sequence, Address: name, Accepting: accepting}})
		require.NoError(t, err)
	}
	poll("e-1", 1, true)
	poll("e-2", 1, true)
	poll("e-1", 2, false)
	require.Equal(t, []string{"e-2"}, hub.AcceptingAddresses("", 0))
	poll("e-2", 2, false)
	require.Equal(t, []string{"e-1", "e-2"}, hub.AcceptingAddresses("", 0))
}

// An entry that is not understood must leave a trace, and a writer that repeats it must not
// flood the log.
func TestRejectedAnnouncementsAreLoggedWithinBounds(t *testing.T) {
	var lines strings.Builder
	h := NewHub(time.Second, nil, slog.New(slog.NewTextHandler(&lines, nil)))
	for range 100 {
		h.Rejected(strings.Repeat("s", 1000), errors.New("port is missing"+strings.Repeat("x", 60000)))
	}
	require.Contains(t, lines.String(), "port is missing")
	require.LessOrEqual(t, strings.Count(lines.String(), "announcement rejected"), rejectedLogBurst+1)
	require.Less(t, lines.Len(), 500*(rejectedLogBurst+1))
}
