package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// withCluster runs a focused case on a group with a leader.
func withCluster(t *testing.T, voters int, run func(c *cluster, leader *replica)) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, voters)
		for c.newestLeader() == nil {
			c.round()
		}
		for range 3 {
			c.round()
		}
		run(c, c.newestLeader())
	})
}

// others drops what is under way between the leader and the rest, and lets the
// rest work until it has a leader of its own.
func (c *cluster) others(old *replica) *replica {
	for range healRounds {
		for _, id := range c.order {
			if r := c.replicas[id]; r != old && r.node != nil {
				r.node.Tick()
				c.drive(r)
			}
		}
		for len(c.network) > 0 {
			if m := c.take(0); m.To != old.id && m.From != old.id {
				c.deliver(m)
			}
		}
		if l := c.newestLeader(); l != old {
			return l
		}
	}
	return nil
}

// TestCutOffLeaderServesNoRead: a leader that was replaced without noticing
// must not answer from its past.
func TestCutOffLeaderServesNoRead(t *testing.T) {
	withCluster(t, 3, func(c *cluster, old *replica) {
		next := c.others(old)
		c.check(next != nil, "no second leader")
		c.write(next)
		c.read(old)
		c.check(old.node.Role() == RoleLeader, "the old leader should not know yet")
		for _, op := range c.ops {
			c.check(op.write || !op.done, "the old leader served a read")
		}
	})
}

// TestLongCutChangesNoTerm: a replica that returns after a long cut neither
// raises the term nor unseats the leader.
func TestLongCutChangesNoTerm(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		var cut *replica
		for _, id := range c.order {
			if id != leader.id {
				cut = c.replicas[id]
			}
		}
		term := leader.node.Term()
		for range 200 {
			cut.node.Tick()
			c.drive(cut)
		}
		c.network = nil
		for range 20 {
			c.round()
		}
		c.check(leader.node.Role() == RoleLeader && leader.node.Term() == term, "the cut changed the leader or the term")
		c.check(cut.node.Leader() == leader.id, "the replica did not come back")
	})
}

// TestVoteSurvivesARestart: a replica that voted gives no second vote in the
// term, whatever it lost but its disk.
func TestVoteSurvivesARestart(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		last := leader.node.log.last()
		ask := func(voter *replica, from string) bool {
			c.network = nil
			c.deliver(&consensusv1.Message{
				Kind: vote, Group: "g", From: from, To: voter.id, Term: 50, Index: last.index, LogTerm: last.term, Transfer: true,
			})
			for _, m := range c.network {
				if m.Kind == voteReply {
					return !m.Reject
				}
			}
			return false
		}
		var voter *replica
		for _, id := range c.order {
			if id != leader.id {
				voter = c.replicas[id]
			}
		}
		c.check(ask(voter, "a"), "first vote")
		c.crash(voter)
		c.start(voter)
		c.check(!ask(voter, "b"), "second vote in one term")
		c.check(ask(voter, "a"), "the same vote again")
	})
}

// newLeader returns the leader of term 2 of r1, r2 and r3, whose log holds an
// uncommitted entry 2 of term 1 and its own unsynced entry 3.
func newLeader(t *testing.T) *Node {
	t.Helper()
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1"}, {Id: "r2"}, {Id: "r3"}}}
	n, err := New(Config{Group: "g", ID: "r1", ElectionTicks: 10, HeartbeatTicks: 1, MaxInflight: 9, MaxAppendBytes: 99, MaxUncommittedBytes: 99, Rand: func(int) int { return 0 }},
		Durable{
			HardState: &consensusv1.HardState{Term: 1},
			Snapshot:  &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members},
			Entries:   []*consensusv1.Entry{{Index: 2, Term: 1}},
		})
	require.NoError(t, err)
	n.campaign(RoleCandidate, false)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: voteReply, Group: "g", From: "r2", To: "r1", Term: 2}))
	require.Equal(t, RoleLeader, n.Role())
	return n
}

func acknowledge(t *testing.T, n *Node, from string, index uint64) {
	t.Helper()
	require.NoError(t, n.Step(&consensusv1.Message{Kind: appendReply, Group: "g", From: from, To: "r1", Term: 2, Index: index}))
}

// TestLeaderCountsItselfOnceSynced: an unsynced entry of the leader and one
// synced copy are no majority of three.
func TestLeaderCountsItselfOnceSynced(t *testing.T) {
	n := newLeader(t)
	acknowledge(t, n, "r2", 3)
	rd := n.Ready()
	require.EqualValues(t, 1, n.log.commit)
	n.Advance(rd)
	require.EqualValues(t, 3, n.log.commit)
}

// TestEarlierTermIsNotCommittedByCounting: the entry of term 1 is on a
// majority, but another leader could still replace it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	n := newLeader(t)
	n.Advance(n.Ready())
	acknowledge(t, n, "r2", 2)
	require.EqualValues(t, 1, n.log.commit)
	acknowledge(t, n, "r2", 3)
	require.EqualValues(t, 3, n.log.commit)
}

// TestReadWaitsForAnEntryOfTheTerm: before it a leader does not know how far
// the log is committed.
func TestReadWaitsForAnEntryOfTheTerm(t *testing.T) {
	n := newLeader(t)
	require.NoError(t, n.ReadIndex(1))
	confirm := func() []ReadState {
		n.Advance(n.Ready())
		require.NoError(t, n.Step(&consensusv1.Message{Kind: heartbeatReply, Group: "g", From: "r2", To: "r1", Term: 2, Round: n.round}))
		rd := n.Ready()
		n.Advance(rd)
		return rd.Reads
	}
	require.Empty(t, confirm())
	acknowledge(t, n, "r2", 3)
	require.Equal(t, []ReadState{{ID: 1, Index: 3}}, confirm())
}

func TestVoteNeedsAnUpToDateLog(t *testing.T) {
	tests := []struct {
		name        string
		index, term uint64
		granted     bool
	}{
		{"shorter log of the same term", 4, 2, false},
		{"longer log of an earlier term", 9, 1, false},
		{"equal log", 5, 2, true},
		{"longer log", 6, 2, true},
		{"shorter log of a later term", 3, 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1"}, {Id: "r2"}}}
			n, err := New(Config{Group: "g", ID: "r1", ElectionTicks: 10, Rand: func(int) int { return 0 }},
				Durable{Snapshot: &consensusv1.SnapshotMeta{Index: 5, Term: 2, Membership: members}})
			require.NoError(t, err)
			for _, kind := range []consensusv1.MessageKind{preVote, vote} {
				require.NoError(t, n.Step(&consensusv1.Message{Kind: kind, Group: "g", From: "r2", To: "r1", Term: 4, Index: tt.index, LogTerm: tt.term}))
				rd := n.Ready()
				n.Advance(rd)
				require.Equal(t, !tt.granted, rd.Messages[0].Reject, kind)
			}
		})
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		m := proto.CloneOf(leader.node.Membership())
		m.Members = append(m.Members, &consensusv1.Member{Id: "x"})
		_, _, err := leader.node.ProposeMembership(m)
		c.check(err == ErrNotCaughtUp, "a voter without learning first: %v", err)
		m.Members[3].Learner = true
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == nil, "add learner: %v", err)
		m = proto.CloneOf(m)
		m.Members = append(m.Members, &consensusv1.Member{Id: "y", Learner: true})
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == ErrChangePending, "a second change: %v", err)
		for range 5 {
			c.drive(leader)
			c.round()
		}
		m = proto.CloneOf(leader.node.Membership())
		m.Members[3].Learner = false
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == ErrNotCaughtUp, "a vote for a learner that was never heard of: %v", err)
	})
}

// TestMessagesOfOtherGroupsAreIgnored: several groups share a process.
func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	n, err := New(Config{Group: "a", ID: "r1", ElectionTicks: 5, Rand: func(int) int { return 0 }}, Durable{})
	require.NoError(t, err)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: vote, Group: "b", To: "r1", From: "r2", Term: 9}))
	require.NoError(t, n.Step(&consensusv1.Message{Kind: vote, Group: "a", To: "old-r1", From: "r2", Term: 9}))
	require.Zero(t, n.Term())
}

// TestLearnerForgetsASilentLeader: a learner asks for no votes, but its answer
// may decide an election once its log gives it a vote that it lacks.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1", Learner: true}, {Id: "r2"}}}
	n, err := New(Config{Group: "g", ID: "r1", ElectionTicks: 3, Rand: func(int) int { return 0 }},
		Durable{Snapshot: &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members}})
	require.NoError(t, err)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: heartbeat, Group: "g", From: "r2", To: "r1", Term: 1}))
	n.Advance(n.Ready())
	for range 4 {
		n.Tick()
	}
	require.NoError(t, n.Step(&consensusv1.Message{Kind: preVote, Group: "g", From: "r3", To: "r1", Term: 2, Index: 5, LogTerm: 1}))
	rd := n.Ready()
	require.Len(t, rd.Messages, 1)
	require.False(t, rd.Messages[0].Reject)
}
