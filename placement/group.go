package placement

import (
	"cmp"
	"slices"
	"time"
)

// Group is the length of prompts that a server is meant for. It answers a mix of
// many short questions and few long prompts: engines read prompts in the order
// of their coming, so that a short one behind a long one is late. With a part
// of the servers for short ones, both stay on time; either goes to the other's
// servers when its own are busier than the cost of that.
type Group int

// Groups of servers.
const (
	GroupAny Group = iota
	GroupShort
	GroupLong
)

const (
	// longAmongShort and shortAmongLong are the costs of the other's servers: a
	// long prompt there delays many, a short one risks meeting a long one.
	longAmongShort = 200 * time.Millisecond
	shortAmongLong = 30 * time.Millisecond
	// shortSlack is the reading that a server for short prompts may have before
	// it and still answer them on time; beyond it, each moment that a long prompt
	// adds is lost by the short ones behind it, some crowdFactor at a time.
	shortSlack  = 100 * time.Millisecond
	crowdFactor = 10
)

// amongShort is what a long prompt costs besides its own wait at a server for
// short ones that would be reading for a time with it. Without the part that
// grows, long prompts follow each other to the short ones' servers when there is
// more to read than can be read, and nothing is on time any more (many callers at
// once; a quarter of the servers dark).
func amongShort(reading time.Duration) time.Duration {
	return longAmongShort + crowdFactor*max(0, reading-shortSlack)
}

// GroupRank orders servers by their group: those with the highest ranks take
// short prompts.
func GroupRank(server string) uint64 { return Rank("short prompts", server) }

// Split assigns the groups, alike at every entry instance that sees the same
// share of short prompts: see Mix. With fewer than three servers there are none.
func Split(servers []Server, shortShare float64, id func(i int) string) {
	if len(servers) < 3 || shortShare <= 0 {
		return
	}
	order := make([]int, len(servers))
	ranks := make([]uint64, len(servers))
	for i := range servers {
		order[i], ranks[i] = i, GroupRank(id(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	short := min(max(1, int(shortShare*float64(len(servers))+0.5)), len(servers)-1)
	for n, i := range order {
		servers[i].Group = GroupLong
		if n < short {
			servers[i].Group = GroupShort
		}
	}
}
