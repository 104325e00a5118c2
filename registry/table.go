// Package registry keeps what backend servers announce of themselves at one
// control instance and feeds the changes to everybody who listens. The table is
// soft state: a restarted instance hears all servers again within an interval.
package registry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

// Bounds of a table.
const (
	// silentIntervals is how many announcements may be missing before a server
	// counts as silent; one may be lost and one late without harm.
	silentIntervals = 3
	// goneKept is how long the end of a server is remembered: longer than a
	// delayed announcement of its life can still arrive.
	goneKept = 2 * time.Minute
	// maxServers bounds the table, the ended ones among them.
	maxServers = 32768
)

// Table holds the newest announcement of each server. It has no clock and is
// not safe for concurrent use.
type Table struct {
	interval time.Duration
	servers  map[string]*record
	// cursor numbers the changes; each record bears the one that last changed it.
	cursor uint64
}

type record struct {
	*fleetv1.Announcement
	heard  time.Time
	cursor uint64
}

// NewTable returns an empty table; servers announce themselves at about the
// given interval.
func NewTable(interval time.Duration) *Table {
	return &Table{interval: interval, servers: make(map[string]*record)}
}

// Cursor is the number of the last change.
func (t *Table) Cursor() uint64 { return t.cursor }

// Newer reports whether an announcement says more than one that is held.
// Invariant: a life that has ended stays ended, and an older life never
// replaces a younger one.
func Newer(a, held *fleetv1.Announcement) bool {
	switch {
	case held == nil:
		return true
	case a.BornUnixMs != held.BornUnixMs:
		return a.BornUnixMs > held.BornUnixMs
	case held.State == fleetv1.ServerState_SERVER_STATE_GONE:
		return false
	case a.State == fleetv1.ServerState_SERVER_STATE_GONE:
		return true
	}
	return a.Sequence > held.Sequence
}

// Full reports whether there is no room for a server that is not known.
func (t *Table) Full(server string) bool {
	return t.servers[server] == nil && len(t.servers) >= maxServers
}

// Hear takes an announcement and reports whether it changed what is known. An
// older one changes nothing, also not when the server was last heard.
func (t *Table) Hear(a *fleetv1.Announcement, now time.Time) bool {
	held := t.servers[a.Server]
	if t.Full(a.Server) {
		return false
	}
	if held != nil && !Newer(a, held.Announcement) {
		return false
	}
	if held != nil && held.BornUnixMs == a.BornUnixMs {
		raise(a.Weights, held.Weights)
		a.Leaving = a.Leaving || held.Leaving
	}
	changed := held == nil || !sameButSequence(a, held.Announcement)
	if held == nil {
		held = &record{}
		t.servers[a.Server] = held
	}
	held.Announcement, held.heard = a, now
	if changed {
		t.touch(held)
	}
	return changed
}

// raise keeps a server's word from taking back what was seen since it was
// written: in one life weight versions only rise.
func raise(weights, held []*fleetv1.ModelWeights) {
	for _, w := range weights {
		for _, h := range held {
			if h.Model == w.Model {
				w.Version = max(w.Version, h.Version)
			}
		}
	}
}

// Leave records that a server ends. Without a birth, whatever life is known is
// meant; nowMS stands for it if none is known, so that a late announcement of
// the same life is not taken for a new one.
func (t *Table) Leave(server string, born, nowMS int64, now time.Time) bool {
	a := &fleetv1.Announcement{Server: server, BornUnixMs: born, State: fleetv1.ServerState_SERVER_STATE_GONE}
	if held := t.servers[server]; held != nil {
		if born == 0 {
			a.BornUnixMs = held.BornUnixMs
		}
		a.Service, a.Address, a.Zone, a.Sequence = held.Service, held.Address, held.Zone, held.Sequence
	} else if born == 0 {
		a.BornUnixMs = nowMS
	}
	return t.Hear(a, now)
}

// Observe notes weight versions that were seen at a server in between its
// announcements. Versions only rise in one life.
func (t *Table) Observe(server string, born int64, versions map[string]uint64) bool {
	held := t.servers[server]
	if held == nil || held.BornUnixMs != born {
		return false
	}
	next := proto.CloneOf(held.Announcement)
	changed := false
	for _, w := range next.Weights {
		if versions[w.Model] > w.Version {
			w.Version, changed = versions[w.Model], true
		}
	}
	if changed {
		held.Announcement = next
		t.touch(held)
	}
	return changed
}

// Leaves notes that a life of a server has said in an answer that it leaves. A
// life that is not known here may yet be announced: it is noted as well.
func (t *Table) Leaves(server string, born int64, now time.Time) bool {
	held := t.servers[server]
	switch {
	case held == nil && !t.Full(server):
		// Its first announcement has a higher sequence than none.
		held = &record{Announcement: &fleetv1.Announcement{Server: server, BornUnixMs: born, State: fleetv1.ServerState_SERVER_STATE_DRAINING}, heard: now}
		t.servers[server] = held
	case held == nil || held.BornUnixMs != born || held.Leaving:
		return false
	}
	next := proto.CloneOf(held.Announcement)
	next.Leaving = true
	held.Announcement = next
	t.touch(held)
	return true
}

// sameButSequence compares what listeners act upon.
func sameButSequence(a, held *fleetv1.Announcement) bool {
	b := proto.CloneOf(held)
	b.Sequence = a.Sequence
	return proto.Equal(a, b)
}

func (t *Table) touch(r *record) {
	t.cursor++
	r.cursor = t.cursor
}

// Age marks servers that have fallen silent and forgets those that ended long
// ago. It reports whether listeners have something to learn.
func (t *Table) Age(now time.Time) bool {
	changed := false
	for name, r := range t.servers {
		gone := r.State == fleetv1.ServerState_SERVER_STATE_GONE
		quiet := now.Sub(r.heard)
		switch {
		case (gone || r.Silent) && quiet > goneKept:
			delete(t.servers, name)
		case !gone && !r.Silent && quiet > silentIntervals*t.interval:
			r.Announcement = proto.CloneOf(r.Announcement)
			r.Silent = true
			t.touch(r)
			changed = true
		}
	}
	return changed
}

// Since lists what changed after a cursor, oldest change first.
func (t *Table) Since(cursor uint64) []*fleetv1.Announcement {
	var list []*record
	for _, r := range t.servers {
		if r.cursor > cursor {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return int(a.cursor) - int(b.cursor) })
	announcements := make([]*fleetv1.Announcement, len(list))
	for i, r := range list {
		announcements[i] = r.Announcement
	}
	return announcements
}
