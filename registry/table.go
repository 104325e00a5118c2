// Package registry holds the backend servers announced to one control instance
// and serves the changes to subscribers. The table is soft state: a restarted
// instance receives all servers again within one announcement interval.
package registry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Limits of a table.
const (
	// silentIntervals is the number of announcement intervals without an
	// announcement after which a server is marked silent: one announcement may
	// be lost and one delayed without effect.
	silentIntervals = 3
	// goneRetention is how long an ended or silent server is remembered, counted
	// from its last announcement or the report of its end; it exceeds the longest
	// delay of an announcement of its incarnation.
	goneRetention = 2 * time.Minute
	// maxServers bounds the table, ended servers included.
	maxServers = 32768
)

// Table holds the newest announcement of each server. It does not read a clock
// and is not safe for concurrent use.
type Table struct {
	// interval is the announcement interval of the servers.
	interval time.Duration
	servers  map[string]*record
	// software is the history of the servers' software, those that have ended included.
	software dispatch.SoftwareHistory
	// lastChange is the number of the last change.
	lastChange uint64
}

// record is the newest announcement of a server. lastAnnounced is when it was
// received, changeNumber the number of its last change that subscribers see.
type record struct {
	*fleetv1.Announcement
	lastAnnounced time.Time
	changeNumber  uint64
}

// NewTable returns an empty table for servers that announce themselves at about
// the given interval.
func NewTable(interval time.Duration) *Table {
	return &Table{interval: interval, servers: make(map[string]*record)}
}

// Cursor returns the number of the last change.
func (t *Table) Cursor() uint64 { return t.lastChange }

// Supersedes reports whether an announcement supersedes the existing one, nil
// for none. Invariant: an incarnation that has ended stays ended, and an older
// incarnation never replaces a newer one, except for a silent one of another service.
func Supersedes(a, existing *fleetv1.Announcement) bool {
	switch {
	case existing == nil:
		return true
	case ofOtherService(a, existing) && a.Silent != existing.Silent:
		return existing.Silent
	case a.BornUnixMs != existing.BornUnixMs:
		return a.BornUnixMs > existing.BornUnixMs
	case existing.State == fleetv1.ServerState_SERVER_STATE_GONE:
		return false
	case a.State == fleetv1.ServerState_SERVER_STATE_GONE:
		return true
	}
	return a.Sequence > existing.Sequence
}

// ofOtherService reports whether two announcements under one ID, neither of an ended
// server, name different services. A server does not change its service: one of them is
// of another writer.
func ofOtherService(a, b *fleetv1.Announcement) bool {
	gone := fleetv1.ServerState_SERVER_STATE_GONE
	return a.Service != b.Service && a.Service != "" && b.Service != "" && a.State != gone && b.State != gone
}

// IsFull reports whether the table has no room for a server that it does not hold
// yet.
func (t *Table) IsFull(server string) bool {
	return t.servers[server] == nil && len(t.servers) >= maxServers
}

// Announce applies an announcement and reports whether it changed what
// subscribers see. An older announcement changes nothing, not even the time of
// the last announcement, and neither does one of another service while the server
// announces itself.
func (t *Table) Announce(a *fleetv1.Announcement, now time.Time) bool {
	existing := t.servers[a.Server]
	if t.IsFull(a.Server) {
		return false
	}
	if existing != nil && (!Supersedes(a, existing.Announcement) || (ofOtherService(a, existing.Announcement) && !existing.Silent)) {
		return false
	}
	if existing != nil && existing.BornUnixMs == a.BornUnixMs {
		keepHighestVersions(a.Weights, existing.Weights)
		a.Leaving = a.Leaving || existing.Leaving
		a.RateLimit = existing.RateLimit
	}
	changed := existing == nil || !equalExceptSequence(a, existing.Announcement)
	t.software.Seen(softwareOf(a), now)
	if existing == nil {
		existing = &record{}
		t.servers[a.Server] = existing
	} else {
		t.software.Seen(softwareOf(existing.Announcement), now)
	}
	existing.Announcement, existing.lastAnnounced = a, now
	if changed {
		t.markChanged(existing)
	}
	return changed
}

// keepHighestVersions raises the versions in weights to those in existing, which
// may have been observed after the announcement was written. Both must be of the
// same incarnation, within which versions only rise.
func keepHighestVersions(weights, existing []*fleetv1.ModelWeights) {
	for _, w := range weights {
		for _, h := range existing {
			if h.Model == w.Model {
				w.Version = max(w.Version, h.Version)
			}
		}
	}
}

// MarkGone records that a server has ended. If bornUnixMS is 0, the incarnation
// in the table is meant; if there is none, nowMS stands in for its start time,
// so that a delayed announcement of the same incarnation is not taken for a new
// one. It reports whether the table changed.
func (t *Table) MarkGone(server string, bornUnixMS, nowMS int64, now time.Time) bool {
	a := &fleetv1.Announcement{Server: server, BornUnixMs: bornUnixMS, State: fleetv1.ServerState_SERVER_STATE_GONE}
	if existing := t.servers[server]; existing != nil {
		if bornUnixMS == 0 {
			a.BornUnixMs = existing.BornUnixMs
		}
		a.Service, a.Address, a.Zone, a.Software, a.Sequence = existing.Service, existing.Address, existing.Zone, existing.Software, existing.Sequence
	} else if bornUnixMS == 0 {
		a.BornUnixMs = nowMS
	}
	return t.Announce(a, now)
}

// ObserveWeights records weight versions that were seen at a server between two
// announcements and reports whether a version changed. Versions seen at another
// incarnation are ignored. Versions only rise within one incarnation.
func (t *Table) ObserveWeights(server string, bornUnixMS int64, versions map[string]uint64) bool {
	existing := t.servers[server]
	if existing == nil || existing.BornUnixMs != bornUnixMS {
		return false
	}
	next := proto.CloneOf(existing.Announcement)
	changed := false
	for _, w := range next.Weights {
		if versions[w.Model] > w.Version {
			w.Version, changed = versions[w.Model], true
		}
	}
	if changed {
		existing.Announcement = next
		t.markChanged(existing)
	}
	return changed
}

// MarkLeaving records that an incarnation of a server has said in a response
// that it is leaving, and reports whether the table changed. A server that is not
// in the table yet is recorded too, since its announcement may still arrive.
func (t *Table) MarkLeaving(server string, bornUnixMS int64, now time.Time) bool {
	existing := t.servers[server]
	switch {
	case existing == nil && !t.IsFull(server):
		// The sequence number 0 is below that of its first announcement.
		existing = &record{Announcement: &fleetv1.Announcement{Server: server, BornUnixMs: bornUnixMS, State: fleetv1.ServerState_SERVER_STATE_DRAINING}, lastAnnounced: now}
		t.servers[server] = existing
	case existing == nil || existing.BornUnixMs != bornUnixMS || existing.Leaving:
		return false
	}
	next := proto.CloneOf(existing.Announcement)
	next.Leaving = true
	existing.Announcement = next
	t.markChanged(existing)
	return true
}

// MergeRateLimit adopts a rate limit that another process knows, if it is newer than
// the one in the table, and reports whether the table changed. Limits of servers that
// are not in the table are ignored: they are reported again.
func (t *Table) MergeRateLimit(server string, bornUnixMS int64, limit dispatch.StatedLimit) bool {
	return t.updateRateLimit(server, bornUnixMS, func(s *dispatch.StatedLimit) bool { return s.Merge(limit) })
}

// ObserveRateLimit records what a response of a server states about its request rate,
// and reports whether the table changed.
func (t *Table) ObserveRateLimit(server string, bornUnixMS int64, limit dispatch.RateLimit) bool {
	return t.updateRateLimit(server, bornUnixMS, func(s *dispatch.StatedLimit) bool { return s.Observe(limit) })
}

// ObserveBrittleness is ObserveRateLimit for the rejections that a server survives.
func (t *Table) ObserveBrittleness(server string, bornUnixMS int64, b dispatch.Brittleness) bool {
	return t.updateRateLimit(server, bornUnixMS, func(s *dispatch.StatedLimit) bool { return s.ObserveBrittleness(b) })
}

func (t *Table) updateRateLimit(server string, bornUnixMS int64, update func(*dispatch.StatedLimit) bool) bool {
	existing := t.servers[server]
	if existing == nil || existing.BornUnixMs != bornUnixMS {
		return false
	}
	stated := DecodeRateLimit(existing.RateLimit)
	if !update(&stated) {
		return false
	}
	next := proto.CloneOf(existing.Announcement)
	next.RateLimit = EncodeRateLimit(stated)
	existing.Announcement = next
	t.markChanged(existing)
	return true
}

// StatedLimit returns what a server states; the zero value if it states nothing.
func (t *Table) StatedLimit(server string) dispatch.StatedLimit {
	if r := t.servers[server]; r != nil {
		return DecodeRateLimit(r.RateLimit)
	}
	return dispatch.StatedLimit{}
}

// equalExceptSequence compares everything that subscribers act upon.
func equalExceptSequence(a, existing *fleetv1.Announcement) bool {
	b := proto.CloneOf(existing)
	b.Sequence = a.Sequence
	return proto.Equal(a, b)
}

// markChanged gives r the next change number.
func (t *Table) markChanged(r *record) {
	t.lastChange++
	r.changeNumber = t.lastChange
}

// Expire sets Silent on servers that have not announced themselves for
// silentIntervals announcement intervals, and removes those that have been ended or
// silent for goneRetention. It reports whether any became silent; removals do not
// count.
func (t *Table) Expire(now time.Time) bool {
	t.software.Forget(now.Add(-softwareRetention))
	changed := false
	for name, r := range t.servers {
		gone := r.State == fleetv1.ServerState_SERVER_STATE_GONE
		sinceAnnounced := now.Sub(r.lastAnnounced)
		switch {
		case (gone || r.Silent) && sinceAnnounced > goneRetention:
			delete(t.servers, name)
		case !gone && !r.Silent && sinceAnnounced > silentIntervals*t.interval:
			t.software.Seen(softwareOf(r.Announcement), now)
			r.Announcement = proto.CloneOf(r.Announcement)
			r.Silent = true
			t.markChanged(r)
			changed = true
		}
	}
	return changed
}

// ChangesSince lists the announcements whose last change has a number above cursor,
// oldest change first.
func (t *Table) ChangesSince(cursor uint64) []*fleetv1.Announcement {
	var list []*record
	for _, r := range t.servers {
		if r.changeNumber > cursor {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return int(a.changeNumber) - int(b.changeNumber) })
	announcements := make([]*fleetv1.Announcement, len(list))
	for i, r := range list {
		announcements[i] = r.Announcement
	}
	return announcements
}
