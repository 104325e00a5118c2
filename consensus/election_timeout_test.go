package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// TestInitialElectionTimeout guards against a slow recovery after all replicas have
// restarted: the first campaign starts within one election timeout, but not before
// a running leader could make contact.
func TestInitialElectionTimeout(t *testing.T) {
	const electionTicks, heartbeatTicks = 15, 3
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	for random := range electionTicks {
		n, err := New(Config{Group: "g", ID: "a", ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: func(n int) int { return min(random, n-1) }},
			DurableState{Snapshot: &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members}})
		require.NoError(t, err)
		ticks := 0
		for n.Role() == RoleFollower {
			n.Tick()
			ticks++
		}
		require.Less(t, ticks, electionTicks)
		require.Greater(t, ticks, 2*heartbeatTicks, "a running leader must be able to make contact first")
	}
}
