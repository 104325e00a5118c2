// Package fleetview maintains a process's view of the fleet: it follows the
// feed of every control instance and merges their state.
package fleetview

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

// Timing of a view.
const (
	// pollWait is how long a control instance holds a long poll without
	// changes. It is also the longest interval at which it learns that this
	// process is alive.
	pollWait = 600 * time.Millisecond
	// pollTimeout ends a poll whose connection stalled without a reset; see
	// responseLimit. It is well below the time within which a draining server must
	// stop receiving requests.
	pollTimeout   = pollWait + 500*time.Millisecond
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = time.Second
	// staleTimeout is how long the state of an unreachable control instance is
	// kept.
	staleTimeout = 15 * time.Second
	// removeTimeout is how long after its last listing an instance that left
	// the control group is polled.
	removeTimeout = 30 * time.Second
)

// Snapshot is the state of the fleet at one moment. It is immutable.
type Snapshot struct {
	// Servers holds the merged announcements by server.
	Servers map[string]*fleetv1.Announcement
	// Documents holds the newest version of each document by name.
	Documents map[string]*controlv1.PublishedDocument
	// Awaited lists the documents that exist and are not among Documents yet.
	Awaited []string
	// Entries holds the entry instances known to at least one control instance.
	Entries map[string]*fleetv1.EntryInstance
	// ReachableControls counts the control instances that currently respond.
	// KnownControls counts all of them.
	ReachableControls, KnownControls int
	// ControlURLs lists the base URLs of the control instances, ReachableURLs those that
	// currently respond.
	ControlURLs, ReachableURLs []string
	// Feeds are the feeds of the control instances in ReachableURLs, by URL. One that restarts has another.
	Feeds map[string]uint64
	// Software is what is known of the software of all services.
	Software *dispatch.SoftwareView
}

// NewestIncarnations lists the servers that have not ended; of several
// incarnations at one address only the newest is included. Servers of services that
// are not known are neither listed nor do they hide others.
func (s *Snapshot) NewestIncarnations(known func(service string) bool) []*fleetv1.Announcement {
	candidate := func(a *fleetv1.Announcement) bool {
		return a.State != fleetv1.ServerState_SERVER_STATE_GONE && known(a.Service)
	}
	newestStart := make(map[string]int64)
	for _, a := range s.Servers {
		if candidate(a) {
			newestStart[a.Address] = max(newestStart[a.Address], a.BornUnixMs)
		}
	}
	var list []*fleetv1.Announcement
	for _, a := range s.Servers {
		if candidate(a) && a.BornUnixMs >= newestStart[a.Address] {
			list = append(list, a)
		}
	}
	return list
}

// source is the state received from one control instance.
type source struct {
	url          string
	client       fleetv1.Fleet
	cancel       context.CancelFunc
	feed         uint64
	cursor       uint64
	servers      map[string]*fleetv1.Announcement
	entries      []*fleetv1.EntryInstance
	lastResponse time.Time
	// confirmedAt is when the last completed poll began: from then on at least, the
	// instance lists this process.
	confirmedAt time.Time
	// interrupted is set when the last poll was interrupted. The next one does not
	// wait, so that a poll completes however often they are interrupted; neither does
	// the one after a failure.
	interrupted bool
	// lastListed is when a member list last contained the instance.
	lastListed time.Time
	// reportedVersions holds the newest document versions that it reported.
	reportedVersions map[string]uint64
	// evidence is the exchange of crash evidence with it.
	evidence    sourceEvidence
	unreachable bool
	// pollLimit and contentLimit are the limits on the times of its responses to polls and of
	// its documents; until avoidUntil others are preferred as sources of documents.
	pollLimit, contentLimit responseLimit
	avoidUntil              time.Time
	// addedAt is when this process first polled it, softwareKnownSince the time since which
	// it knew the software of all servers when it first responded.
	addedAt, softwareKnownSince time.Time
	// softwareHistorySince is the time since which it knows the software of all servers itself.
	softwareHistorySince time.Time
}

// View follows the control instances until its context ends.
type View struct {
	client *http.Client
	logger *slog.Logger
	seeds  []string

	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	ctx       context.Context
	sources   map[string]*source
	documents map[string]*controlv1.PublishedDocument
	fetches   map[string]*documentFetch
	// fetchOutcomes counts fetches by outcome.
	fetchOutcomes map[string]uint64
	// members holds all control instances listed in any response. quorumReached
	// is true once a majority of them has responded; see checkQuorum. released
	// holds the names of the documents that may be applied.
	members       map[string]bool
	quorumReached bool
	released      map[string]bool
	self          *fleetv1.EntryInstance
	// stopsAccepting is set by StopAccepting.
	stopsAccepting bool
	// ended are the servers kept by keepEnded.
	ended    map[string]endedServer
	leaving  leavingServers
	limits   limitReports
	evidence evidenceExchange
	software dispatch.SoftwareHistory
	// wake is closed and replaced when the waiting polls are ended, at interruptedAt for the
	// last time; interruptPending is set while a timer will end them.
	wake             chan struct{}
	interruptedAt    time.Time
	interruptPending bool
	changed          chan struct{}
	confirm          confirmation
}

// New returns a view that starts with the control instances at the base URLs in
// seeds. self is nil for a process that is not an entry instance.
func New(seeds []string, self *fleetv1.EntryInstance, client *http.Client, logger *slog.Logger) *View {
	v := &View{
		client: client, logger: logger, seeds: seeds, sources: make(map[string]*source), self: self,
		members: make(map[string]bool), released: make(map[string]bool), ended: make(map[string]endedServer),
		documents: make(map[string]*controlv1.PublishedDocument), fetches: make(map[string]*documentFetch), fetchOutcomes: make(map[string]uint64), wake: make(chan struct{}), changed: make(chan struct{}),
	}
	v.current.Store(&Snapshot{})
	return v
}

// Start starts to poll the control instances.
func (v *View) Start(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ctx = ctx
	v.addSources(v.seeds)
}

// Current returns the newest snapshot.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed when the snapshot changes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// SetAccepting reports to all control instances whether this entry instance accepts
// clients, without waiting for the next poll.
func (v *View) SetAccepting(accepting bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setAccepting(accepting && !v.stopsAccepting)
}

// StopAccepting is SetAccepting(false) for good: a stopping instance is not listed again by a
// caller that decided just before that it accepts clients.
func (v *View) StopAccepting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopsAccepting = true
	v.setAccepting(false)
}

// setAccepting is SetAccepting for a caller that holds v.mu.
func (v *View) setAccepting(accepting bool) {
	if v.self == nil || v.self.Accepting == accepting {
		return
	}
	next := proto.CloneOf(v.self)
	next.Accepting = accepting
	next.Sequence++
	v.self = next
	v.interruptPolls()
}

// interruptPolls ends the waiting polls, so that the next ones carry the updated state: at
// once, or together with further changes registry.PollInterval after the last time. The
// caller holds the lock.
func (v *View) interruptPolls() {
	if v.interruptPending {
		return
	}
	wait := time.Until(v.interruptedAt.Add(registry.PollInterval(len(v.Current().Entries))))
	if wait <= 0 {
		v.endPolls()
		return
	}
	v.interruptPending = true
	time.AfterFunc(wait, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.endPolls()
	})
}

// endPolls ends the waiting polls. The caller holds the lock.
func (v *View) endPolls() {
	v.interruptedAt, v.interruptPending = time.Now(), false
	close(v.wake)
	v.wake = make(chan struct{})
}

// addSources starts to poll the control instances that are not polled yet. The
// caller holds the lock.
func (v *View) addSources(urls []string) {
	now := time.Now()
	for _, url := range urls {
		if s := v.sources[url]; s != nil {
			s.lastListed = now
			continue
		}
		ctx, cancel := context.WithCancel(v.ctx)
		s := &source{
			url: url, client: fleetv1.NewFleetProtobufClient(url, v.client), cancel: cancel,
			servers: make(map[string]*fleetv1.Announcement), reportedVersions: make(map[string]uint64), lastListed: now, addedAt: now,
		}
		v.sources[url] = s
		go v.pollLoop(ctx, s)
	}
}

func (v *View) pollLoop(ctx context.Context, s *source) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := v.poll(ctx, s)
		if err == nil {
			pause = minRetryPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if v.handleFailure(s, err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// poll sends one poll. A change of the state that this process reports
// interrupts it, so that the next poll carries the change.
func (v *View) poll(ctx context.Context, s *source) error {
	v.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, s.pollLimit.of(pollTimeout))
	defer cancel()
	startedAt := time.Now()
	req := &fleetv1.SyncRequest{Self: v.self, Feed: s.feed, Cursor: s.cursor, Known: v.knownVersions(s), Leaving: v.leaving.current(startedAt), Limits: v.limits.current(startedAt), WaitMs: uint32(pollWait.Milliseconds())}
	if s.interrupted || s.unreachable || s.confirmedAt.Before(v.confirm.after) {
		req.WaitMs = 0
	}
	wake := v.wake
	if req.WaitMs == 0 {
		wake = nil
	}
	req.EvidenceRevision = s.evidence.received
	evidence, known := v.evidence, s.evidence
	v.mu.Unlock()
	sent := evidence.addTo(req, known, startedAt)
	finished := make(chan struct{})
	defer close(finished)
	interrupted := atomic.Bool{}
	go func() {
		select {
		case <-wake:
			interrupted.Store(true)
			cancel()
		case <-finished:
		}
	}()
	response, err := s.client.Sync(ctx, req)
	v.mu.Lock()
	s.interrupted = err != nil && interrupted.Load()
	v.mu.Unlock()
	if err != nil && interrupted.Load() {
		return nil
	}
	v.notePollTime(s, time.Since(startedAt)-time.Duration(req.WaitMs)*time.Millisecond, errors.Is(ctx.Err(), context.DeadlineExceeded))
	if err != nil {
		return err
	}
	v.applyResponse(s, response, startedAt)
	v.applyEvidence(s, response, sent)
	return nil
}

// notePollTime records how long a control instance took for a poll, besides its wait.
func (v *View) notePollTime(s *source, took time.Duration, timedOut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !timedOut {
		s.pollLimit.met(took, pollTimeout)
		return
	}
	s.pollLimit.exceeded()
	// Kept connections may have fallen silent, and the limit of the next poll is longer.
	v.client.CloseIdleConnections()
}

// handleFailure records a failed poll and reports whether the source was
// removed.
func (v *View) handleFailure(s *source, err error) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	defer v.notePolled()
	if !s.unreachable {
		s.unreachable = true
		v.logger.Warn("control instance unreachable", slog.String("peer", s.url), slog.Any("error", err))
		v.publish()
	}
	if len(s.servers) > 0 && now.Sub(s.lastResponse) > staleTimeout {
		v.keepEnded(s, now)
		s.servers, s.feed, s.cursor = make(map[string]*fleetv1.Announcement), 0, 0
		v.publish()
	}
	if now.Sub(s.lastListed) < removeTimeout || slices.Contains(v.seeds, s.url) {
		return false
	}
	v.keepEnded(s, now)
	delete(v.sources, s.url)
	s.cancel()
	v.publish()
	v.logger.Info("control instance removed", slog.String("peer", s.url))
	return true
}

// applyResponse applies the response to a poll that began at startedAt.
func (v *View) applyResponse(s *source, r *fleetv1.SyncResponse, startedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := len(r.Announcements) > 0 || r.Feed != s.feed || !sameEntries(s.entries, r.Entries)
	if r.Feed != s.feed {
		// The instance has restarted, possibly with an empty disk.
		v.keepEnded(s, time.Now())
		s.servers = make(map[string]*fleetv1.Announcement)
		clear(s.reportedVersions)
	}
	if s.unreachable || s.lastResponse.IsZero() {
		s.unreachable = false
		changed = true
		v.logger.Info("control instance reachable", slog.String("peer", s.url), slog.Uint64("feed", r.Feed))
	}
	s.confirmedAt = startedAt
	defer v.notePolled()
	s.feed, s.cursor, s.lastResponse, s.entries = r.Feed, r.Cursor, time.Now(), r.Entries
	for _, a := range r.Announcements {
		s.servers[a.Server] = a
	}
	v.noteSoftware(s, r, startedAt)
	for _, d := range r.Documents {
		v.noteVersion(s, d.Name, d.Version)
	}
	for _, url := range r.ControlUrls {
		v.members[url] = true
	}
	v.addSources(r.ControlUrls)
	if v.checkQuorum() {
		changed = true
	}
	if changed {
		v.publish()
	}
}

func sameEntries(a, b []*fleetv1.EntryInstance) bool {
	return slices.EqualFunc(a, b, func(x, y *fleetv1.EntryInstance) bool { return proto.Equal(x, y) })
}

// publish replaces the snapshot. The caller holds the lock.
func (v *View) publish() {
	next := &Snapshot{
		Servers: make(map[string]*fleetv1.Announcement), Documents: v.releasedDocuments(),
		Entries: make(map[string]*fleetv1.EntryInstance), Feeds: make(map[string]uint64), KnownControls: len(v.sources),
	}
	next.Awaited = v.awaitedDocuments(next.Documents)
	for _, s := range v.sources {
		next.ControlURLs = append(next.ControlURLs, s.url)
		if !s.unreachable && !s.lastResponse.IsZero() {
			next.ReachableControls++
			next.ReachableURLs = append(next.ReachableURLs, s.url)
			next.Feeds[s.url] = s.feed
		}
		for _, a := range s.servers {
			mergeAnnouncement(next.Servers, a)
		}
		for _, e := range s.entries {
			if existing := next.Entries[e.Name]; existing == nil || newerEntry(e, existing) {
				next.Entries[e.Name] = e
			}
		}
	}
	v.mergeEnded(next.Servers, time.Now())
	slices.Sort(next.ControlURLs)
	slices.Sort(next.ReachableURLs)
	next.Software = v.softwareView(next.Servers, time.Now())
	v.current.Store(next)
	close(v.changed)
	v.changed = make(chan struct{})
}

// mergeAnnouncement keeps the newest announcement of a server. Within one
// incarnation the server is silent only if every control instance that knows it
// says so, since servers move from one instance to another.
func mergeAnnouncement(servers map[string]*fleetv1.Announcement, a *fleetv1.Announcement) {
	existing := servers[a.Server]
	if existing == nil {
		servers[a.Server] = a
		return
	}
	newest, other := existing, a
	if registry.Supersedes(a, existing) {
		newest, other = a, existing
	}
	if other.BornUnixMs == newest.BornUnixMs {
		newest = withNewestRateLimit(withHighestVersions(newest, other), other)
	}
	if other.Leaving && !newest.Leaving && other.BornUnixMs == newest.BornUnixMs {
		newest = proto.CloneOf(newest)
		newest.Leaving = true
	}
	if newest.Silent && !other.Silent && other.BornUnixMs == newest.BornUnixMs {
		newest = proto.CloneOf(newest)
		newest.Silent = false
	}
	servers[a.Server] = newest
}

// withHighestVersions returns an announcement with the highest weight versions
// found in two announcements of one incarnation: a weight change is observed
// before the server announces it.
func withHighestVersions(newest, other *fleetv1.Announcement) *fleetv1.Announcement {
	cloned := false
	for _, o := range other.Weights {
		for i := range newest.Weights {
			if newest.Weights[i].Model != o.Model || newest.Weights[i].Version >= o.Version {
				continue
			}
			if !cloned {
				newest, cloned = proto.CloneOf(newest), true
			}
			newest.Weights[i].Version = o.Version
		}
	}
	return newest
}
