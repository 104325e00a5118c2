package registry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Timing of a hub.
const (
	// maxPollWait bounds one long poll, so that a polling process that died is
	// noticed soon.
	maxPollWait = time.Second
	// fewEntriesShare is the share of the accepting entry instances below which those that are
	// left are not listed alone, lostListingTime how long after their last poll the lost ones are
	// listed with them. Clients leave out addresses that fail them.
	fewEntriesShare = 0.25
	lostListingTime = 5 * time.Second
	// entryPollGrace is the longest gap between two polls of an entry instance
	// before clients are no longer directed to it.
	entryPollGrace = 1200 * time.Millisecond
	expireInterval = 200 * time.Millisecond
	// rejectedLogRate and rejectedLogBurst bound the log lines for rejected
	// announcements, per second and at once.
	rejectedLogRate  = 0.2
	rejectedLogBurst = 10
	// maxLoggedIDLength and maxLoggedErrorLength bound their texts, in bytes.
	maxLoggedIDLength    = 64
	maxLoggedErrorLength = 256
	// timePerEntry bounds the polls that end because of changes to 250 a second.
	timePerEntry    = 4 * time.Millisecond
	minPollInterval = 20 * time.Millisecond
	// maxPollInterval is a tenth of the time in which all instances are to know of a change.
	maxPollInterval = 300 * time.Millisecond
)

// DocumentSource provides the published documents and the members of the control
// group.
type DocumentSource interface {
	// Published lists the newest versions of all documents.
	Published() []*controlv1.PublishedDocument
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// ControlURLs lists the base URLs of the control instances.
	ControlURLs() []string
}

// entryState is the state of an entry instance that polls this hub.
type entryState struct {
	*fleetv1.EntryInstance
	// activePolls counts the polls in progress; lastPoll is when a poll last
	// started or ended.
	activePolls int
	lastPoll    time.Time
	// cursor is what the instance knew when its last poll started.
	cursor uint64
}

// lostEntry is an entry instance that has expired.
type lostEntry struct {
	*fleetv1.EntryInstance
	lastPoll time.Time
}

// Hub serves the change feed of one control instance.
type Hub struct {
	documents DocumentSource
	logger    *slog.Logger
	// feedID changes with each restart; cursors of another feed are not valid.
	feedID uint64
	// rejectedLog bounds the log lines for rejected announcements.
	rejectedLog *rate.Limiter

	// mu guards the fields below.
	mu    sync.Mutex
	table *Table
	// lost holds the entry instances that have expired while they accepted clients, for
	// lostListingTime.
	lost map[string]lostEntry
	// entries holds the polling entry instances by name.
	entries map[string]*entryState
	// evidence is what the entry instances know of crashes of servers.
	evidence evidenceStore
	// softwareKnownSince is the time since which the software of all servers is known.
	softwareKnownSince time.Time
	// startedAt is when this hub started, lateRecordsAt when an entry instance of a build last polled that
	// passes on streams of newer software versions before their records are stored.
	startedAt, lateRecordsAt time.Time
	// changed is closed and replaced when changes of the table, the evidence or the documents
	// are shown, at wokenAt for the last time; wakePending is set while a timer will do so.
	// shownCursor, shownEvidence and shownDocuments are what was shown: a poll that knows as
	// much waits.
	changed                    chan struct{}
	wokenAt                    time.Time
	wakePending                bool
	shownCursor, shownEvidence uint64
	shownDocuments             []*controlv1.PublishedDocument

	// streams has its own lock; journal keeps them over a restart, nil for not at all.
	streams streamRecords
	journal *streamJournal
}

// NewHub returns a hub. Its feed ID is derived from the current time, so that
// subscribers notice a restart.
func NewHub(interval time.Duration, d DocumentSource, logger *slog.Logger) *Hub {
	h := &Hub{
		documents: d, logger: logger, rejectedLog: rate.NewLimiter(rejectedLogRate, rejectedLogBurst), feedID: uint64(time.Now().UnixNano()), table: NewTable(interval),
		entries: make(map[string]*entryState), lost: make(map[string]lostEntry), changed: make(chan struct{}), softwareKnownSince: time.Now(), startedAt: time.Now(),
	}
	h.evidence.evidence.CollectNews(true)
	return h
}

// Interface guard.
var _ fleetv1.Fleet = (*Hub)(nil)

// Run expires servers periodically until the context ends.
func (h *Hub) Run(ctx context.Context) {
	go h.WriteStreams(ctx)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.mu.Lock()
		if h.table.Expire(time.Now()) {
			h.notifyChanged()
		}
		h.mu.Unlock()
	}
}

// PollInterval is the least time between two rounds of polls that end because of changes, with
// the given number of polling entry instances.
func PollInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*timePerEntry, minPollInterval), maxPollInterval)
}

// notifyChanged shows a change of the table, the evidence or the documents to the waiting polls, at
// once or with further changes PollInterval after those before. mu must be held.
//
// Invariant: the rate of polls is bounded, however often something changes. The replica of
// this process needs its share of the processor to keep its leader.
func (h *Hub) notifyChanged() {
	if h.wakePending {
		return
	}
	wait := time.Until(h.wokenAt.Add(PollInterval(len(h.entries))))
	if wait <= 0 {
		h.showChanges()
		return
	}
	h.wakePending = true
	time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.showChanges()
	})
}

// showChanges wakes the waiting polls. mu must be held.
func (h *Hub) showChanges() {
	h.wokenAt, h.wakePending = time.Now(), false
	h.shownCursor, h.shownEvidence, h.shownDocuments = h.table.Cursor(), h.evidence.log.Last(), h.documents.Published()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Announce applies a server's announcement.
func (h *Hub) Announce(a *fleetv1.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.IsFull(a.Server) {
		h.logger.Warn("announcement rejected: server table is full", slog.String("server", a.Server), slog.Int("servers", maxServers))
		return
	}
	if !h.table.Announce(a, time.Now()) {
		return
	}
	h.notifyChanged()
	h.logger.Info("server announced", slog.String("server", a.Server), slog.String("backend", a.Service),
		slog.String("address", a.Address), slog.String("software", a.Software), slog.String("state", a.State.String()), slog.Uint64("sequence", a.Sequence))
}

// MarkGone records that a server has ended. bornUnixMS identifies its incarnation
// by start time; 0 if the server did not give it.
func (h *Hub) MarkGone(server string, bornUnixMS int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.table.MarkGone(server, bornUnixMS, now.UnixMilli(), now) {
		h.notifyChanged()
		h.logger.Info("server ended", slog.String("server", server), slog.Int64("born_unix_ms", bornUnixMS))
	}
}

// Rejected logs that an announcement, or the report of an end, was not understood, up to
// rejectedLogBurst at once. The server that it names keeps its entry.
func (h *Hub) Rejected(server string, err error) {
	if text := err.Error(); h.rejectedLog.Allow() {
		h.logger.Warn("announcement rejected", slog.String("server", server[:min(len(server), maxLoggedIDLength)]), slog.String("error", text[:min(len(text), maxLoggedErrorLength)]))
	}
}

// ObserveWeights records weight versions that were seen at a server.
func (h *Hub) ObserveWeights(server string, bornUnixMS int64, versions map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.ObserveWeights(server, bornUnixMS, versions) {
		h.notifyChanged()
	}
}

// MarkLeaving records that an incarnation of a server has said in a response
// that it is leaving. from names the process that reported it.
func (h *Hub) MarkLeaving(server string, bornUnixMS int64, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.MarkLeaving(server, bornUnixMS, time.Now()) {
		h.notifyChanged()
		h.logger.Info("server reported as leaving", slog.String("server", server), slog.Int64("born_unix_ms", bornUnixMS), slog.String("told_by", from))
	}
}

// MergeRateLimit records what the process from reports that an incarnation of a server
// states about the requests that it takes and rejects.
func (h *Hub) MergeRateLimit(server string, bornUnixMS int64, limit dispatch.StatedLimit, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.MergeRateLimit(server, bornUnixMS, limit) {
		h.rateLimitChanged(server, limit.RateLimit, limit.Brittleness, from)
	}
}

// ObserveDirectives records what a server states in a response to the control instance from
// about the requests that it takes and rejects.
func (h *Hub) ObserveDirectives(server string, bornUnixMS int64, d dispatch.Directives, from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := d.RateLimit != nil && h.table.ObserveRateLimit(server, bornUnixMS, *d.RateLimit)
	if d.Brittleness != nil && h.table.ObserveBrittleness(server, bornUnixMS, *d.Brittleness) {
		changed = true
	}
	if changed {
		limit := h.table.StatedLimit(server)
		h.rateLimitChanged(server, limit.RateLimit, limit.Brittleness, from)
	}
}

// rateLimitChanged logs a changed statement and wakes the waiting polls. mu must be held.
func (h *Hub) rateLimitChanged(server string, limit dispatch.RateLimit, b dispatch.Brittleness, from string) {
	h.notifyChanged()
	h.logger.Info("server rate limit changed", slog.String("server", server), slog.Bool("limited", limit.Limited), slog.Float64("per_second", limit.PerSecond),
		slog.Bool("brittle", b.Brittle), slog.Int("max_rejections", b.MaxRejections), slog.String("reported_by", from))
}

// AcceptingAddresses lists the addresses of the entry instances that accept
// clients, at most limit (0: all), for clients in a failure domain.
func (h *Hub) AcceptingAddresses(domain string, limit int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := h.liveEntries()
	accepting := make([]*fleetv1.EntryInstance, 0, len(entries))
	for _, e := range entries {
		if e.Accepting {
			accepting = append(accepting, e)
		}
	}
	if len(accepting) == 0 {
		// All entry instances are stopping or starting at once. Those that stop
		// still finish the requests they accept, and the others respond at once
		// that nothing was executed. Either is better for a client than no
		// address.
		accepting = entries
	}
	return selectAddresses(h.withLost(accepting), domain, limit)
}

// withLost adds the entry instances that were lost lately if few are left without them: if all clients turn
// to these, they get a multiple of their load, and serve neither new clients nor those whose
// connections broke. mu must be held.
func (h *Hub) withLost(accepting []*fleetv1.EntryInstance) []*fleetv1.EntryInstance {
	if len(h.lost) == 0 || float64(len(accepting)) >= fewEntriesShare*float64(len(accepting)+len(h.lost)) {
		return accepting
	}
	all := slices.Clone(accepting)
	for _, e := range h.lost {
		all = append(all, e.EntryInstance)
	}
	slices.SortFunc(all, func(a, b *fleetv1.EntryInstance) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// liveEntries removes the entry instances that no longer poll and lists the others,
// sorted by name. mu must be held.
func (h *Hub) liveEntries() []*fleetv1.EntryInstance {
	now := time.Now()
	maps.DeleteFunc(h.lost, func(_ string, e lostEntry) bool { return now.Sub(e.lastPoll) >= lostListingTime })
	var entries []*fleetv1.EntryInstance
	for name, e := range h.entries {
		if e.activePolls == 0 && now.Sub(e.lastPoll) > entryPollGrace || now.Sub(e.lastPoll) > maxPollWait+entryPollGrace {
			delete(h.entries, name)
			if e.Accepting {
				h.lost[name] = lostEntry{e.EntryInstance, e.lastPoll}
			}
			h.logger.Info("entry instance expired", slog.String("entry", name))
			continue
		}
		entries = append(entries, e.EntryInstance)
	}
	slices.SortFunc(entries, func(a, b *fleetv1.EntryInstance) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// beginPoll records the start of a poll by an entry instance that knows the changes up to
// cursor, and its state if that is newer than the stored one. It returns nil if self is nil.
// mu must be held.
func (h *Hub) beginPoll(self *fleetv1.EntryInstance, cursor uint64) *entryState {
	if self == nil {
		return nil
	}
	e := h.entries[self.Name]
	if e == nil {
		e = &entryState{EntryInstance: self}
		h.entries[self.Name] = e
		delete(h.lost, self.Name)
		h.logger.Info("entry instance registered", slog.String("entry", self.Name), slog.String("address", self.Address), slog.Bool("accepting", self.Accepting))
	}
	if self.StartedUnixMs > e.StartedUnixMs || (self.StartedUnixMs == e.StartedUnixMs && self.Sequence > e.Sequence) {
		e.EntryInstance = self
		h.logger.Info("entry instance changed", slog.String("entry", self.Name), slog.Bool("accepting", self.Accepting))
	}
	e.activePolls++
	e.lastPoll, e.cursor = time.Now(), cursor
	if !self.StoresRecordsFirst {
		h.lateRecordsAt = e.lastPoll
	}
	return e
}

// endPoll records the end of a poll; e may be nil.
func (h *Hub) endPoll(e *entryState) {
	if e == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e.activePolls--
	e.lastPoll = time.Now()
}

// Sync implements fleetv1.Fleet.
func (h *Hub) Sync(ctx context.Context, req *fleetv1.SyncRequest) (*fleetv1.SyncResponse, error) {
	cursor := req.Cursor
	if req.Feed != h.feedID {
		cursor = 0
	}
	h.mu.Lock()
	e := h.beginPoll(req.Self, cursor)
	h.mu.Unlock()
	defer h.endPoll(e)
	for _, l := range req.Leaving {
		h.MarkLeaving(l.Server, l.BornUnixMs, req.Self.GetName())
	}
	for _, l := range req.Limits {
		h.MergeRateLimit(l.Server.GetServer(), l.Server.GetBornUnixMs(), DecodeRateLimit(l.Limit), req.Self.GetName())
	}
	if req.Evidence != nil {
		h.MergeCrashEvidence(DecodeCrashEvidence(req.Evidence), req.Self.GetName())
	}
	deadline := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, maxPollWait))
	defer deadline.Stop()
	for {
		documentsChanged := h.documents.Changed()
		response, changed := h.buildResponse(req, cursor)
		if len(response.Announcements) > 0 || len(response.Documents) > 0 || response.Evidence != nil || req.Feed != h.feedID {
			return response, nil
		}
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-documentsChanged:
				documentsChanged = h.documents.Changed()
				h.mu.Lock()
				h.noteDocuments()
				h.mu.Unlock()
			case <-deadline.C:
				return response, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// buildResponse returns what the subscriber does not know yet, and a channel
// that is closed at the next change. Changes that wait to be shown are returned only to a poll
// that does not wait.
func (h *Hub) buildResponse(req *fleetv1.SyncRequest, cursor uint64) (*fleetv1.SyncResponse, <-chan struct{}) {
	response := &fleetv1.SyncResponse{Feed: h.feedID, ControlUrls: h.documents.ControlURLs()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteDocuments()
	shownCursor, shownDocuments := h.shownCursor, h.shownDocuments
	if req.WaitMs == 0 { // asks for what is known now
		shownCursor, shownDocuments = h.table.Cursor(), h.documents.Published()
	}
	for _, d := range shownDocuments {
		if d.Version > req.Known[d.Name] {
			response.Documents = append(response.Documents, &fleetv1.DocumentVersion{Name: d.Name, Version: d.Version})
		}
	}
	response.Cursor = cursor
	if req.Feed != h.feedID || cursor < shownCursor {
		response.Cursor, response.Announcements = h.table.Cursor(), h.table.ChangesSince(cursor)
	}
	if req.Feed != h.feedID || len(response.Announcements) > 0 {
		h.addSoftware(response, time.Now())
	}
	response.Entries = h.liveEntries()
	h.addEvidence(req, response)
	return response, h.changed
}
