package registry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// changingDocument is a source of one document.
type changingDocument struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

func (d *changingDocument) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Published implements DocumentSource.
func (d *changingDocument) Published() []*controlv1.PublishedDocument {
	d.mu.Lock()
	defer d.mu.Unlock()
	return []*controlv1.PublishedDocument{{Name: "site", Version: d.version}}
}

// Changed implements DocumentSource.
func (d *changingDocument) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// ControlURLs implements DocumentSource.
func (d *changingDocument) ControlURLs() []string { return nil }

// TestDocumentChangesEndPollsAtABoundedRate guards against configurations in quick succession that end the
// polls of all entry instances each time: the replica of the same process then has no processor
// time left.
func TestDocumentChangesEndPollsAtABoundedRate(t *testing.T) {
	const (
		changeInterval = 10 * time.Millisecond
		duration       = 2 * time.Second
		pollWait       = 600 * time.Millisecond
		// roundTrip is the least time between two polls of one entry instance.
		roundTrip = time.Millisecond
	)
	for _, entries := range []int{1, 5, 30, 76} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				documents := &changingDocument{version: 1, changed: make(chan struct{})}
				hub := NewHub(time.Second, documents, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				var polls atomic.Int64
				var running sync.WaitGroup
				known := make([]uint64, entries)
				for n := range entries {
					running.Go(func() {
						var feed, cursor uint64
						for ctx.Err() == nil {
							response, err := hub.Sync(ctx, &fleetv1.SyncRequest{
								Self: &fleetv1.EntryInstance{Name: fmt.Sprint("e-", n), StartedUnixMs: 1}, Feed: feed, Cursor: cursor,
								Known: map[string]uint64{"site": known[n]}, WaitMs: uint32(pollWait.Milliseconds()),
							})
							if err != nil {
								return
							}
							polls.Add(1)
							for _, d := range response.Documents {
								known[n] = d.Version
							}
							feed, cursor = response.Feed, response.Cursor
							time.Sleep(roundTrip)
						}
					})
				}
				time.Sleep(2 * pollWait)
				documents.publish()
				time.Sleep(2 * roundTrip)
				synctest.Wait()
				for n := range entries {
					require.EqualValues(t, 2, known[n], "entry %d: a change after a pause is reported at once", n)
				}
				time.Sleep(pollWait)
				polls.Store(0)
				for range int(duration / changeInterval) {
					documents.publish()
					time.Sleep(changeInterval)
				}
				require.LessOrEqual(t, int(polls.Load()), entries*(int(duration/PollInterval(entries))+2))
				time.Sleep(2 * maxPollInterval)
				cancel()
				running.Wait()
				for n := range entries {
					require.Equal(t, documents.version, known[n], "entry %d", n)
				}
			})
		})
	}
}
