package contextrelay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/kernel"
)

// Timing of responses.
const (
	// maxPollWait bounds how long a poll is held open.
	maxPollWait = time.Second
	// batchDelay is the wait after the first change, so that several changes go
	// into one response. It is half the time of a long prefill, so that a part
	// reaches the entry instances before the next prompt that shares it. Polls make
	// up most of the cost of relaying.
	batchDelay = 150 * time.Millisecond
)

// Server polls holders on behalf of the entry instances and relays their state.
type Server struct {
	watcher *contexts.Watcher
	view    *fleetview.View
	self    string
	decode  func(content []byte) (*site.Document, error)
	logger  *slog.Logger
	// feed identifies this process's sequence of cursors.
	feed uint64
	// table is that of the newest site document; nil until there is one.
	table atomic.Pointer[site.Table]
	// undecodable is the version of the last document that could not be decoded,
	// which is logged once.
	undecodable uint64
}

var _ fleetv1.Contexts = (*Server)(nil)

// NewServer returns the server of the control instance with the base URL self.
// onDirectives is called, with the server and the start of its incarnation in Unix
// milliseconds, with what engines say about themselves in response to polls.
func NewServer(self string, f contexts.Feed, v *fleetview.View, decode func([]byte) (*site.Document, error), onDirectives func(server string, born int64, d dispatch.Directives), logger *slog.Logger) *Server {
	s := &Server{watcher: contexts.NewRelayWatcher(f, logger), view: v, self: self, decode: decode, logger: logger, feed: uint64(time.Now().UnixNano())}
	s.watcher.OnDirectives(func(address string, d dispatch.Directives) {
		if d.RateLimit != nil {
			s.watcher.SetPollInterval(address, dispatch.PollInterval(*d.RateLimit, len(v.Current().ControlURLs)))
		}
		table := s.table.Load()
		if table == nil {
			return
		}
		for _, a := range v.Current().NewestIncarnations(table.HasService) {
			if a.Address == address && (d.Server == "" || d.Server == a.Server) {
				onDirectives(a.Server, a.BornUnixMs, d)
			}
		}
	})
	return s
}

// Run polls the holders that the fleet snapshot assigns to this instance until the
// context ends.
func (s *Server) Run(ctx context.Context) {
	entries, assigned := 0, 0
	for {
		changed := s.view.Changed()
		snapshot := s.view.Current()
		table := s.latestTable(snapshot, s.table.Load())
		s.table.Store(table)
		entries = max(entries, len(snapshot.Entries))
		if table != nil {
			specs := assignedHolders(ListHolders(table, snapshot), entries, s.self, snapshot.ControlURLs)
			if len(specs) != assigned {
				assigned = len(specs)
				s.logger.Info("context holders assigned to this relay", slog.Int("holders", assigned), slog.Int("entries", entries), slog.Int("members", len(snapshot.ControlURLs)))
			}
			s.watcher.SetHolders(ctx, specs, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// latestTable returns the table of the newest site document, or the current table if
// that document is not newer or cannot be decoded.
func (s *Server) latestTable(p *fleetview.Snapshot, current *site.Table) *site.Table {
	d := p.Documents[site.DocumentName]
	if d == nil || (current != nil && d.Version <= current.Version) {
		return current
	}
	decoded, err := s.decode(d.Content)
	if err != nil {
		if d.Version != s.undecodable {
			s.undecodable = d.Version
			s.logger.Error("site document not decoded", slog.Uint64("version", d.Version), slog.Any("error", err))
		}
		return current
	}
	return site.Compile(decoded)
}

// Follow implements fleetv1.Contexts.
func (s *Server) Follow(ctx context.Context, r *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	received := kernel.SinceBoot()
	if r.Feed != s.feed || r.Cursor == 0 {
		return s.respond(0, received), nil
	}
	deadline := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxPollWait))
	defer deadline.Stop()
	for {
		update, changed := s.watcher.UpdatesSince(r.Cursor)
		if len(update.Holders) > 0 {
			if err := sleep(ctx, batchDelay); err != nil {
				return nil, err
			}
			return s.respond(r.Cursor, received), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.respond(r.Cursor, received), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// respond returns the response to a poll that arrived at boot time received.
// Invariant: the time that the poll was held open is taken before the ages, so that
// a suspend of this process between the two makes the response look older, never
// younger.
func (s *Server) respond(cursor uint64, received time.Duration) *fleetv1.FollowResponse {
	heldFor := kernel.SinceBoot() - received
	update, _ := s.watcher.UpdatesSince(cursor)
	response := &fleetv1.FollowResponse{
		Feed: s.feed, Cursor: update.Cursor, Whole: update.Full, Silent: update.Stale, OldestMs: uint32(update.MaxAge.Milliseconds()) + 1,
		HeldMs: uint32(heldFor.Milliseconds()),
	}
	for i := range update.Holders {
		holder := &update.Holders[i]
		h := &fleetv1.ContextHolder{Address: holder.Address, Epoch: holder.Epoch, Anew: holder.Reset, Dropped: holder.Removed}
		for _, c := range holder.Changes {
			h.Parts = append(h.Parts, &fleetv1.ContextPart{Salt: c.Salt, Part: c.Part, Tokens: uint32(max(0, c.Tokens))})
		}
		response.Holders = append(response.Holders, h)
	}
	return response
}

// sleep waits for d, or until the context ends, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
