package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// TestChangesEndPollsAtABoundedRate guards against changes in quick succession that end the polls of
// all entry instances each time: the replica of the same process then has no processor time left.
func TestChangesEndPollsAtABoundedRate(t *testing.T) {
	const (
		changeInterval = time.Millisecond
		duration       = 2 * time.Second
		pollWait       = 600 * time.Millisecond
		// roundTrip is the least time between two polls of one entry instance.
		roundTrip = time.Millisecond
	)
	for _, entries := range []int{1, 5, 76} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hub := NewHub(time.Second, noDocuments{}, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				var polls atomic.Int64
				var running sync.WaitGroup
				// known counts the servers that each entry instance knows.
				known := make([]int, entries)
				for n := range entries {
					running.Go(func() {
						var feed, cursor uint64
						for ctx.Err() == nil {
							response, err := hub.Sync(ctx, &fleetv1.SyncRequest{Self: &fleetv1.EntryInstance{Name: fmt.Sprint("e-", n), StartedUnixMs: 1}, Feed: feed, Cursor: cursor, WaitMs: uint32(pollWait.Milliseconds())})
							if err != nil {
								return
							}
							polls.Add(1)
							known[n] += len(response.Announcements)
							feed, cursor = response.Feed, response.Cursor
							time.Sleep(roundTrip)
						}
					})
				}
				time.Sleep(pollWait)
				polls.Store(0)
				changes := int(duration / changeInterval)
				for n := range changes {
					hub.Announce(&fleetv1.Announcement{Server: fmt.Sprint("i-", n), BornUnixMs: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1)})
					time.Sleep(changeInterval)
				}
				require.LessOrEqual(t, int(polls.Load()), entries*(int(duration/PollInterval(entries))+2))
				time.Sleep(2 * maxPollInterval)
				cancel()
				running.Wait()
				for n := range entries {
					require.Equal(t, changes, known[n], "entry %d", n)
				}
			})
		})
	}
}
