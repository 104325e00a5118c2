package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// homesOf returns the homes of a prefix among servers, as names.
func homesOf(prefix string, servers []string) (names []string) {
	var homes Homes
	for i, s := range servers {
		homes.Offer(i, HomeRank(HomeHash(prefix), HomeHash(s)))
	}
	for _, i := range homes.Servers() {
		names = append(names, servers[i])
	}
	return names
}

func serverNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("server-", i))
	}
	return names
}

func TestHomesAreTheServersOfHighestRank(t *testing.T) {
	servers := serverNames(50)
	for n := range 200 {
		prefix := fmt.Sprint("prefix-", n)
		byRank := slices.SortedFunc(slices.Values(servers), func(a, b string) int {
			return cmp.Compare(HomeRank(HomeHash(prefix), HomeHash(b)), HomeRank(HomeHash(prefix), HomeHash(a)))
		})
		require.Equal(t, byRank[:HomeCount], homesOf(prefix, servers))
	}
	require.Empty(t, homesOf("p", nil))
	require.Equal(t, []string{"server-0"}, homesOf("p", servers[:1]))
}

// A server that is lost moves only the prefixes whose home it was, each to the server that was
// next in its order, whatever the order in which an instance lists the servers.
func TestLostServerMovesOnlyItsOwnPrefixes(t *testing.T) {
	servers := serverNames(60)
	left := slices.Clone(servers[1:])
	slices.Reverse(left)
	moved := 0
	for n := range 3000 {
		prefix := fmt.Sprint("prefix-", n)
		before, after := homesOf(prefix, servers), homesOf(prefix, left)
		if before[0] == servers[0] {
			moved++
			before = before[1:]
		}
		require.Equal(t, before[0], after[0])
	}
	require.InDelta(t, 3000/60, moved, 25)
}

func TestHomesAreSpreadOverTheServers(t *testing.T) {
	counts := make(map[string]float64)
	servers := serverNames(140)
	for n := range 14_000 {
		counts[homesOf(fmt.Sprint("part/", n), servers)[0]]++
	}
	loads := make([]float64, 0, len(servers))
	for _, s := range servers {
		loads = append(loads, counts[s])
	}
	require.Less(t, Variation(loads), 0.13, "100 prefixes a server drawn at random vary by 0.1")
}

func TestGroupsOfAFleetFollowTheShare(t *testing.T) {
	servers := serverNames(40)
	positions := GroupPositions(len(servers), func(i int) string { return servers[i] })
	for _, share := range []float64{0.1, 0.25, 0.6} {
		short := 0
		for i := range servers {
			if GroupAt(positions[i], share) == GroupShort {
				short++
			}
		}
		require.Equal(t, int(share*40), short)
	}
	require.Equal(t, GroupAny, GroupAt(positions[0], 0))
}

// Each of 30 instances sees few prompts, and estimates another share of servers for short ones.
// With what they tell each other, all have the same.
func TestToldMixAgreesOnGroups(t *testing.T) {
	now := time.Unix(100, 0)
	var sum MixWork
	var own []MixWork
	for n := range 30 {
		var m LengthMix
		for range n + 5 {
			m.Observe(383, 0, now)
		}
		m.Observe(17_000, 0, now)
		own = append(own, m.Work(now))
		sum = sum.Plus(own[n])
	}
	require.NotEqual(t, own[0].ShortShare(), own[29].ShortShare())
	require.InDelta(t, sum.Short/(sum.Short+sum.Long), sum.ShortShare(), 1e-9)
	var m LengthMix
	m.Observe(100, 0, now)
	require.InDelta(t, 50, m.Work(now.Add(mixHalfLife)).Short, 1e-9)
	require.InDelta(t, 100, m.Work(now.Add(-time.Second)).Short, 1e-9)
}

func TestAwayPenaltyGrowsWithThePlace(t *testing.T) {
	home, alternate, other := &Server{Home: true}, &Server{Alternate: 1}, &Server{}
	require.Zero(t, awayPenalty(home))
	require.Less(t, awayPenalty(alternate), awayPenalty(other))
	require.Equal(t, nonHomePenalty, awayPenalty(other))
}

func TestVariation(t *testing.T) {
	require.Zero(t, Variation(nil))
	require.Zero(t, Variation([]float64{3, 3, 3}))
	require.InDelta(t, 1, Variation([]float64{0, 2}), 1e-9)
}
