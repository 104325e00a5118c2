package placement

import (
	"cmp"
	"slices"
	"time"
)

// LengthGroup is the prompt length that a server is reserved for. It is for many short
// prompts mixed with few long ones: engines prefill prompts in arrival order, so a
// short prompt behind a long one is late. Reserving some servers for short prompts
// keeps both on time. Either kind overflows to the other's servers when its own are
// busier than the penalty for that.
type LengthGroup int

// Groups of servers by prompt length.
const (
	GroupAny LengthGroup = iota
	GroupShort
	GroupLong
)

const (
	// longOnShortPenalty and shortOnLongPenalty are the costs of using the other
	// group's servers: a long prompt there delays many short ones, a short prompt
	// risks queueing behind a long one.
	longOnShortPenalty = 200 * time.Millisecond
	shortOnLongPenalty = 30 * time.Millisecond
	// shortBacklogLimit is the backlog with which a server for short prompts still
	// serves them on time. Beyond it, the delay that a long prompt adds is paid by
	// each of about delayedShortPrompts short prompts behind it.
	shortBacklogLimit   = 100 * time.Millisecond
	delayedShortPrompts = 10
)

// longOnShortCost is the extra cost of a long prompt at a server for short ones whose
// backlog, with the prompt, is the given time. Without the growing part, long prompts
// overflow to the servers for short ones under overload and nothing is on time any
// more (in bursts, and with a quarter of the servers down).
func longOnShortCost(backlog time.Duration) time.Duration {
	return longOnShortPenalty + delayedShortPrompts*max(0, backlog-shortBacklogLimit)
}

// GroupRank orders servers by group: those with the highest ranks take short prompts.
func GroupRank(server string) uint64 { return Rank("short prompts", server) }

// GroupPositions returns the place of each of n servers in the order of GroupRank: 0.5/n for the
// highest rank, the next ones each 1/n higher.
func GroupPositions(n int, id func(i int) string) []float64 {
	order, ranks, positions := make([]int, n), make([]uint64, n), make([]float64, n)
	for i := range n {
		order[i], ranks[i] = i, GroupRank(id(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	for place, i := range order {
		positions[i] = (float64(place) + 0.5) / float64(n)
	}
	return positions
}

// GroupAt returns the group of a server at a place, see GroupPositions. shortShare is the
// share of servers for short prompts; 0 for no groups.
func GroupAt(position, shortShare float64) LengthGroup {
	switch {
	case shortShare <= 0:
		return GroupAny
	case position < shortShare:
		return GroupShort
	}
	return GroupLong
}

// Serves reports whether servers of the group are meant for prompts of a length.
func (g LengthGroup) Serves(long bool) bool { return g == GroupAny || (g == GroupLong) == long }

// AssignGroups assigns the servers to groups. shortShare is the share of servers for
// short prompts, see LengthMix.ShortShare: entry instances with the same share assign
// the same groups. With fewer than three servers, or a share of 0, there are none.
func AssignGroups(servers []Server, shortShare float64, id func(i int) string) {
	if len(servers) < 3 || shortShare <= 0 {
		return
	}
	order := make([]int, len(servers))
	ranks := make([]uint64, len(servers))
	for i := range servers {
		order[i], ranks[i] = i, GroupRank(id(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	shortCount := min(max(1, int(shortShare*float64(len(servers))+0.5)), len(servers)-1)
	for position, i := range order {
		servers[i].Group = GroupLong
		if position < shortCount {
			servers[i].Group = GroupShort
		}
	}
}
