package contextrelay

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/kernel"
)

// Times of a server.
const (
	// maxWait bounds one poll.
	maxWait = time.Second
	// gatherFor is waited after the first news, so that several come in one
	// answer: half the time for which a long prompt is read, so that the next one
	// of its part is told in time. Polls are most of what the telling costs.
	gatherFor = 150 * time.Millisecond
)

// Server asks holders for the entry instances and tells them.
type Server struct {
	watch  *contexts.Watch
	view   *fleetview.View
	self   string
	decode func(content []byte) (*site.Document, error)
	logger *slog.Logger
	feed   uint64
	// unread is the version of the document that was last found unreadable.
	unread uint64
}

var _ fleetv1.Contexts = (*Server)(nil)

// NewServer returns the server of the control instance at a base URL. leaves hears
// of engines that say they leave.
func NewServer(self string, f contexts.Feed, v *fleetview.View, decode func([]byte) (*site.Document, error), leaves func(server string, born int64), logger *slog.Logger) *Server {
	s := &Server{watch: contexts.NewTeller(f, logger), view: v, self: self, decode: decode, logger: logger, feed: uint64(time.Now().UnixNano())}
	s.watch.OnLeaving(func(address string) {
		for _, a := range v.Current().Youngest() {
			if a.Address == address {
				leaves(a.Server, a.BornUnixMs)
			}
		}
	})
	return s
}

// Run follows the holders that the fleet's picture assigns to this instance
// until the context ends.
func (s *Server) Run(ctx context.Context) {
	var table *site.Table
	entries, count := 0, 0
	for {
		changed := s.view.Changed()
		picture := s.view.Current()
		table = s.document(picture, table)
		entries = max(entries, len(picture.Entries))
		if table != nil {
			places := toTell(Holders(table, picture), entries, s.self, picture.Hosts)
			if len(places) != count {
				count = len(places)
				s.logger.Info("holders of contexts assigned", slog.Int("holders", count), slog.Int("entries", entries), slog.Int("members", len(picture.Hosts)))
			}
			s.watch.Set(ctx, places, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// document is the newest document, or the one held if that cannot be read.
func (s *Server) document(p *fleetview.Snapshot, held *site.Table) *site.Table {
	d := p.Documents[site.DocumentName]
	if d == nil || (held != nil && d.Version <= held.Version) {
		return held
	}
	decoded, err := s.decode(d.Content)
	if err != nil {
		if d.Version != s.unread {
			s.unread = d.Version
			s.logger.Error("document not read", slog.Uint64("version", d.Version), slog.Any("error", err))
		}
		return held
	}
	return site.Compile(decoded)
}

// Follow implements fleetv1.Contexts.
func (s *Server) Follow(ctx context.Context, r *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	began := kernel.BootTime()
	if r.Feed != s.feed || r.Cursor == 0 {
		return s.respond(0, began), nil
	}
	deadline := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		told, changed := s.watch.Tell(r.Cursor)
		if len(told.News) > 0 {
			if err := pause(ctx, gatherFor); err != nil {
				return nil, err
			}
			return s.respond(r.Cursor, began), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return s.respond(r.Cursor, began), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// respond answers a question that came at a boot time. Invariant: the time that
// it was held is taken before the ages, so that a pause of this process between
// the two makes the answer look older, never younger.
func (s *Server) respond(cursor uint64, began time.Duration) *fleetv1.FollowResponse {
	held := kernel.BootTime() - began
	t, _ := s.watch.Tell(cursor)
	response := &fleetv1.FollowResponse{
		Feed: s.feed, Cursor: t.Cursor, Whole: t.Whole, Silent: t.Silent, OldestMs: uint32(t.Oldest.Milliseconds()) + 1,
		HeldMs: uint32(held.Milliseconds()),
	}
	for i := range t.News {
		n := &t.News[i]
		h := &fleetv1.ContextHolder{Address: n.Address, Epoch: n.Epoch, Anew: n.Anew, Dropped: n.Dropped}
		for _, c := range n.Changes {
			h.Parts = append(h.Parts, &fleetv1.ContextPart{Salt: c.Salt, Part: c.Part, Tokens: uint32(max(0, c.Tokens))})
		}
		response.Holders = append(response.Holders, h)
	}
	return response
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
