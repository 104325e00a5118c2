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

// Polling intervals and timeouts.
const (
	// pollWait is how long a holder may hold a poll open; pollTimeout ends a poll
	// whose connection is dead.
	pollWait       = 700 * time.Millisecond
	pollTimeout    = pollWait + 500*time.Millisecond
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = time.Second
	// relayInterval is the pause between two polls of an instance that relays
	// state.
	relayInterval = 120 * time.Millisecond
)

// Feed polls stores and engines for their content.
type Feed interface {
	// Changes returns the changes after a cursor, waiting up to wait for one. The
	// result is never nil: together with an error it may contain directives. A holder
	// that asks not to be polled for some time returns a dispatch.RetryAfterError.
	Changes(ctx context.Context, address string, after uint64, wait time.Duration) (*Changes, error)
	// List returns everything that a holder holds. It delays the holder's other work.
	List(ctx context.Context, address string) (*Changes, error)
}

// HolderSpec describes a store or engine to be tracked.
type HolderSpec struct {
	Address, Zone string
	Capacity      int
	// Rate is the link's throughput in tokens per millisecond.
	Rate       float64
	FirstDelay time.Duration
	// Engine marks a backend server: it caches parts for its own use, others may
	// fetch them, and nothing is saved there on request.
	Engine bool
	// PausedUntil is the wall-clock time before which a holder that was not tracked yet is
	// not polled.
	PausedUntil time.Time
}

// Watcher tracks the state of all stores and engines. It polls some of them itself
// and gets the state of the others from relaying instances.
type Watcher struct {
	feed     Feed
	logger   *slog.Logger
	started  time.Time
	bootTime time.Duration
	options  Options
	// onDirectives is called with the directives of engines.
	onDirectives func(address string, d dispatch.Directives)

	mu sync.Mutex
	// polled holds the holders that this watcher polls, by address.
	polled map[string]*polledHolder
	// relayed holds the holders whose state other instances relay, views the state
	// by relaying instance and holder address.
	relayed map[string]*relayedHolder
	views   map[string]map[string]*HolderState
	// candidates holds the states that decisions use.
	candidates []*HolderState
	// journal records the changes of the polled holders for subscribers; nil if
	// there are none.
	journal *journal
}

// polledHolder is a holder that this watcher polls itself.
type polledHolder struct {
	*HolderState
	cancel context.CancelFunc
	// pausedUntil is the wall-clock time before which it is not polled.
	pausedUntil time.Time
	// minInterval is the least time between two polls; 0 for none.
	minInterval time.Duration
}

// NewWatcher returns a watcher without holders.
func NewWatcher(f Feed, logger *slog.Logger) *Watcher {
	return &Watcher{
		feed: f, logger: logger, polled: make(map[string]*polledHolder), relayed: make(map[string]*relayedHolder),
		views: make(map[string]map[string]*HolderState), started: time.Now(), bootTime: kernel.SinceBoot(),
	}
}

// OnDirectives sets the callback for what engines say about themselves in response to
// polls. It must be called before any holder is tracked.
func (w *Watcher) OnDirectives(f func(address string, d dispatch.Directives)) { w.onDirectives = f }

// PausePolling suspends the polling of an engine or store until a wall-clock time. It
// never shortens a pause.
func (w *Watcher) PausePolling(address string, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.polled[address]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// SetPollInterval sets the least time between two polls of an engine or store; 0 for none.
func (w *Watcher) SetPollInterval(address string, interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.polled[address]; s != nil {
		s.minInterval = interval
	}
}

// Options switches off parts of the transfer decisions, for experiments.
type Options struct {
	// DisableEngineFetch disables fetching from engines. IgnoreSlowness assumes that
	// all links are as fast as configured.
	DisableEngineFetch, IgnoreSlowness bool
}

// SetOptions sets the options. It must be called before any holder is tracked.
func (w *Watcher) SetOptions(o Options) { w.options = o }

// NewRelayWatcher returns a watcher that relays its state to subscribers.
func NewRelayWatcher(f Feed, logger *slog.Logger) *Watcher {
	w := NewWatcher(f, logger)
	w.journal = newJournal()
	return w
}

// Now returns the time on a clock that advances during system suspend, so that
// state from before a suspend counts as stale.
func (w *Watcher) Now() time.Time { return w.started.Add(kernel.SinceBoot() - w.bootTime) }

// SetHolders makes the watcher poll exactly the holders in polled until the context
// ends, and use the relayed state of those in relayed.
func (w *Watcher) SetHolders(ctx context.Context, polled, relayed []HolderSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[string]bool, len(polled))
	for _, spec := range polled {
		wanted[spec.Address] = true
		s := w.polled[spec.Address]
		if s == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			s = &polledHolder{HolderState: NewHolderState(spec.Address, spec.Zone), cancel: cancel, pausedUntil: spec.PausedUntil}
			s.journal = w.journal
			w.polled[spec.Address] = s
			go w.pollLoop(pollCtx, s.HolderState)
		}
		s.configure(spec)
	}
	for address, s := range w.polled {
		if !wanted[address] {
			s.cancel()
			delete(w.polled, address)
			if w.journal != nil {
				w.journal.add(record{address: address, removed: true})
			}
		}
	}
	w.setRelayed(relayed)
	w.refreshCandidates(w.Now())
}

func (s *HolderState) configure(spec HolderSpec) {
	s.Engine, s.Capacity, s.Rate, s.FirstDelay = spec.Engine, spec.Capacity, spec.Rate, spec.FirstDelay
}

// refreshCandidates rebuilds the list of holders that decisions use; the caller
// holds w.mu.
func (w *Watcher) refreshCandidates(now time.Time) {
	w.candidates = w.candidates[:0]
	add := func(s *HolderState) {
		if !s.Engine || !w.options.DisableEngineFetch {
			s.ignoreSlowness = w.options.IgnoreSlowness
			w.candidates = append(w.candidates, s)
		}
	}
	for _, s := range w.polled {
		add(s.HolderState)
	}
	for _, h := range w.relayed {
		if h.selectView(now); h.current != nil {
			add(h.current)
		}
	}
}

// view returns the state of a holder, or nil; the caller holds w.mu.
func (w *Watcher) view(address string) *HolderState {
	if s := w.polled[address]; s != nil {
		return s.HolderState
	}
	if h := w.relayed[address]; h != nil {
		return h.current
	}
	return nil
}

// Plan decides the transfers of a prompt's shared parts. The caller must call
// EndTransfers once the server has prefilled the prompt or has given it up.
func (w *Watcher) Plan(parts []Part, to Target) Transfers {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Plan(w.candidates, parts, to, w.Now())
}

// EndTransfers records that the transfers of a prompt are over. elapsed is their
// duration, or 0 if it is unknown.
func (w *Watcher) EndTransfers(t *Transfers, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.finish(elapsed, w.Now())
}

// FetchableTokens returns how many leading tokens of the shared parts can be fetched
// from some holder, and how long that is expected to take between failure domains.
func (w *Watcher) FetchableTokens(parts []Part) (tokens int, transferTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	for _, p := range parts {
		s := fastestHolder(w.candidates, p, Target{}, now)
		if s == nil {
			break
		}
		tokens += p.Tokens
		transferTime += s.transfer(p.Tokens, "", now)
	}
	return tokens, transferTime
}

// CachedTokens returns how many leading tokens of the shared parts an engine holds.
// known is false if the engine is not tracked, if its state is stale, or if its
// state is relayed and all the parts are too short to be relayed.
func (w *Watcher) CachedTokens(address string, parts []Part) (tokens int, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.view(address)
	if s == nil || !s.Fresh(w.Now()) {
		return 0, false
	}
	known = !s.relayed
	for _, p := range parts {
		if s.relayed && p.Tokens < MinRelayedTokens {
			tokens += p.Tokens // assumed to be cached and evicted together with the longer parts
			continue
		}
		known = true
		held := min(s.held[p.Key], p.Tokens)
		if held == 0 && s.relayed {
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

// RecordPrefill records that an engine has prefilled parts, ahead of its own report.
func (w *Watcher) RecordPrefill(address string, parts []Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.view(address); s != nil && s.Fresh(w.Now()) {
		for _, p := range parts {
			s.apply(Change(p))
		}
	}
}

// blockTokens is the granularity in which engines report cached tokens.
const blockTokens = 16

// pollLoop polls a holder until the context ends, with a backoff after failures.
func (w *Watcher) pollLoop(ctx context.Context, s *HolderState) {
	backoff := initialBackoff
	unreachable := false
	var polledAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, w.pauseRemaining(s.Address))
		w.awaitPollInterval(ctx, s.Address, polledAt)
		polledAt = time.Now()
		err := w.poll(ctx, s)
		var paused *dispatch.RetryAfterError
		if errors.As(err, &paused) {
			w.PausePolling(s.Address, time.Now().Add(paused.Pause()))
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if unreachable {
				w.logger.Info("context holder reachable again", slog.String("address", s.Address))
			}
			backoff, unreachable = initialBackoff, false
			if w.journal != nil {
				// The pause batches the changes for subscribers.
				sleep(ctx, relayInterval)
			}
			continue
		case !unreachable:
			unreachable = true
			w.logger.Warn("context holder unreachable", slog.String("address", s.Address), slog.Any("error", err))
		}
		w.mu.Lock()
		s.Invalidate()
		w.mu.Unlock()
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// pauseRemaining returns how long an engine or store must not be polled.
func (w *Watcher) pauseRemaining(address string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.polled[address]; s != nil {
		return time.Until(s.pausedUntil)
	}
	return 0
}

// awaitPollInterval waits until the least time between two polls has passed since the
// last one. The interval may change meanwhile.
func (w *Watcher) awaitPollInterval(ctx context.Context, address string, last time.Time) {
	for ctx.Err() == nil {
		w.mu.Lock()
		interval := time.Duration(0)
		if s := w.polled[address]; s != nil {
			interval = s.minInterval
		}
		w.mu.Unlock()
		remaining := interval - time.Since(last)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, maxBackoff))
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// reportDirectives passes on what an engine says about itself; the end of a rate limit once.
func (w *Watcher) reportDirectives(s *HolderState, d dispatch.Directives) {
	if w.onDirectives == nil {
		return
	}
	w.mu.Lock()
	if !s.Engine {
		w.mu.Unlock()
		return
	}
	limited := d.RateLimit != nil && (d.RateLimit.Limited || s.rateLimited)
	s.rateLimited = limited && d.RateLimit.Limited
	w.mu.Unlock()
	if d.Leaving || limited || d.PauseFor != nil {
		w.onDirectives(s.Address, d)
	}
}

// poll polls a holder once. The age of the state counts from the end of the poll.
func (w *Watcher) poll(ctx context.Context, s *HolderState) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	w.mu.Lock()
	after := s.Cursor()
	w.mu.Unlock()
	changes, err := w.feed.Changes(ctx, s.Address, after, pollWait)
	w.reportDirectives(s, changes.Directives)
	if err != nil {
		return err
	}
	w.logMalformed(s, changes)
	w.mu.Lock()
	complete := s.ApplyChanges(changes, w.Now())
	if !complete && s.Engine {
		// A listing would delay the engine's requests.
		s.SkipGap(changes, w.Now())
		complete = true
	}
	w.mu.Unlock()
	if complete {
		return nil
	}
	w.logger.Info("gap in store changes, requesting full listing", slog.String("address", s.Address), slog.Uint64("after", after))
	listing, err := w.feed.List(ctx, s.Address)
	if err != nil {
		return err
	}
	w.logMalformed(s, listing)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Replace(listing, w.Now())
	return nil
}

// logMalformed logs that a report lacks entries that could not be decoded.
func (w *Watcher) logMalformed(s *HolderState, c *Changes) {
	if c.Malformed > 0 {
		w.logger.Warn("malformed entries of a context holder ignored", slog.String("address", s.Address), slog.Int("entries", c.Malformed), slog.Uint64("next", c.Next))
	}
}
