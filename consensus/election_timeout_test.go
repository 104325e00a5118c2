package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// TestStartedReplicaAsksForVotesWithinOneElectionTime checks that nobody waits a
// whole election time and more after a loss of all replicas.
func TestStartedReplicaAsksForVotesWithinOneElectionTime(t *testing.T) {
	const electionTicks, heartbeatTicks = 15, 3
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	for draw := range electionTicks {
		n, err := New(Config{Group: "g", ID: "a", ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: func(n int) int { return min(draw, n-1) }},
			Durable{Snapshot: &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members}})
		require.NoError(t, err)
		ticks := 0
		for n.Role() == RoleFollower {
			n.Tick()
			ticks++
		}
		require.Less(t, ticks, electionTicks)
		require.Greater(t, ticks, 2*heartbeatTicks, "a leader that lives is heard of first")
	}
}
