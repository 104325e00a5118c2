package fleet

import (
	"cmp"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
)

// State tells whether a server accepts new work.
type State uint8

// States of a server, in ascending order of precedence.
const (
	StatePresent State = iota
	// StateSilent: no announcement arrived within the TTL.
	StateSilent
	// StateLeaving: the server accepts no new work. Final for an incarnation.
	StateLeaving
)

// tombstoneTTL is how long a removed server is remembered, so that a delayed
// announcement does not bring it back. It exceeds the longest possible delay of
// a request to an entry.
const tombstoneTTL = 5 * time.Minute

// selfKey is the key of this entry's own record.
const selfKey = ""

// Record is one entry's record of a backend server.
type Record struct {
	Announcement backend.Announcement
	State        State
}

// recordVersion orders records of a server, whichever entry they come from: by
// the server's incarnation and sequence number, then by state. A leave
// supersedes every other record of its incarnation.
type recordVersion struct {
	incarnation uint64
	sequence    uint64
	state       State
}

func (v recordVersion) compare(other recordVersion) int {
	return cmp.Or(
		cmp.Compare(v.incarnation, other.incarnation),
		compareBool(v.state == StateLeaving, other.state == StateLeaving),
		cmp.Compare(v.sequence, other.sequence),
		cmp.Compare(v.state, other.state),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (v recordVersion) before(other recordVersion) bool     { return v.compare(other) < 0 }
func (v recordVersion) supersedes(other recordVersion) bool { return v.compare(other) > 0 }

// nextSequence returns the sequence number for an announcement without one.
func (v recordVersion) nextSequence(incarnation uint64) uint64 {
	if incarnation != v.incarnation {
		return 1
	}
	return v.sequence + 1
}

// entryRecord is one entry's record of a server, as stored in this table.
type entryRecord struct {
	version      recordVersion
	announcement backend.Announcement
	// updatedAt is when the record last changed or was renewed; set only in
	// this entry's own records.
	updatedAt time.Time
	// published is the version last sent to the other entries.
	published recordVersion
}

// tombstone keeps the version of a record after it was dropped.
type tombstone struct {
	version   recordVersion
	droppedAt time.Time
}

// newestVersion returns the highest known version of a server.
func (t *Table) newestVersion(server string, now time.Time) recordVersion {
	highest := t.newestPeerVersion(server)
	if own := t.records[server][selfKey]; own != nil && own.version.supersedes(highest) {
		highest = own.version
	}
	if tomb, ok := t.tombstones[server]; ok && now.Sub(tomb.droppedAt) < tombstoneTTL && tomb.version.supersedes(highest) {
		highest = tomb.version
	}
	return highest
}

// newestPeerVersion returns the highest version reported by other entries.
func (t *Table) newestPeerVersion(server string) recordVersion {
	var highest recordVersion
	for entry, record := range t.records[server] {
		if entry != selfKey && record.version.supersedes(highest) {
			highest = record.version
		}
	}
	return highest
}

// newestGoneVersion returns the highest version at which a server is known to
// be silent or leaving, or whose record was dropped.
func (t *Table) newestGoneVersion(server string, now time.Time) recordVersion {
	var highest recordVersion
	if tomb, ok := t.tombstones[server]; ok && now.Sub(tomb.droppedAt) < tombstoneTTL {
		highest = tomb.version
	}
	for _, record := range t.records[server] {
		if record.version.state != StatePresent && record.version.supersedes(highest) {
			highest = record.version
		}
	}
	return highest
}

// newestLive returns the newest record held by a live entry, or nil.
func (t *Table) newestLive(server string) *entryRecord {
	var newest *entryRecord
	for entry, record := range t.records[server] {
		if entry != selfKey && !t.alive[entry] {
			continue
		}
		if newest == nil || record.version.supersedes(newest.version) {
			newest = record
		}
	}
	return newest
}

// ApplyRecords replaces the records of another entry. Records of an entry that
// is not alive can take a server out of service but not put one in.
func (t *Table) ApplyRecords(entry string, alive bool, records []Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := make(map[string]bool)
	if t.alive[entry] != alive {
		for server, byEntry := range t.records {
			touched[server] = touched[server] || byEntry[entry] != nil
		}
	}
	t.alive[entry] = alive
	if !alive {
		delete(t.alive, entry)
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Announcement.Server] = true
		touched[r.Announcement.Server] = true
		t.applyRecord(entry, r)
	}
	for server, byEntry := range t.records {
		if byEntry[entry] != nil && !listed[server] {
			t.dropRecord(server, entry, now)
			touched[server] = true
		}
	}
	for server, changed := range touched {
		if changed {
			t.updateServer(server, now)
		}
	}
}

func (t *Table) applyRecord(entry string, r Record) {
	a := r.Announcement
	v := recordVersion{incarnation: a.Incarnation, sequence: a.Sequence, state: r.State}
	t.storeRecord(a.Server, entry, &entryRecord{version: v, announcement: a})
	// Republish: the other entries must not act on a record older than this
	// entry's own.
	if own := t.records[a.Server][selfKey]; own != nil && own.version.supersedes(v) && own.published.before(v) {
		t.outbox[a.Server] = true
	}
}

// dropRecord removes one entry's record and keeps its version as a tombstone.
func (t *Table) dropRecord(server, entry string, now time.Time) {
	record := t.records[server][entry]
	delete(t.records[server], entry)
	if len(t.records[server]) == 0 {
		delete(t.records, server)
	}
	if !record.version.supersedes(t.tombstones[server].version) {
		return
	}
	t.tombstones[server] = tombstone{version: record.version, droppedAt: now}
}

// TakeOutbox returns the changes since the last call that the other entries need:
// this entry's record of each changed server, nil where the record was dropped.
func (t *Table) TakeOutbox() map[string]*Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.outbox) == 0 {
		return nil
	}
	out := make(map[string]*Record, len(t.outbox))
	for server := range t.outbox {
		out[server] = nil
		if own := t.records[server][selfKey]; own != nil {
			a := own.announcement
			a.Sequence = own.version.sequence
			out[server] = &Record{Announcement: a, State: own.version.state}
			own.published = own.version
		}
	}
	clear(t.outbox)
	return out
}

// AnnouncedHere reports whether a server announces itself to this entry and is
// present.
func (t *Table) AnnouncedHere(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.records[server][selfKey]
	return own != nil && own.version.state == StatePresent
}
