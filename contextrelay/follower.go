package contextrelay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/contexts"
)

// Polling intervals and timeouts.
const (
	// pollWait is how long a poll waits for updates. Added to the age of the relay's
	// own state it must stay below contexts.MaxStateAge.
	pollWait       = 250 * time.Millisecond
	pollTimeout    = pollWait + 500*time.Millisecond
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Second
)

// Follower polls control instances for relayed state on behalf of an entry
// instance.
type Follower struct {
	watcher *contexts.Watcher
	client  *http.Client
	logger  *slog.Logger

	mu      sync.Mutex
	sources map[string]context.CancelFunc
}

// NewFollower returns a follower that applies the updates it receives to a watcher.
func NewFollower(w *contexts.Watcher, client *http.Client, logger *slog.Logger) *Follower {
	return &Follower{watcher: w, client: client, logger: logger, sources: make(map[string]context.CancelFunc)}
}

// SetSources makes the follower poll exactly the control instances at the given base
// URLs until the context ends.
func (f *Follower) SetSources(ctx context.Context, urls []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(urls))
	for _, url := range urls {
		wanted[url] = true
		if f.sources[url] == nil {
			followCtx, cancel := context.WithCancel(ctx)
			f.sources[url] = cancel
			go f.followSource(followCtx, url)
		}
	}
	for url, cancel := range f.sources {
		if !wanted[url] {
			cancel()
			delete(f.sources, url)
		}
	}
}

// followSource polls one control instance until the context ends, with a backoff
// after failures.
func (f *Follower) followSource(ctx context.Context, url string) {
	defer f.watcher.RemoveSource(url)
	client := fleetv1.NewContextsProtobufClient(url, f.client)
	var feed, cursor uint64
	backoff, unreachable := initialBackoff, false
	for ctx.Err() == nil {
		sent := f.watcher.Now()
		response, err := f.poll(ctx, client, feed, cursor)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if unreachable {
				f.logger.Info("context relay reachable again", slog.String("peer", url))
			}
			feed, cursor, backoff, unreachable = response.Feed, response.Cursor, initialBackoff, false
			f.watcher.ApplyUpdate(url, decodeUpdate(response), validAt(sent, f.watcher.Now(), response))
			continue
		case !unreachable:
			unreachable = true
			f.logger.Warn("context relay unreachable", slog.String("peer", url), slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll asks a relay for the changes after a cursor, which the relay may hold back for up
// to pollWait.
func (f *Follower) poll(ctx context.Context, c fleetv1.Contexts, feed, cursor uint64) (*fleetv1.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Follow(ctx, &fleetv1.FollowRequest{Feed: feed, Cursor: cursor, WaitMs: uint32(pollWait.Milliseconds())})
}

// validAt returns the time as of which a response is valid. Invariant: it is never
// later than the time at which the relay got the state. The response was in transit
// for the duration of the call less the time that the relay held the poll open;
// either process may have been suspended meanwhile.
func validAt(sent, received time.Time, r *fleetv1.FollowResponse) time.Time {
	held := time.Duration(r.HeldMs) * time.Millisecond
	transit := max(0, received.Sub(sent)-held)
	return received.Add(-transit - time.Duration(r.OldestMs)*time.Millisecond)
}

// decodeUpdate converts a response into the update that it carries.
func decodeUpdate(r *fleetv1.FollowResponse) *contexts.Update {
	update := &contexts.Update{Full: r.Whole, Cursor: r.Cursor, Stale: r.Silent}
	for _, h := range r.Holders {
		holder := contexts.HolderUpdate{Address: h.Address, Epoch: h.Epoch, Reset: h.Anew, Removed: h.Dropped}
		for _, p := range h.Parts {
			holder.Changes = append(holder.Changes, contexts.Change{Key: contexts.Key{Salt: p.Salt, Part: p.Part}, Tokens: int(p.Tokens)})
		}
		update.Holders = append(update.Holders, holder)
	}
	return update
}
