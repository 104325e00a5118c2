package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/placement"
)

// TestLineIsInOrder: requests wait in the order of their places, whenever they
// came, and those that go leave the order of the others as it was.
func TestLineIsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Line
		var tried []Place
		for range rapid.IntRange(0, 40).Draw(t, "requests") {
			w := &Waiter{Place: Place{
				Later: rapid.Bool().Draw(t, "later"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
				StartBy: start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "by"))),
			}}
			goes := rapid.Bool().Draw(t, "goes")
			w.Try = func(map[string]bool) (bool, string) {
				tried = append(tried, w.Place)
				return goes, ""
			}
			l.Join(w)
		}
		for range 3 {
			tried = nil
			l.Look()
			for i := 1; i < len(tried); i++ {
				require.False(t, tried[i].Before(tried[i-1]), "%v after %v", tried[i], tried[i-1])
			}
		}
	})
}

// TestSmallOnesDoNotStarveALargeOne: load pattern, small prompts come faster than
// a large one finds room. What frees up is left to the one that waits for it.
func TestSmallOnesDoNotStarveALargeOne(t *testing.T) {
	var l Line
	room := map[string]int{"a": 100, "b": 50}
	try := func(memory int, wants string) func(map[string]bool) (bool, string) {
		return func(claimed map[string]bool) (bool, string) {
			for _, s := range []string{"a", "b"} {
				if !claimed[s] && room[s] >= memory {
					room[s] -= memory
					return true, ""
				}
			}
			return false, wants
		}
	}
	l.Join(&Waiter{Place: Place{StartBy: start}, Memory: 500, Try: try(500, "a")})
	for n := range 6 {
		l.Join(&Waiter{Place: Place{StartBy: start.Add(time.Duration(n + 1))}, Memory: 10, Try: try(10, "b")})
	}
	l.Look()
	require.Equal(t, 100, room["a"], "it is kept for the large one")
	require.Equal(t, 0, room["b"])
	require.Equal(t, 2, l.Len())
	require.True(t, l.Claimed(Place{StartBy: start.Add(time.Hour)})["a"])
	require.Nil(t, l.Claimed(Place{}), "who comes before it may take it")
	room["a"] = 500
	l.Look()
	require.Equal(t, 0, room["a"])
	require.Equal(t, 1, l.Len())
}

func TestRequestThatLeavesIsNotTried(t *testing.T) {
	var l Line
	tried := 0
	w := &Waiter{Memory: 7, Try: func(map[string]bool) (bool, string) { tried++; return false, "" }}
	l.Join(w)
	require.Equal(t, 7, l.Ahead(Place{Later: true}))
	l.Leave(w)
	l.Look()
	require.Zero(t, tried+l.Len()+l.Ahead(Place{Later: true}))
}

func TestLookIsBounded(t *testing.T) {
	var l Line
	tried := 0
	for range 1000 {
		l.Join(&Waiter{Try: func(map[string]bool) (bool, string) { tried++; return false, "" }})
	}
	l.Look()
	require.Equal(t, mostHeld, tried)
	require.Equal(t, 1000, l.Len())
}

func TestRoomComesAsRunsEnd(t *testing.T) {
	list := []placement.Server{{MemoryTokens: 1000, HeldTokens: 900, RunTime: time.Second}, {MemoryTokens: 1000, HeldTokens: 900, RunTime: time.Second}, {MemoryTokens: 1000}}
	require.InDelta(t, 500, milliseconds(RoomIn(list, 900)), 0.01)
	list[1].RunTime = 0
	require.InDelta(t, 500, milliseconds(RoomIn(list, 900)), 0.01, "not known: as long as elsewhere")
	require.Zero(t, RoomIn(list, 0))
	require.Zero(t, RoomIn(nil, 900))
}
