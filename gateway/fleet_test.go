package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/config/site"
)

// TestConnectionsOfAllInstancesStayWithinAServersBound: entry instances come and
// go, and each may be the last to hear of it; as long as each has once heard of
// all that live, their connections never add up to more than a server takes.
func TestConnectionsOfAllInstancesStayWithinAServersBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(40, 600).Draw(t, "bound")
		service := &site.Service{MaxConnections: bound}
		alive := rapid.IntRange(1, 40).Draw(t, "instances")
		counts := make([]int, alive)
		for i := range counts {
			counts[i] = alive
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, alive-1).Draw(t, "instance")
			// A cut or a restarted control instance hides some of the others.
			seen := rapid.IntRange(1, alive).Draw(t, "seen")
			counts[i] = countEntries(seen, counts[i])
		}
		sum := 0
		for _, c := range counts {
			sum += connectionsOf(service, c)
		}
		require.LessOrEqual(t, sum, bound)
	})
	require.Zero(t, connectionsOf(&site.Service{}, 5), "no bound is stated")
	require.Equal(t, 1, connectionsOf(&site.Service{MaxConnections: 4}, 28), "each instance needs one")
}
