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

// Times of a follower.
const (
	// followWait is how long a poll waits for news. Together with the age of the
	// teller's own word it stays below the age up to which contexts are used.
	followWait    = 250 * time.Millisecond
	followTimeout = followWait + 500*time.Millisecond
	retryPause    = 200 * time.Millisecond
	maxPause      = time.Second
)

// Follower listens to control instances for an entry instance.
type Follower struct {
	watch  *contexts.Watch
	client *http.Client
	logger *slog.Logger

	mu      sync.Mutex
	sources map[string]context.CancelFunc
}

// NewFollower returns a follower that hands what it is told to a watch.
func NewFollower(w *contexts.Watch, client *http.Client, logger *slog.Logger) *Follower {
	return &Follower{watch: w, client: client, logger: logger, sources: make(map[string]context.CancelFunc)}
}

// Set makes the follower listen to exactly the control instances at some base
// URLs until the context ends.
func (f *Follower) Set(ctx context.Context, urls []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(urls))
	for _, url := range urls {
		wanted[url] = true
		if f.sources[url] == nil {
			follow, cancel := context.WithCancel(ctx)
			f.sources[url] = cancel
			go f.follow(follow, url)
		}
	}
	for url, cancel := range f.sources {
		if !wanted[url] {
			cancel()
			delete(f.sources, url)
		}
	}
}

func (f *Follower) follow(ctx context.Context, url string) {
	defer f.watch.Forget(url)
	client := fleetv1.NewContextsProtobufClient(url, f.client)
	var feed, cursor uint64
	pause, lost := retryPause, false
	for ctx.Err() == nil {
		sent := f.watch.Now()
		response, err := f.poll(ctx, client, feed, cursor)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if lost {
				f.logger.Info("teller of contexts reached", slog.String("peer", url))
			}
			feed, cursor, pause, lost = response.Feed, response.Cursor, retryPause, false
			f.watch.Take(url, toldOf(response), trueAt(sent, f.watch.Now(), response))
			continue
		case !lost:
			lost = true
			f.logger.Warn("teller of contexts lost", slog.String("peer", url), slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

func (f *Follower) poll(ctx context.Context, c fleetv1.Contexts, feed, cursor uint64) (*fleetv1.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	return c.Follow(ctx, &fleetv1.FollowRequest{Feed: feed, Cursor: cursor, WaitMs: uint32(followWait.Milliseconds())})
}

// trueAt is when what an answer says was true at the latest. Invariant: it is
// never later than when the teller heard it. The answer was on its way for the
// time of the call less what the teller held it; either process may have stood
// still in that time.
func trueAt(sent, received time.Time, r *fleetv1.FollowResponse) time.Time {
	held := time.Duration(r.HeldMs) * time.Millisecond
	way := max(0, received.Sub(sent)-held)
	return received.Add(-way - time.Duration(r.OldestMs)*time.Millisecond)
}

func toldOf(r *fleetv1.FollowResponse) *contexts.Told {
	t := &contexts.Told{Whole: r.Whole, Cursor: r.Cursor, Silent: r.Silent}
	for _, h := range r.Holders {
		n := contexts.News{Address: h.Address, Epoch: h.Epoch, Anew: h.Anew, Dropped: h.Dropped}
		for _, p := range h.Parts {
			n.Changes = append(n.Changes, contexts.Change{Key: contexts.Key{Salt: p.Salt, Part: p.Part}, Tokens: int(p.Tokens)})
		}
		t.News = append(t.News, n)
	}
	return t
}
