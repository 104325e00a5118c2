package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
)

// removalDeadline is the time within which a leaving or silent server must stop
// receiving new work.
const removalDeadline = 3 * time.Second

func announcement(sequence uint64) backend.Announcement {
	return backend.Announcement{Server: "engine-1", URL: "http://10.0.0.1:7001", Deployment: "quotes", WeightVersion: "v1", Incarnation: 1, Sequence: sequence}
}

func leavingAnnouncement(sequence uint64) backend.Announcement {
	a := announcement(sequence)
	a.Leaving = true
	return a
}

func withIncarnation(a backend.Announcement, n uint64) backend.Announcement {
	a.Incarnation = n
	return a
}

// TestAnnounceOrder applies announcements and peer records in various arrival
// orders.
func TestAnnounceOrder(t *testing.T) {
	applyRecord := func(a backend.Announcement, s State) func(*Table, time.Time) bool {
		return func(tb *Table, now time.Time) bool {
			tb.ApplyRecords("entry-2", true, []Record{{a, s}}, now)
			return true
		}
	}
	announce := func(a backend.Announcement) func(*Table, time.Time) bool {
		return func(tb *Table, now time.Time) bool { return tb.Announce(a, now) }
	}
	expire := func(tb *Table, now time.Time) bool { return len(tb.Expire(now.Add(DefaultTTL))) > 0 }
	tests := []struct {
		name  string
		steps []func(*Table, time.Time) bool
		// accepted is the result of the last step.
		accepted bool
		present  bool
	}{
		{"announced", []func(*Table, time.Time) bool{announce(announcement(1))}, true, true},
		{"renewed", []func(*Table, time.Time) bool{announce(announcement(1)), announce(announcement(2))}, true, true},
		{"duplicate announcement", []func(*Table, time.Time) bool{announce(announcement(2)), announce(announcement(2))}, true, true},
		{"delayed renewal", []func(*Table, time.Time) bool{announce(announcement(3)), announce(announcement(2))}, false, true},
		{"leave", []func(*Table, time.Time) bool{announce(announcement(1)), announce(leavingAnnouncement(2))}, true, false},
		{"delayed announcement after leave", []func(*Table, time.Time) bool{announce(leavingAnnouncement(2)), announce(announcement(1))}, false, false},
		{"newer announcement after leave", []func(*Table, time.Time) bool{announce(leavingAnnouncement(2)), announce(announcement(3))}, false, false},
		{"delayed leave", []func(*Table, time.Time) bool{announce(announcement(5)), announce(leavingAnnouncement(4))}, true, false},
		{"new incarnation after leave", []func(*Table, time.Time) bool{announce(leavingAnnouncement(2)), announce(withIncarnation(announcement(1), 2))}, true, true},
		{"delayed announcement of an old incarnation", []func(*Table, time.Time) bool{announce(withIncarnation(announcement(1), 2)), announce(announcement(9))}, false, true},
		{"delayed leave of an old incarnation", []func(*Table, time.Time) bool{announce(withIncarnation(announcement(1), 2)), announce(leavingAnnouncement(9))}, false, true},
		{"silent", []func(*Table, time.Time) bool{announce(announcement(1)), expire}, true, false},
		{"delayed announcement after silence", []func(*Table, time.Time) bool{announce(announcement(4)), expire, announce(announcement(3))}, false, false},
		{"announcement after silence", []func(*Table, time.Time) bool{announce(announcement(4)), expire, announce(announcement(5))}, true, true},
		{"without sequence", []func(*Table, time.Time) bool{announce(announcement(0)), announce(announcement(0))}, true, true},
		{"without sequence after leave", []func(*Table, time.Time) bool{announce(leavingAnnouncement(0)), announce(announcement(0))}, false, false},
		{"reported by another entry", []func(*Table, time.Time) bool{applyRecord(announcement(1), StatePresent)}, true, true},
		{"leave reported by another entry", []func(*Table, time.Time) bool{announce(announcement(3)), applyRecord(announcement(4), StateLeaving)}, true, false},
		{"silence at another entry is older than the announcement here", []func(*Table, time.Time) bool{announce(announcement(5)), applyRecord(announcement(4), StateSilent)}, true, true},
		{"announces itself to another entry now", []func(*Table, time.Time) bool{announce(announcement(1)), applyRecord(announcement(2), StatePresent), expire}, false, true},
		{"delayed announcement after a leave at another entry", []func(*Table, time.Time) bool{applyRecord(announcement(4), StateLeaving), announce(announcement(3))}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, now := NewTable(DefaultTTL), time.Unix(1000, 0)
			accepted := false
			for _, step := range tt.steps {
				accepted = step(table, now)
			}
			require.Equal(t, tt.accepted, accepted)
			require.Equal(t, tt.present, len(table.All()) == 1)
		})
	}
}

// exchange delivers the outbox of each table to all other tables.
func exchange(tables map[string]*Table, published map[string]map[string]Record, now time.Time) {
	for name, from := range tables {
		for server, record := range from.TakeOutbox() {
			if record == nil {
				delete(published[name], server)
				continue
			}
			published[name][server] = *record
		}
		for other, to := range tables {
			if other == name {
				continue
			}
			var list []Record
			for _, r := range published[name] {
				list = append(list, r)
			}
			to.ApplyRecords(name, true, list, now)
		}
	}
}

// TestRemovedFromAllTablesInTime has a server announce itself to each of four
// entries in turn, then leave or fall silent. All entries must remove it before
// the deadline.
func TestRemovedFromAllTablesInTime(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
			tables, published := make(map[string]*Table), make(map[string]map[string]Record)
			for _, name := range names {
				tables[name], published[name] = NewTable(DefaultTTL), make(map[string]Record)
			}
			sequence := uint64(0)
			for tick := range 100 {
				sequence++
				to := names[tick/25]
				require.True(t, tables[to].Announce(announcement(sequence), time.Now()))
				exchange(tables, published, time.Now())
				for name, table := range tables {
					table.Expire(time.Now())
					require.Len(t, table.All(), 1, "%s at %d", name, tick)
				}
				time.Sleep(400 * time.Millisecond)
			}
			if leaves {
				require.True(t, tables["entry-4"].Announce(leavingAnnouncement(sequence+1), time.Now()))
			}
			for range int(removalDeadline / (100 * time.Millisecond)) {
				time.Sleep(100 * time.Millisecond)
				for _, table := range tables {
					table.Expire(time.Now())
				}
				exchange(tables, published, time.Now())
			}
			for name, table := range tables {
				require.Empty(t, table.All(), name)
				// Every table rejects a delayed announcement.
				require.False(t, table.Announce(announcement(sequence), time.Now()))
			}
		})
	}
}

func TestServersOfLostEntryAreRemoved(t *testing.T) {
	table, now := NewTable(DefaultTTL), time.Unix(1000, 0)
	table.ApplyRecords("entry-2", true, []Record{{announcement(1), StatePresent}}, now)
	server := table.All()[0]
	table.ApplyRecords("entry-2", false, []Record{{announcement(1), StatePresent}}, now)
	require.Empty(t, table.All(), "records of a dead entry do not keep a server in service")
	require.NoError(t, server.LostContext().Err(), "streams in progress may continue")
	table.ApplyRecords("entry-3", true, []Record{{announcement(5), StatePresent}}, now)
	require.Len(t, table.All(), 1, "the server announced itself to another entry")
	table.ApplyRecords("entry-2", false, nil, now)
	require.Len(t, table.All(), 1)
}

func TestTableDropsExpiredRecords(t *testing.T) {
	table, now := NewTable(DefaultTTL), time.Unix(1000, 0)
	for i := range uint64(100) {
		a := announcement(1)
		a.Server = string(rune('a'+i%26)) + a.Server
		a.Incarnation = i + 1
		table.Announce(a, now)
		table.TakeOutbox()
	}
	for range 4 {
		now = now.Add(tombstoneTTL)
		table.Expire(now)
	}
	require.Empty(t, table.records)
	require.Empty(t, table.tombstones)
	require.Empty(t, table.servers)
}
