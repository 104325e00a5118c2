package registry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
)

func entriesIn(domains ...int) (list []*fleetv1.EntryInstance, names []string) {
	for d, n := range domains {
		names = append(names, fmt.Sprint("domain-", d))
		for i := range n {
			list = append(list, &fleetv1.EntryInstance{Name: fmt.Sprint(d, i), Address: fmt.Sprintf("10.%d.0.%d:1", d, i), Zone: names[d]})
		}
	}
	return list, names
}

// TestEveryEntryInstanceIsOffered: callers take 64 addresses of an answer. Of 76
// entry instances, each is told to nearly as many failure domains as any other.
func TestEveryEntryInstanceIsOffered(t *testing.T) {
	list, domains := entriesIn(13, 13, 13, 13, 12, 12)
	told := make(map[string]int)
	for _, d := range domains {
		addresses := offer(list, d, 64)
		require.Len(t, addresses, 64)
		require.Equal(t, addresses, offer(list, d, 64), "the same each time")
		for _, a := range addresses {
			told[a]++
		}
	}
	require.Len(t, told, 76)
	for a, n := range told {
		require.GreaterOrEqual(t, n, len(domains)-1, a)
	}
}

func TestFewEntryInstancesAreAllOffered(t *testing.T) {
	list, domains := entriesIn(2, 2, 1)
	require.Len(t, offer(list, domains[0], 64), 5)
	require.Len(t, offer(list, domains[0], 0), 5)
	require.Len(t, offer(list, "elsewhere", 3), 3)
	require.Empty(t, offer(nil, "elsewhere", 3))
}
