package registry

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// Times of a hub.
const (
	// maxWait bounds one poll, so that a listener which died is missed soon.
	maxWait = time.Second
	// entryGrace is how long an entry instance may be between two polls before
	// callers are no longer sent to it.
	entryGrace = 1200 * time.Millisecond
	ageEvery   = 200 * time.Millisecond
)

// Documents is what a hub passes on of the control state.
type Documents interface {
	// Published lists the newest versions of all documents.
	Published() []*controlv1.PublishedDocument
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Members lists the base URLs of the control group.
	Members() []string
}

// entry is an entry instance that polls this hub.
type entry struct {
	*fleetv1.EntryInstance
	polls int
	last  time.Time
}

// Hub serves the feed of one control instance.
type Hub struct {
	documents Documents
	logger    *slog.Logger
	feed      uint64

	mu      sync.Mutex
	table   *Table
	entries map[string]*entry
	changed chan struct{}
}

// NewHub returns a hub whose feed is named after its start.
func NewHub(interval time.Duration, d Documents, logger *slog.Logger) *Hub {
	return &Hub{
		documents: d, logger: logger, feed: uint64(time.Now().UnixNano()), table: NewTable(interval),
		entries: make(map[string]*entry), changed: make(chan struct{}),
	}
}

// Interface guard.
var _ fleetv1.Fleet = (*Hub)(nil)

// Run ages the table until the context ends.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(ageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		if h.table.Age(time.Now()) {
			h.notify()
		}
		h.mu.Unlock()
	}
}

func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Hear takes a server's announcement.
func (h *Hub) Hear(a *fleetv1.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Full(a.Server) {
		h.logger.Warn("server not taken in: the table is full", slog.String("server", a.Server), slog.Int("servers", maxServers))
		return
	}
	if !h.table.Hear(a, time.Now()) {
		return
	}
	h.notify()
	h.logger.Info("server announced", slog.String("server", a.Server), slog.String("backend", a.Service),
		slog.String("address", a.Address), slog.String("state", a.State.String()), slog.Uint64("sequence", a.Sequence))
}

// Leave takes a server's word that it ends; born is 0 if it did not say which
// of its lives.
func (h *Hub) Leave(server string, born int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.table.Leave(server, born, now.UnixMilli(), now) {
		h.notify()
		h.logger.Info("server leaves", slog.String("server", server), slog.Int64("born_unix_ms", born))
	}
}

// Observe passes on weight versions that were seen at a server.
func (h *Hub) Observe(server string, born int64, versions map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Observe(server, born, versions) {
		h.notify()
	}
}

// Leaves passes on that a life of a server has said in an answer that it leaves.
func (h *Hub) Leaves(server string, born int64, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Leaves(server, born, time.Now()) {
		h.notify()
		h.logger.Info("server says that it leaves", slog.String("server", server), slog.Int64("born_unix_ms", born), slog.String("told_by", from))
	}
}

// Accepting lists the addresses of the entry instances that take callers, for
// those of a failure domain who use so many of them at the most; 0 for all.
func (h *Hub) Accepting(domain string, most int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	live := h.live()
	list := make([]*fleetv1.EntryInstance, 0, len(live))
	for _, e := range live {
		if e.Accepting {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		// All are stopping or starting at once. Those that stop still take what they
		// will finish, and the others say at once that nothing ran: that is more for
		// a caller than no address.
		list = live
	}
	return offer(list, domain, most)
}

// live lists the entry instances that poll, sorted by name.
func (h *Hub) live() []*fleetv1.EntryInstance {
	now := time.Now()
	var list []*fleetv1.EntryInstance
	for name, e := range h.entries {
		if e.polls == 0 && now.Sub(e.last) > entryGrace || now.Sub(e.last) > maxWait+entryGrace {
			delete(h.entries, name)
			h.logger.Info("entry instance lost", slog.String("entry", name))
			continue
		}
		list = append(list, e.EntryInstance)
	}
	slices.SortFunc(list, func(a, b *fleetv1.EntryInstance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// enter notes an entry instance's poll; an older word than the one held only
// counts as a sign of life.
func (h *Hub) enter(self *fleetv1.EntryInstance) *entry {
	if self == nil {
		return nil
	}
	e := h.entries[self.Name]
	if e == nil {
		e = &entry{EntryInstance: self}
		h.entries[self.Name] = e
		h.logger.Info("entry instance found", slog.String("entry", self.Name), slog.String("address", self.Address), slog.Bool("accepting", self.Accepting))
	}
	if self.StartedUnixMs > e.StartedUnixMs || (self.StartedUnixMs == e.StartedUnixMs && self.Sequence > e.Sequence) {
		e.EntryInstance = self
		h.logger.Info("entry instance changed", slog.String("entry", self.Name), slog.Bool("accepting", self.Accepting))
	}
	e.polls++
	e.last = time.Now()
	return e
}

func (h *Hub) leavePoll(e *entry) {
	if e == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e.polls--
	e.last = time.Now()
}

// Sync implements fleetv1.Fleet.
func (h *Hub) Sync(ctx context.Context, req *fleetv1.SyncRequest) (*fleetv1.SyncResponse, error) {
	h.mu.Lock()
	e := h.enter(req.Self)
	h.mu.Unlock()
	defer h.leavePoll(e)
	for _, l := range req.Leaving {
		h.Leaves(l.Server, l.BornUnixMs, req.Self.GetName())
	}
	cursor := req.Cursor
	if req.Feed != h.feed {
		cursor = 0
	}
	deadline := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		documentsChanged := h.documents.Changed()
		response, changed := h.respond(req, cursor)
		if len(response.Announcements) > 0 || len(response.Documents) > 0 || req.Feed != h.feed {
			return response, nil
		}
		select {
		case <-changed:
		case <-documentsChanged:
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Document implements fleetv1.Fleet.
func (h *Hub) Document(_ context.Context, r *fleetv1.DocumentRequest) (*controlv1.PublishedDocument, error) {
	for _, d := range h.documents.Published() {
		if d.Name == r.Name {
			return d, nil
		}
	}
	return nil, twirp.NotFoundError("this instance holds no document " + r.Name)
}

// respond builds what the caller does not know, and the channel that says when
// there is more.
func (h *Hub) respond(req *fleetv1.SyncRequest, cursor uint64) (*fleetv1.SyncResponse, <-chan struct{}) {
	response := &fleetv1.SyncResponse{Feed: h.feed, ControlUrls: h.documents.Members()}
	for _, d := range h.documents.Published() {
		if d.Version > req.Known[d.Name] {
			response.Documents = append(response.Documents, &fleetv1.DocumentVersion{Name: d.Name, Version: d.Version})
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	response.Cursor = h.table.Cursor()
	response.Announcements = h.table.Since(cursor)
	response.Entries = h.live()
	return response, h.changed
}
