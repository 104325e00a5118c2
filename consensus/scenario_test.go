package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// withCluster runs a scenario on a group that has a leader.
func withCluster(t *testing.T, voters int, run func(c *cluster, leader *replica)) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, voters)
		for c.newestLeader() == nil {
			c.runRound()
		}
		for range 3 {
			c.runRound()
		}
		run(c, c.newestLeader())
	})
}

// electOtherLeader partitions the old leader from the other replicas and runs these
// until they elect a leader. It returns nil if they do not.
func (c *cluster) electOtherLeader(old *replica) *replica {
	for range recoveryRounds {
		for _, id := range c.ids {
			if r := c.replicas[id]; r != old && r.node != nil {
				r.node.Tick()
				c.processReady(r)
			}
		}
		for len(c.network) > 0 {
			if m := c.removeMessage(0); m.To != old.id && m.From != old.id {
				c.deliver(m)
			}
		}
		if l := c.newestLeader(); l != old {
			return l
		}
	}
	return nil
}

// TestPartitionedLeaderServesNoRead guards against stale reads from a leader that
// was replaced during a partition and still considers itself the leader.
func TestPartitionedLeaderServesNoRead(t *testing.T) {
	withCluster(t, 3, func(c *cluster, old *replica) {
		next := c.electOtherLeader(old)
		c.check(next != nil, "no second leader was elected")
		c.write(next)
		c.read(old)
		c.check(old.node.Role() == RoleLeader, "the old leader has stepped down too early")
		for _, op := range c.ops {
			c.check(op.isWrite || !op.done, "the old leader served a read")
		}
	})
}

// TestAcknowledgedWriteIsKnownWithoutItsLeader guards against a write that only its leader knows as
// committed until the next heartbeat: if the leader ends before, the others apply it after an
// election.
func TestAcknowledgedWriteIsKnownWithoutItsLeader(t *testing.T) {
	for _, voters := range []int{3, 5, 9} {
		t.Run(fmt.Sprint(voters, " voters"), func(t *testing.T) {
			withCluster(t, voters, func(c *cluster, leader *replica) {
				c.write(leader)
				write := c.ops[len(c.ops)-1]
				for len(c.network) > 0 && !write.done {
					c.deliver(c.removeMessage(0))
				}
				c.check(write.done, "the write was not acknowledged")
				index := leader.node.Status().CommitIndex
				c.crash(leader)
				for len(c.network) > 0 {
					c.deliver(c.removeMessage(0))
				}
				knowing := 0
				for _, r := range c.replicas {
					if r.node != nil && r.node.Status().AppliedIndex >= index {
						knowing++
					}
				}
				c.check(knowing >= voters/2, "%d others have applied an acknowledged write", knowing)
			})
		})
	}
}

// TestRejoiningReplicaKeepsTerm guards against a replica that campaigns during a
// long partition and, when it rejoins, raises the term or deposes the leader.
func TestRejoiningReplicaKeepsTerm(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		var partitioned *replica
		for _, id := range c.ids {
			if id != leader.id {
				partitioned = c.replicas[id]
			}
		}
		term := leader.node.Term()
		for range 200 {
			partitioned.node.Tick()
			c.processReady(partitioned)
		}
		c.network = nil
		for range 20 {
			c.runRound()
		}
		c.check(leader.node.Role() == RoleLeader && leader.node.Term() == term, "the partition changed the leader or the term")
		c.check(partitioned.node.Leader() == leader.id, "the replica did not rejoin")
	})
}

// TestVoteSurvivesRestart guards against a second vote in the same term by a
// replica that restarts with its disk intact.
func TestVoteSurvivesRestart(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		last := leader.node.log.last()
		requestVote := func(voter *replica, from string) bool {
			c.network = nil
			c.deliver(&consensusv1.Message{
				Kind: kindVote, Group: "g", From: from, To: voter.id, Term: 50, Index: last.index, LogTerm: last.term, Transfer: true,
			})
			for _, m := range c.network {
				if m.Kind == kindVoteReply {
					return !m.Reject
				}
			}
			return false
		}
		var voter *replica
		for _, id := range c.ids {
			if id != leader.id {
				voter = c.replicas[id]
			}
		}
		c.check(requestVote(voter, "a"), "the first vote was rejected")
		c.crash(voter)
		c.start(voter)
		c.check(!requestVote(voter, "b"), "a second candidate got a vote in the same term")
		c.check(requestVote(voter, "a"), "a retry by the same candidate was rejected")
	})
}

// newTermTwoLeader returns r1 as the leader of term 2 of the group r1, r2 and r3.
// Its log holds an uncommitted entry 2 of term 1 and its own unsynced entry 3.
func newTermTwoLeader(t *testing.T) *Node {
	t.Helper()
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1"}, {Id: "r2"}, {Id: "r3"}}}
	n, err := New(Config{Group: "g", ID: "r1", ElectionTicks: 10, HeartbeatTicks: 1, MaxInflight: 9, MaxAppendBytes: 99, MaxUncommittedBytes: 99, Rand: func(int) int { return 0 }},
		DurableState{
			HardState: &consensusv1.HardState{Term: 1},
			Snapshot:  &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members},
			Entries:   []*consensusv1.Entry{{Index: 2, Term: 1}},
		})
	require.NoError(t, err)
	n.campaign(RoleCandidate, false)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindVoteReply, Group: "g", From: "r2", To: "r1", Term: 2}))
	require.Equal(t, RoleLeader, n.Role())
	return n
}

func stepAppendAck(t *testing.T, n *Node, from string, index uint64) {
	t.Helper()
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindAppendReply, Group: "g", From: from, To: "r1", Term: 2, Index: index}))
}

// TestLeaderCountsItselfOnceSynced guards against a commit that relies on the
// leader's own unsynced entry: with one synced copy, that is no majority of three.
func TestLeaderCountsItselfOnceSynced(t *testing.T) {
	n := newTermTwoLeader(t)
	stepAppendAck(t, n, "r2", 3)
	rd := n.Ready()
	require.EqualValues(t, 1, n.log.commit)
	n.Advance(rd)
	require.EqualValues(t, 3, n.log.commit)
}

// TestEarlierTermIsNotCommittedByCounting guards against the commit of an entry of
// an earlier term by counting replicas. The entry of term 1 is on a majority, but
// another leader could still overwrite it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	n := newTermTwoLeader(t)
	n.Advance(n.Ready())
	stepAppendAck(t, n, "r2", 2)
	require.EqualValues(t, 1, n.log.commit)
	stepAppendAck(t, n, "r2", 3)
	require.EqualValues(t, 3, n.log.commit)
}

// TestReadWaitsForEntryOfTerm guards against reads at an old commit index: a leader
// does not know the current one until it has committed an entry of its term.
func TestReadWaitsForEntryOfTerm(t *testing.T) {
	n := newTermTwoLeader(t)
	require.NoError(t, n.RequestRead(1))
	confirm := func() []ReadState {
		n.Advance(n.Ready())
		require.NoError(t, n.Step(&consensusv1.Message{Kind: kindHeartbeatReply, Group: "g", From: "r2", To: "r1", Term: 2, Round: n.heartbeatRound}))
		rd := n.Ready()
		n.Advance(rd)
		return rd.ReadStates
	}
	require.Empty(t, confirm())
	stepAppendAck(t, n, "r2", 3)
	require.Equal(t, []ReadState{{ID: 1, Index: 3}}, confirm())
}

func TestVoteRequiresUpToDateLog(t *testing.T) {
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
				DurableState{Snapshot: &consensusv1.SnapshotMeta{Index: 5, Term: 2, Membership: members}})
			require.NoError(t, err)
			for _, kind := range []consensusv1.MessageKind{kindPreVote, kindVote} {
				require.NoError(t, n.Step(&consensusv1.Message{Kind: kind, Group: "g", From: "r2", To: "r1", Term: 4, Index: tt.index, LogTerm: tt.term}))
				rd := n.Ready()
				n.Advance(rd)
				require.Equal(t, !tt.granted, rd.Messages[0].Reject, kind)
			}
		})
	}
}

func TestMembershipChangesOneReplicaAtATime(t *testing.T) {
	withCluster(t, 3, func(c *cluster, leader *replica) {
		m := proto.CloneOf(leader.node.Membership())
		m.Members = append(m.Members, &consensusv1.Member{Id: "x"})
		_, _, err := leader.node.ProposeMembership(m)
		c.check(err == ErrLearnerLagging, "add a voter that was no learner: %v", err)
		m.Members[3].Learner = true
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == nil, "add learner: %v", err)
		m = proto.CloneOf(m)
		m.Members = append(m.Members, &consensusv1.Member{Id: "y", Learner: true})
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == ErrChangePending, "second change while one is pending: %v", err)
		for range 5 {
			c.processReady(leader)
			c.runRound()
		}
		m = proto.CloneOf(leader.node.Membership())
		m.Members[3].Learner = false
		_, _, err = leader.node.ProposeMembership(m)
		c.check(err == ErrLearnerLagging, "promote a learner that never replied: %v", err)
	})
}

// TestMessagesOfOtherGroupsAreIgnored guards against handling messages for another
// group of the same process, or for the ID that a replica had before it lost its
// disk.
func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	n, err := New(Config{Group: "a", ID: "r1", ElectionTicks: 5, Rand: func(int) int { return 0 }}, DurableState{})
	require.NoError(t, err)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindVote, Group: "b", To: "r1", From: "r2", Term: 9}))
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindVote, Group: "a", To: "old-r1", From: "r2", Term: 9}))
	require.Zero(t, n.Term())
}

// TestLearnerClearsFailedLeader guards against a learner that ignores vote requests
// because it still remembers a failed leader. The learner does not campaign, but
// the candidate may count it as a voter if the learner lacks the entry that
// promotes it; its reply may then decide the election.
func TestLearnerClearsFailedLeader(t *testing.T) {
	members := &consensusv1.Membership{Members: []*consensusv1.Member{{Id: "r1", Learner: true}, {Id: "r2"}}}
	n, err := New(Config{Group: "g", ID: "r1", ElectionTicks: 3, Rand: func(int) int { return 0 }},
		DurableState{Snapshot: &consensusv1.SnapshotMeta{Index: 1, Term: 1, Membership: members}})
	require.NoError(t, err)
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindHeartbeat, Group: "g", From: "r2", To: "r1", Term: 1}))
	n.Advance(n.Ready())
	for range 4 {
		n.Tick()
	}
	require.NoError(t, n.Step(&consensusv1.Message{Kind: kindPreVote, Group: "g", From: "r3", To: "r1", Term: 2, Index: 5, LogTerm: 1}))
	rd := n.Ready()
	require.Len(t, rd.Messages, 1)
	require.False(t, rd.Messages[0].Reject)
}
