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

func word(born int64, sequence uint64, state fleetv1.ServerState) *fleetv1.Announcement {
	return &fleetv1.Announcement{Server: "s", BornUnixMs: born, Sequence: sequence, Service: "x", Address: "10.0.0.1:1", State: state}
}

func TestNewestWordOnAServerIsHeld(t *testing.T) {
	tests := []struct {
		name  string
		words []*fleetv1.Announcement
		want  *fleetv1.Announcement
	}{
		{"a late word changes nothing", []*fleetv1.Announcement{word(1, 5, draining), word(1, 4, ready)}, word(1, 5, draining)},
		{"a younger life begins anew", []*fleetv1.Announcement{word(1, 9, draining), word(2, 1, ready)}, word(2, 1, ready)},
		{"a late word of an older life", []*fleetv1.Announcement{word(2, 1, ready), word(1, 50, ready)}, word(2, 1, ready)},
		{"the end of a life is final", []*fleetv1.Announcement{word(1, 5, ready), word(1, 0, gone), word(1, 6, ready)}, word(1, 0, gone)},
		{"a life after the end", []*fleetv1.Announcement{word(1, 0, gone), word(2, 1, ready)}, word(2, 1, ready)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(time.Second)
			for _, w := range tt.words {
				table.Hear(w, time.Unix(0, 0))
			}
			require.True(t, proto.Equal(tt.want, table.servers["s"].Announcement))
		})
	}
}

func TestLeaveWithoutABirthEndsTheLifeThatIsKnown(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Hear(word(7, 3, ready), now)
	require.True(t, table.Leave("s", 0, 0, now))
	require.False(t, table.Hear(word(7, 4, ready), now))
	// Of a server that this instance does not know, a late word is of that life.
	require.True(t, table.Leave("other", 0, 50_000, now))
	late := word(49_000, 9, ready)
	late.Server = "other"
	require.False(t, table.Hear(late, now))
}

func TestFeedTellsChangesOnly(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Hear(word(1, 1, ready), now)
	cursor := table.Cursor()
	table.Hear(word(1, 2, ready), now.Add(time.Second))
	require.Empty(t, table.Since(cursor), "a sign of life is no news")
	require.False(t, table.Age(now.Add(3*time.Second)))
	require.True(t, table.Age(now.Add(4500*time.Millisecond)))
	require.Len(t, table.Since(cursor), 1)
	require.True(t, table.Since(cursor)[0].Silent)
	table.Hear(word(1, 3, ready), now.Add(5*time.Second))
	require.False(t, table.Since(cursor)[0].Silent)
	table.Age(now.Add(time.Hour))
	table.Age(now.Add(2 * time.Hour))
	require.Empty(t, table.servers, "what is silent for long is forgotten")
}

func TestSeenWeightsAreNotTakenBack(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	w := func(sequence, version uint64) *fleetv1.Announcement {
		a := word(1, sequence, ready)
		a.Weights = []*fleetv1.ModelWeights{{Model: "m", Version: version}}
		return a
	}
	table.Hear(w(1, 1), now)
	require.True(t, table.Observe("s", 1, map[string]uint64{"m": 2}))
	table.Hear(w(2, 1), now) // written before the change
	require.Equal(t, uint64(2), table.servers["s"].Weights[0].Version)
	require.False(t, table.Observe("s", 9, map[string]uint64{"m": 3}), "another life")
}

// TestWordsInAnyOrderEndAlike checks that listeners which hear the same words in
// another order, some of them twice, agree.
func TestWordsInAnyOrderEndAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *fleetv1.Announcement {
			born, sequence := rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 5).Draw(t, "sequence")
			state := ready
			if sequence == 5 {
				state = gone
			} else if sequence == 4 {
				state = draining
			}
			return word(born, sequence, state)
		}), 1, 12).Draw(t, "words")
		order := rapid.Permutation(append(words, words...)).Draw(t, "order")
		a, b := NewTable(time.Second), NewTable(time.Second)
		for _, w := range words {
			a.Hear(w, time.Unix(0, 0))
		}
		for _, w := range order {
			b.Hear(w, time.Unix(0, 0))
		}
		x, y := a.servers["s"], b.servers["s"]
		if x.BornUnixMs != y.BornUnixMs || x.State != y.State || (x.State != gone && x.Sequence != y.Sequence) {
			t.Fatalf("%v and %v", x.Announcement, y.Announcement)
		}
	})
}

// TestLeavingHoldsForOneLife: what a server said of its leaving survives its own
// announcements, and ends with that life; it is noted also before the server is
// known here.
func TestLeavingHoldsForOneLife(t *testing.T) {
	table, now := NewTable(time.Second), time.Unix(100, 0)
	table.Hear(word(1, 1, ready), now)
	require.False(t, table.Leaves("s", 9, now), "another life")
	require.True(t, table.Leaves("s", 1, now))
	require.False(t, table.Leaves("s", 1, now), "it is known")
	table.Hear(word(1, 2, ready), now)
	require.True(t, table.servers["s"].Leaving)
	table.Hear(word(2, 1, ready), now)
	require.False(t, table.servers["s"].Leaving)

	other := word(5, 3, ready)
	other.Server = "other"
	require.True(t, table.Leaves("other", 5, now))
	require.True(t, table.Hear(other, now))
	require.True(t, table.servers["other"].Leaving)
	require.Equal(t, ready, table.servers["other"].State)
}
