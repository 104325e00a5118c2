package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

const (
	ready    = fleetv1.ServerState_SERVER_STATE_READY
	draining = fleetv1.ServerState_SERVER_STATE_DRAINING
	gone     = fleetv1.ServerState_SERVER_STATE_GONE
)

func announcement(bornUnixMS int64, sequence uint64, state fleetv1.ServerState) *fleetv1.Announcement {
	return &fleetv1.Announcement{Server: "s", BornUnixMs: bornUnixMS, Sequence: sequence, Service: "x", Address: "10.0.0.1:1", State: state}
}

func TestNewestAnnouncementWins(t *testing.T) {
	tests := []struct {
		name          string
		announcements []*fleetv1.Announcement
		want          *fleetv1.Announcement
	}{
		{"a delayed announcement changes nothing", []*fleetv1.Announcement{announcement(1, 5, draining), announcement(1, 4, ready)}, announcement(1, 5, draining)},
		{"a newer incarnation replaces the state", []*fleetv1.Announcement{announcement(1, 9, draining), announcement(2, 1, ready)}, announcement(2, 1, ready)},
		{"a delayed announcement of an older incarnation", []*fleetv1.Announcement{announcement(2, 1, ready), announcement(1, 50, ready)}, announcement(2, 1, ready)},
		{"the end of an incarnation is final", []*fleetv1.Announcement{announcement(1, 5, ready), announcement(1, 0, gone), announcement(1, 6, ready)}, announcement(1, 0, gone)},
		{"an incarnation after the end", []*fleetv1.Announcement{announcement(1, 0, gone), announcement(2, 1, ready)}, announcement(2, 1, ready)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(time.Second)
			for _, a := range tt.announcements {
				table.Announce(a, time.Unix(0, 0))
			}
			require.True(t, proto.Equal(tt.want, table.servers["s"].Announcement))
		})
	}
}

func TestLeaveWithoutStartTimeEndsHeldIncarnation(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Announce(announcement(7, 3, ready), now)
	require.True(t, table.MarkGone("s", 0, 0, now))
	require.False(t, table.Announce(announcement(7, 4, ready), now))
	// If the server is unknown, a delayed announcement belongs to the ended
	// incarnation.
	require.True(t, table.MarkGone("other", 0, 50_000, now))
	delayed := announcement(49_000, 9, ready)
	delayed.Server = "other"
	require.False(t, table.Announce(delayed, now))
}

func TestFeedReportsOnlyChanges(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Announce(announcement(1, 1, ready), now)
	cursor := table.Cursor()
	table.Announce(announcement(1, 2, ready), now.Add(time.Second))
	require.Empty(t, table.ChangesSince(cursor), "a renewal without changes is not reported")
	require.False(t, table.Expire(now.Add(3*time.Second)))
	require.True(t, table.Expire(now.Add(4500*time.Millisecond)))
	require.Len(t, table.ChangesSince(cursor), 1)
	require.True(t, table.ChangesSince(cursor)[0].Silent)
	table.Announce(announcement(1, 3, ready), now.Add(5*time.Second))
	require.False(t, table.ChangesSince(cursor)[0].Silent)
	table.Expire(now.Add(time.Hour))
	table.Expire(now.Add(2 * time.Hour))
	require.Empty(t, table.servers, "servers that stay silent are removed")
}

func TestObservedWeightsDoNotRegress(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	withVersion := func(sequence, version uint64) *fleetv1.Announcement {
		a := announcement(1, sequence, ready)
		a.Weights = []*fleetv1.ModelWeights{{Model: "m", Version: version}}
		return a
	}
	table.Announce(withVersion(1, 1), now)
	require.True(t, table.ObserveWeights("s", 1, map[string]uint64{"m": 2}))
	table.Announce(withVersion(2, 1), now) // sent before the weights changed
	require.Equal(t, uint64(2), table.servers["s"].Weights[0].Version)
	require.False(t, table.ObserveWeights("s", 9, map[string]uint64{"m": 3}), "another incarnation")
}

// TestAnnouncementOrderDoesNotMatter checks that tables which receive the same
// announcements in different orders, some of them twice, converge.
func TestAnnouncementOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		announcements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *fleetv1.Announcement {
			bornUnixMS, sequence := rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 5).Draw(t, "sequence")
			state := ready
			if sequence == 5 {
				state = gone
			} else if sequence == 4 {
				state = draining
			}
			return announcement(bornUnixMS, sequence, state)
		}), 1, 12).Draw(t, "announcements")
		order := rapid.Permutation(append(announcements, announcements...)).Draw(t, "order")
		a, b := NewTable(time.Second), NewTable(time.Second)
		for _, announcement := range announcements {
			a.Announce(announcement, time.Unix(0, 0))
		}
		for _, announcement := range order {
			b.Announce(announcement, time.Unix(0, 0))
		}
		x, y := a.servers["s"], b.servers["s"]
		if x.BornUnixMs != y.BornUnixMs || x.State != y.State || (x.State != gone && x.Sequence != y.Sequence) {
			t.Fatalf("tables differ: %v and %v", x.Announcement, y.Announcement)
		}
	})
}

// TestLeavingIsKeptForOneIncarnation: the leaving flag survives the server's
// own announcements and ends with the incarnation. It is also recorded before
// the server is known.
func TestLeavingIsKeptForOneIncarnation(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Announce(announcement(1, 1, ready), now)
	require.False(t, table.MarkLeaving("s", 9, now), "another incarnation")
	require.True(t, table.MarkLeaving("s", 1, now))
	require.False(t, table.MarkLeaving("s", 1, now), "already recorded")
	table.Announce(announcement(1, 2, ready), now)
	require.True(t, table.servers["s"].Leaving)
	table.Announce(announcement(2, 1, ready), now)
	require.False(t, table.servers["s"].Leaving)

	other := announcement(5, 3, ready)
	other.Server = "other"
	require.True(t, table.MarkLeaving("other", 5, now))
	require.True(t, table.Announce(other, now))
	require.True(t, table.servers["other"].Leaving)
	require.Equal(t, ready, table.servers["other"].State)
}

// An entry of another writer under the ID of a server that still announces itself.
func TestOtherServiceDoesNotReplaceLiveServer(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(time.Second)
	require.True(t, table.Announce(announcement(1, 5, ready), now))
	odd := announcement(2, 1, ready)
	odd.Service = "y"
	require.False(t, table.Announce(proto.CloneOf(odd), now.Add(time.Second)))
	require.False(t, table.Announce(announcement(1, 6, ready), now.Add(2*time.Second)))
	require.Equal(t, "x", table.ChangesSince(0)[0].Service)
	// After the server has fallen silent, its ID may stand for another one.
	table.Expire(now.Add(10 * time.Second))
	require.True(t, table.Announce(odd, now.Add(10*time.Second)))
}
