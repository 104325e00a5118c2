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

// TestEveryEntryInstanceIsSelected: clients use 64 addresses of a response. Of
// 76 entry instances, each must be given to all failure domains but one at
// most.
func TestEveryEntryInstanceIsSelected(t *testing.T) {
	list, domains := entriesIn(13, 13, 13, 13, 12, 12)
	domainsByAddress := make(map[string]int)
	for _, d := range domains {
		addresses := selectAddresses(list, d, 64)
		require.Len(t, addresses, 64)
		require.Equal(t, addresses, selectAddresses(list, d, 64), "the selection is deterministic")
		for _, a := range addresses {
			domainsByAddress[a]++
		}
	}
	require.Len(t, domainsByAddress, 76)
	for a, n := range domainsByAddress {
		require.GreaterOrEqual(t, n, len(domains)-1, a)
	}
}

func TestFewEntryInstancesAreAllSelected(t *testing.T) {
	list, domains := entriesIn(2, 2, 1)
	require.Len(t, selectAddresses(list, domains[0], 64), 5)
	require.Len(t, selectAddresses(list, domains[0], 0), 5)
	require.Len(t, selectAddresses(list, "elsewhere", 3), 3)
	require.Empty(t, selectAddresses(nil, "elsewhere", 3))
}
