package contexts

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/kernel"
)

// Times of a watch.
const (
	// pollWait is how long a store keeps a question waiting; pollTimeout ends
	// one whose connection went silent.
	pollWait    = 700 * time.Millisecond
	pollTimeout = pollWait + 500*time.Millisecond
	retryPause  = 200 * time.Millisecond
	maxPause    = time.Second
	// tellPause lies between two questions of an instance that tells others.
	tellPause = 120 * time.Millisecond
)

// Feed asks stores what they hold.
type Feed interface {
	// Changes returns what changed after a cursor; it waits for news for some
	// time. What was changed is never nil, and says with an error too whether the
	// engine leaves; one that wants nothing for a time is a dispatch.PausedError.
	Changes(ctx context.Context, address string, after uint64, wait time.Duration) (*Changes, error)
	// List returns all that is held. It delays the store's other work.
	List(ctx context.Context, address string) (*Changes, error)
}

// Place describes a store to be watched.
type Place struct {
	Address, Zone string
	Capacity      int
	// Rate is the tokens that the store's link brings in a millisecond.
	Rate       float64
	FirstDelay time.Duration
	// Engine marks a backend server: it caches parts for itself, others may read
	// them, and nothing is saved there by order.
	Engine bool
}

// Watch keeps the pictures of all stores and engines. Some it asks itself, of
// the others it is told.
type Watch struct {
	feed    Feed
	logger  *slog.Logger
	started time.Time
	boot    time.Duration
	beliefs Beliefs
	leaving func(address string)

	mu     sync.Mutex
	stores map[string]*watched
	// told are the places of which other instances tell, pictures what each of
	// them said, by instance and address.
	told     map[string]*toldPlace
	pictures map[string]map[string]*Store
	order    []*Store
	// journal notes the changes of the stores; nil if nobody is told of them.
	journal *journal
}

type watched struct {
	*Store
	cancel context.CancelFunc
	// pausedUntil is when it may be asked again; on the wall clock.
	pausedUntil time.Time
}

// NewWatch returns a watch without stores.
func NewWatch(f Feed, logger *slog.Logger) *Watch {
	return &Watch{
		feed: f, logger: logger, stores: make(map[string]*watched), told: make(map[string]*toldPlace),
		pictures: make(map[string]map[string]*Store), started: time.Now(), boot: kernel.BootTime(),
	}
}

// OnLeaving sets what is called when an engine says to a question of this watch
// that it leaves; it must be called before anything is watched.
func (w *Watch) OnLeaving(f func(address string)) { w.leaving = f }

// Pause leaves an engine or a store alone until a time.
func (w *Watch) Pause(address string, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.stores[address]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// Beliefs are the parts of the decisions on transfers that can be switched off, for
// experiments.
type Beliefs struct {
	// NoEngines says that nothing is read from engines, NoSlowness that all links
	// are taken to be as fast as their figures say.
	NoEngines, NoSlowness bool
}

// Believe sets what is switched off; it must be called before anything is watched.
func (w *Watch) Believe(b Beliefs) { w.beliefs = b }

// NewTeller returns a watch whose pictures others are told of.
func NewTeller(f Feed, logger *slog.Logger) *Watch {
	w := NewWatch(f, logger)
	w.journal = newJournal()
	return w
}

// Now is the time on a clock that counts suspensions, so that a machine that
// stood still does not trust what it knew before.
func (w *Watch) Now() time.Time { return w.started.Add(kernel.BootTime() - w.boot) }

// Set makes the watch ask exactly the places in asked until the context ends,
// and use what it is told of those in told.
func (w *Watch) Set(ctx context.Context, asked, told []Place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[string]bool, len(asked))
	for _, p := range asked {
		wanted[p.Address] = true
		s := w.stores[p.Address]
		if s == nil {
			follow, cancel := context.WithCancel(ctx)
			s = &watched{Store: NewStore(p.Address, p.Zone), cancel: cancel}
			s.journal = w.journal
			w.stores[p.Address] = s
			go w.follow(follow, s.Store)
		}
		s.describe(p)
	}
	for address, s := range w.stores {
		if !wanted[address] {
			s.cancel()
			delete(w.stores, address)
			if w.journal != nil {
				w.journal.add(record{address: address, dropped: true})
			}
		}
	}
	w.setTold(told)
	w.arrange(w.Now())
}

// describe takes the figures of a place.
func (s *Store) describe(p Place) {
	s.Engine, s.Capacity, s.Rate, s.FirstDelay = p.Engine, p.Capacity, p.Rate, p.FirstDelay
}

// arrange lists the pictures that decisions use; the caller holds the lock.
func (w *Watch) arrange(now time.Time) {
	w.order = w.order[:0]
	add := func(s *Store) {
		if !s.Engine || !w.beliefs.NoEngines {
			s.steady = w.beliefs.NoSlowness
			w.order = append(w.order, s)
		}
	}
	for _, s := range w.stores {
		add(s.Store)
	}
	for _, t := range w.told {
		if t.choose(now); t.current != nil {
			add(t.current)
		}
	}
}

// picture is what is known of a place, or nil; the caller holds the lock.
func (w *Watch) picture(address string) *Store {
	if s := w.stores[address]; s != nil {
		return s.Store
	}
	if t := w.told[address]; t != nil {
		return t.current
	}
	return nil
}

// Plan decides the transfers of a prompt's shared parts. End must be called when
// the server has read the prompt, or will not.
func (w *Watch) Plan(parts []Part, to Target) Transfers {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Plan(w.order, parts, to, w.Now())
}

// End notes that the transfers of a prompt are over; took is 0 if it is not
// known how long they took.
func (w *Watch) End(t *Transfers, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.end(took, w.Now())
}

// Held is how many tokens of the shared parts, from the first on, some store
// can bring, and the time that this takes.
func (w *Watch) Held(parts []Part) (tokens int, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	for _, p := range parts {
		s := holderOf(w.order, p, Target{}, now)
		if s == nil {
			break
		}
		tokens += p.Tokens
		took += s.transfer(p.Tokens, "", now)
	}
	return tokens, took
}

// Cached is how many tokens of the shared parts, from the first on, an engine
// holds; known is false if the engine is not watched, was not heard lately, or
// is one of which others tell only of longer parts.
func (w *Watch) Cached(address string, parts []Part) (tokens int, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.picture(address)
	if s == nil || !s.Fresh(w.Now()) {
		return 0, false
	}
	known = !s.told
	for _, p := range parts {
		if s.told && p.Tokens < LeastTold {
			tokens += p.Tokens // it went the way of the longer ones
			continue
		}
		known = true
		held := min(s.held[p.Key], p.Tokens)
		if held == 0 && s.told {
			return 0, true
		}
		tokens += held
		if held < p.Tokens-blockTokens {
			break
		}
	}
	if !known {
		return 0, false
	}
	return tokens, true
}

// Read notes that an engine has read parts: its own word comes later.
func (w *Watch) Read(address string, parts []Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.picture(address); s != nil && s.Fresh(w.Now()) {
		for _, p := range parts {
			s.apply(Change(p))
		}
	}
}

// blockTokens is the step in which engines count what they hold; tokens.
const blockTokens = 16

func (w *Watch) follow(ctx context.Context, s *Store) {
	pause := retryPause
	lost := false
	for ctx.Err() == nil {
		rest(ctx, w.paused(s.Address))
		err := w.ask(ctx, s)
		var paused *dispatch.PausedError
		if errors.As(err, &paused) {
			w.Pause(s.Address, time.Now().Add(paused.Wait()))
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if lost {
				w.logger.Info("store reached", slog.String("address", s.Address))
			}
			pause, lost = retryPause, false
			if w.journal != nil {
				// Listeners are told several changes at once.
				rest(ctx, tellPause)
			}
			continue
		case !lost:
			lost = true
			w.logger.Warn("store lost", slog.String("address", s.Address), slog.Any("error", err))
		}
		w.mu.Lock()
		s.Lose()
		w.mu.Unlock()
		rest(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// paused is how long an engine or a store is still to be left alone.
func (w *Watch) paused(address string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.stores[address]; s != nil {
		return time.Until(s.pausedUntil)
	}
	return 0
}

func rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask asks once. The picture is as old as the question.
func (w *Watch) ask(ctx context.Context, s *Store) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	w.mu.Lock()
	after := s.Cursor()
	w.mu.Unlock()
	changes, err := w.feed.Changes(ctx, s.Address, after, pollWait)
	if changes.Leaving && s.Engine && w.leaving != nil {
		w.leaving(s.Address)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	whole := s.Take(changes, w.Now())
	if !whole && s.Engine {
		// A listing would hold up the engine's requests.
		s.Skip(changes, w.Now())
		whole = true
	}
	w.mu.Unlock()
	if whole {
		return nil
	}
	w.logger.Info("store's changes have a gap", slog.String("address", s.Address), slog.Uint64("after", after))
	listing, err := w.feed.List(ctx, s.Address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Replace(listing, w.Now())
	return nil
}
