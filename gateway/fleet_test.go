package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/config/site"
)

// Entry instances join and leave, and each may learn of it late. If each has known all
// live instances at some time, their connections together never exceed a server's
// limit.
func TestConnectionsOfAllInstancesStayWithinServerLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(40, 600).Draw(t, "limit")
		service := &site.Service{MaxConnections: limit}
		alive := rapid.IntRange(1, 40).Draw(t, "instances")
		counts := make([]int, alive)
		for i := range counts {
			counts[i] = alive
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, alive-1).Draw(t, "instance")
			// A network partition or a restarted control instance hides some of the
			// others.
			seen := rapid.IntRange(1, alive).Draw(t, "seen")
			counts[i] = countEntries(seen, counts[i])
		}
		sum := 0
		for _, c := range counts {
			sum += connectionLimit(service, c)
		}
		require.LessOrEqual(t, sum, limit)
	})
	require.Zero(t, connectionLimit(&site.Service{}, 5), "no limit is set")
	require.Equal(t, 1, connectionLimit(&site.Service{MaxConnections: 4}, 28), "each instance needs at least one")
}
