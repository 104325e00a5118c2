package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// FuzzStep passes arbitrary decodable messages to a replica. The replica may reject
// a message, but it must not panic or lower its commit index.
func FuzzStep(f *testing.F) {
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1"}, {Id: "r2"}, {Id: "r3"}}}
	meta := &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members, Bytes: 1}
	seeds := []*consensusv1.Message{
		{Kind: kindVote, Term: 3, Index: 9, LogTerm: 2},
		{Kind: kindAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 2, Entries: []*consensusv1.Entry{{Index: 2, Term: 3}}},
		{Kind: kindSnapshot, Term: 3, Snapshot: meta, Piece: []byte("x")},
		{Kind: kindAppendReply, Term: 2, Index: 1 << 62},
		{Kind: kindSnapshotReply, Term: 2, Offset: 1 << 62},
	}
	for _, m := range seeds {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, isLeader bool) {
		var m consensusv1.Message
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		n, err := New(Config{
			Group: "g", ID: "r1", ElectionTicks: 3, HeartbeatTicks: 1, MaxInflight: 2, MaxAppendBytes: 10,
			MaxUncommittedBytes: 100, Rand: func(int) int { return 0 },
		}, DurableState{Snapshot: meta, HardState: &consensusv1.HardState{Term: 1}})
		require.NoError(t, err)
		if isLeader {
			n.campaign(RoleCandidate, false)
			require.NoError(t, n.Step(&consensusv1.Message{Kind: kindVoteReply, Group: "g", From: "r2", To: "r1", Term: n.Term()}))
			n.Advance(n.Ready())
		}
		m.Group, m.To, m.From = "g", "r1", "r2"
		commit := n.log.commit
		if n.Step(&m) != nil {
			return
		}
		n.Advance(n.Ready())
		n.Tick()
		n.Advance(n.Ready())
		require.GreaterOrEqual(t, n.log.commit, commit)
		require.GreaterOrEqual(t, n.log.last().index, n.log.commit)
	})
}
