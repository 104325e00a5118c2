// Package fleetview keeps a process's picture of the fleet: it listens to the
// feed of every control instance and merges what they say.
package fleetview

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/registry"
)

// Times of a listener.
const (
	// pollWait is how long a poll waits for news. It is also the age at which
	// the other side's sign of life is renewed.
	pollWait = 600 * time.Millisecond
	// pollTimeout ends a poll whose connection went silent without a reset:
	// well under the time by which a drained server must get no more requests.
	pollTimeout = pollWait + 500*time.Millisecond
	retryPause  = 150 * time.Millisecond
	maxPause    = time.Second
	// forgetAfter is how long the word of an unreachable instance counts.
	forgetAfter = 15 * time.Second
	// dropAfter ends the listening to an instance that left the group.
	dropAfter = 30 * time.Second
)

// Snapshot is the picture at one moment. It is immutable.
type Snapshot struct {
	// Servers holds the merged announcements by server.
	Servers map[string]*fleetv1.Announcement
	// Documents holds the newest version of each document by name.
	Documents map[string]*controlv1.PublishedDocument
	// Entries holds the entry instances that some control instance sees.
	Entries map[string]*fleetv1.EntryInstance
	// Reached is the number of control instances that answered lately, and
	// Known that of all.
	Reached, Known int
	// Hosts are the base URLs of the control instances.
	Hosts []string
}

// Youngest lists the servers that have not ended; of two lives at one address
// only the younger one is there.
func (s *Snapshot) Youngest() []*fleetv1.Announcement {
	born := make(map[string]int64)
	for _, a := range s.Servers {
		if a.State != fleetv1.ServerState_SERVER_STATE_GONE {
			born[a.Address] = max(born[a.Address], a.BornUnixMs)
		}
	}
	var list []*fleetv1.Announcement
	for _, a := range s.Servers {
		if a.State != fleetv1.ServerState_SERVER_STATE_GONE && a.BornUnixMs >= born[a.Address] {
			list = append(list, a)
		}
	}
	return list
}

// source is one control instance's word.
type source struct {
	url      string
	client   fleetv1.Fleet
	cancel   context.CancelFunc
	feed     uint64
	cursor   uint64
	servers  map[string]*fleetv1.Announcement
	entries  []*fleetv1.EntryInstance
	answered time.Time
	// listed is when a member list last held the instance.
	listed time.Time
	// named holds the newest versions of documents that it named.
	named map[string]uint64
	lost  bool
}

// View listens until its context ends.
type View struct {
	client *http.Client
	logger *slog.Logger
	seeds  []string

	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	ctx     context.Context
	sources map[string]*source
	docs    map[string]*controlv1.PublishedDocument
	wanted  map[string]*wanted
	// members are all control instances that any answer listed, released the
	// documents that are shown: see settle.
	members  map[string]bool
	settled  bool
	released map[string]bool
	self     *fleetv1.EntryInstance
	leaving  leaving
	wake     chan struct{}
	changed  chan struct{}
}

// New returns a view that begins with the control instances at seeds, base
// URLs. self is nil for a process that takes no callers.
func New(seeds []string, self *fleetv1.EntryInstance, client *http.Client, logger *slog.Logger) *View {
	v := &View{
		client: client, logger: logger, seeds: seeds, sources: make(map[string]*source), self: self,
		members: make(map[string]bool), released: make(map[string]bool),
		docs: make(map[string]*controlv1.PublishedDocument), wanted: make(map[string]*wanted), wake: make(chan struct{}), changed: make(chan struct{}),
	}
	v.current.Store(&Snapshot{})
	return v
}

// Start begins to listen.
func (v *View) Start(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ctx = ctx
	v.listen(v.seeds)
}

// Current returns the newest picture.
func (v *View) Current() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed when the picture changes.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Announce tells all control instances whether this entry instance accepts
// callers, without waiting for the next poll.
func (v *View) Announce(accepting bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self == nil || v.self.Accepting == accepting {
		return
	}
	next := proto.CloneOf(v.self)
	next.Accepting = accepting
	next.Sequence++
	v.self = next
	v.tell()
}

// tell ends the polls that wait, so that the next ones carry what is new; the
// caller holds the lock.
func (v *View) tell() {
	close(v.wake)
	v.wake = make(chan struct{})
}

// listen adds sources; the caller holds the lock.
func (v *View) listen(urls []string) {
	now := time.Now()
	for _, url := range urls {
		if s := v.sources[url]; s != nil {
			s.listed = now
			continue
		}
		ctx, cancel := context.WithCancel(v.ctx)
		s := &source{
			url: url, client: fleetv1.NewFleetProtobufClient(url, v.client), cancel: cancel,
			servers: make(map[string]*fleetv1.Announcement), named: make(map[string]uint64), listed: now,
		}
		v.sources[url] = s
		go v.follow(ctx, s)
	}
}

func (v *View) follow(ctx context.Context, s *source) {
	pause := retryPause
	for ctx.Err() == nil {
		err := v.poll(ctx, s)
		if err == nil {
			pause = retryPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if v.fail(s, err) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// poll asks once. A change of this process's own word ends a waiting poll, so
// that the next one carries it.
func (v *View) poll(ctx context.Context, s *source) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	v.mu.Lock()
	req := &fleetv1.SyncRequest{Self: v.self, Feed: s.feed, Cursor: s.cursor, Known: v.known(), Leaving: v.leaving.told(time.Now()), WaitMs: uint32(pollWait.Milliseconds())}
	wake := v.wake
	v.mu.Unlock()
	woken := make(chan struct{})
	defer close(woken)
	interrupted := atomic.Bool{}
	go func() {
		select {
		case <-wake:
			interrupted.Store(true)
			cancel()
		case <-woken:
		}
	}()
	response, err := s.client.Sync(ctx, req)
	if interrupted.Load() {
		return nil
	}
	if err != nil {
		return err
	}
	v.take(s, response)
	return nil
}

// fail notes a poll that failed and reports whether to give the source up.
func (v *View) fail(s *source, err error) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if !s.lost {
		s.lost = true
		v.logger.Warn("control instance lost", slog.String("peer", s.url), slog.Any("error", err))
		v.publish()
	}
	if len(s.servers) > 0 && now.Sub(s.answered) > forgetAfter {
		s.servers, s.feed, s.cursor = make(map[string]*fleetv1.Announcement), 0, 0
		v.publish()
	}
	if now.Sub(s.listed) < dropAfter || slices.Contains(v.seeds, s.url) {
		return false
	}
	delete(v.sources, s.url)
	s.cancel()
	v.publish()
	v.logger.Info("control instance dropped", slog.String("peer", s.url))
	return true
}

func (v *View) take(s *source, r *fleetv1.SyncResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := len(r.Announcements) > 0 || r.Feed != s.feed || !sameEntries(s.entries, r.Entries)
	if r.Feed != s.feed {
		s.servers = make(map[string]*fleetv1.Announcement)
	}
	if s.lost || s.answered.IsZero() {
		s.lost = false
		news = true
		v.logger.Info("control instance reached", slog.String("peer", s.url), slog.Uint64("feed", r.Feed))
	}
	s.feed, s.cursor, s.answered, s.entries = r.Feed, r.Cursor, time.Now(), r.Entries
	for _, a := range r.Announcements {
		s.servers[a.Server] = a
	}
	for _, d := range r.Documents {
		v.want(s, d.Name, d.Version)
	}
	for _, url := range r.ControlUrls {
		v.members[url] = true
	}
	v.listen(r.ControlUrls)
	if v.settle() {
		news = true
	}
	if news {
		v.publish()
	}
}

func sameEntries(a, b []*fleetv1.EntryInstance) bool {
	return slices.EqualFunc(a, b, func(x, y *fleetv1.EntryInstance) bool { return proto.Equal(x, y) })
}

// publish replaces the picture; the caller holds the lock.
func (v *View) publish() {
	next := &Snapshot{
		Servers: make(map[string]*fleetv1.Announcement), Documents: v.shown(),
		Entries: make(map[string]*fleetv1.EntryInstance), Known: len(v.sources),
	}
	for _, s := range v.sources {
		next.Hosts = append(next.Hosts, s.url)
		if !s.lost && !s.answered.IsZero() {
			next.Reached++
		}
		for _, a := range s.servers {
			merge(next.Servers, a)
		}
		for _, e := range s.entries {
			if held := next.Entries[e.Name]; held == nil || e.StartedUnixMs > held.StartedUnixMs || (e.StartedUnixMs == held.StartedUnixMs && e.Sequence > held.Sequence) {
				next.Entries[e.Name] = e
			}
		}
	}
	slices.Sort(next.Hosts)
	v.current.Store(next)
	close(v.changed)
	v.changed = make(chan struct{})
}

// merge keeps the newest word on a server. Of one life the server is silent
// only if every control instance that heard of it says so: servers move from
// one instance to another.
func merge(servers map[string]*fleetv1.Announcement, a *fleetv1.Announcement) {
	held := servers[a.Server]
	if held == nil {
		servers[a.Server] = a
		return
	}
	newest, other := held, a
	if registry.Newer(a, held) {
		newest, other = a, held
	}
	if other.BornUnixMs == newest.BornUnixMs {
		newest = raised(newest, other)
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

// raised is an announcement with the highest weight versions that two words on
// one life of a server name: a swap is seen before the server announces it.
func raised(newest, other *fleetv1.Announcement) *fleetv1.Announcement {
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
