package fleet

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/kvcache"
)

// Table holds the announced backend servers: those that announce themselves to
// this entry, and those reported by other entries.
type Table struct {
	ttl time.Duration

	mu      sync.Mutex
	servers map[string]*Server
	// records holds the record of each server by entry; this entry's own record
	// is under selfKey.
	records map[string]map[string]*entryRecord
	// alive is the set of other entries considered alive.
	alive map[string]bool
	// tombstones keep the versions of dropped records.
	tombstones map[string]tombstone
	// outbox is the set of servers whose record in this entry changed.
	outbox map[string]bool

	current atomic.Pointer[snapshot]
	changed chan struct{}
	index   *kvcache.Index
}

// NewTable returns an empty table whose servers expire after ttl.
func NewTable(ttl time.Duration) *Table {
	t := &Table{
		ttl:        ttl,
		servers:    make(map[string]*Server),
		records:    make(map[string]map[string]*entryRecord),
		alive:      make(map[string]bool),
		tombstones: make(map[string]tombstone),
		outbox:     make(map[string]bool),
		changed:    make(chan struct{}, 1),
		index:      kvcache.NewIndex(),
	}
	t.publish()
	return t
}

// Announce applies an announcement that a server sent to this entry. It returns
// false, and changes nothing, if the announcement is older than what is known.
func (t *Table) Announce(a backend.Announcement, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.newestVersion(a.Server, now)
	own := t.records[a.Server][selfKey]
	if a.Sequence == 0 {
		a.Sequence = known.nextSequence(a.Incarnation)
	}
	next := recordVersion{incarnation: a.Incarnation, sequence: a.Sequence}
	if a.Leaving {
		next.state = StateLeaving
	}
	if own != nil && own.version == next {
		return true
	}
	// Invariant: a delayed announcement, arriving after a newer one or after
	// the server's leave, never brings a server back.
	if !next.supersedes(known) {
		return false
	}
	t.storeOwn(own, a, next, now)
	t.updateServer(a.Server, now)
	return true
}

// storeOwn stores this entry's own record and queues it for the other entries
// unless it is a renewal without changes.
func (t *Table) storeOwn(own *entryRecord, a backend.Announcement, next recordVersion, now time.Time) {
	unchanged := own != nil && own.version.state == next.state && equalExceptSequence(own.announcement, a)
	record := &entryRecord{version: next, announcement: a, updatedAt: now}
	if unchanged {
		record.published = own.published
	}
	t.storeRecord(a.Server, selfKey, record)
	if !unchanged || record.published.before(t.newestPeerVersion(a.Server)) {
		t.outbox[a.Server] = true
	}
}

func equalExceptSequence(a, b backend.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}

func (t *Table) storeRecord(server, entry string, record *entryRecord) {
	byEntry := t.records[server]
	if byEntry == nil {
		byEntry = make(map[string]*entryRecord)
		t.records[server] = byEntry
	}
	byEntry[entry] = record
}

// updateServer adds a server to the snapshot or removes it, according to the
// newest record.
func (t *Table) updateServer(server string, now time.Time) {
	newest := t.newestLive(server)
	current := t.servers[server]
	if newest == nil || newest.version.state != StatePresent || t.newestGoneVersion(server, now).supersedes(newest.version) {
		t.removeServer(server, t.newestGoneVersion(server, now).state == StateSilent)
		return
	}
	next := t.serverFor(current, newest.announcement)
	if next == current {
		return
	}
	if current != nil {
		current.Cache.Close()
	}
	t.servers[server] = next
	t.publish()
}

func (t *Table) removeServer(server string, lost bool) {
	current := t.servers[server]
	if current == nil {
		return
	}
	if lost {
		current.cancelLost()
	}
	current.Cache.Close()
	delete(t.servers, server)
	t.publish()
}

// serverFor returns the server for an announcement. Load counters and the cache
// view are kept while its incarnation, weights, URL, role and adapters stay the
// same.
func (t *Table) serverFor(current *Server, a backend.Announcement) *Server {
	if current != nil && current.Incarnation == a.Incarnation && current.WeightVersion == a.WeightVersion && current.URL == a.URL &&
		current.Role == a.Role && slices.Equal(current.Adapters, a.Adapters) {
		return current
	}
	if current != nil && current.Incarnation != a.Incarnation {
		current.cancelLost()
	}
	return t.newServer(a)
}

func (t *Table) newServer(a backend.Announcement) *Server {
	s := &Server{Announcement: a, Cache: kvcache.NewCacheView(t.index)}
	s.lostCtx, s.cancelLost = context.WithCancel(context.Background())
	return s
}

// Expire marks servers as silent that have not announced themselves to this
// entry within the TTL, and returns their names.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []string
	for server, byEntry := range t.records {
		own := byEntry[selfKey]
		if own == nil {
			continue
		}
		if own.version.state != StatePresent {
			t.expireOwnRecord(server, own, now)
			continue
		}
		if now.Sub(own.updatedAt) < t.ttl {
			continue
		}
		if own.version.before(t.newestPeerVersion(server)) {
			// The server now announces itself to another entry.
			t.dropRecord(server, selfKey, now)
			t.outbox[server] = true
			continue
		}
		own.version.state = StateSilent
		own.updatedAt = now
		t.outbox[server] = true
		t.updateServer(server, now)
		silent = append(silent, server)
	}
	for server, tomb := range t.tombstones {
		if now.Sub(tomb.droppedAt) >= tombstoneTTL {
			delete(t.tombstones, server)
		}
	}
	return silent
}

func (t *Table) expireOwnRecord(server string, own *entryRecord, now time.Time) {
	if now.Sub(own.updatedAt) < tombstoneTTL {
		return
	}
	delete(t.records[server], selfKey)
	if len(t.records[server]) == 0 {
		delete(t.records, server)
	}
	t.outbox[server] = true
}

// snapshot is the state seen by readers. It is immutable.
type snapshot struct {
	all []*Server
	// groups lists the engines of a deployment by weight version, services the
	// backend servers of a plain service.
	groups   map[groupKey][]*Server
	services map[string][]*Server
	// views maps a cache view to its server.
	views map[*kvcache.CacheView]*Server
}

// groupKey identifies engines that can run the same prompt.
type groupKey struct{ deployment, weightVersion string }

// publish replaces the snapshot that readers load.
func (t *Table) publish() {
	next := &snapshot{
		all:      make([]*Server, 0, len(t.servers)),
		groups:   make(map[groupKey][]*Server),
		services: make(map[string][]*Server),
		views:    make(map[*kvcache.CacheView]*Server, len(t.servers)),
	}
	for _, s := range t.servers {
		next.all = append(next.all, s)
	}
	slices.SortFunc(next.all, func(a, b *Server) int { return strings.Compare(a.Server, b.Server) })
	for _, s := range next.all {
		next.add(s)
	}
	t.current.Store(next)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Changed signals that the table has changed since the last receive.
func (t *Table) Changed() <-chan struct{} { return t.changed }

func (n *snapshot) add(s *Server) {
	n.views[s.Cache] = s
	if s.Deployment != "" {
		key := groupKey{s.Deployment, s.WeightVersion}
		n.groups[key] = append(n.groups[key], s)
	}
	if s.Service != "" {
		n.services[s.Service] = append(n.services[s.Service], s)
	}
}

// All returns the current servers, sorted by name. The result must not be
// modified.
func (t *Table) All() []*Server { return t.current.Load().all }

// Deployment returns the engines of a deployment that run the given weight
// version. The result must not be modified.
func (t *Table) Deployment(name, weightVersion string) []*Server {
	return t.current.Load().groups[groupKey{name, weightVersion}]
}

// Service returns the backend servers of a plain service. The result must not
// be modified.
func (t *Table) Service(name string) []*Server { return t.current.Load().services[name] }

// Prefixes appends the cached prefixes of a prompt, one for each view.
func (t *Table) Prefixes(keys []kvcache.BlockKey, into []kvcache.Prefix) []kvcache.Prefix {
	return t.index.Prefixes(keys, into)
}

// ServerForView returns the current server of a cache view, or nil.
func (t *Table) ServerForView(v *kvcache.CacheView) *Server { return t.current.Load().views[v] }
