package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/control/replog"
)

// peerServer serves the consensus API to other replicas and to operators. It
// dispatches each request to the group that it names.
type peerServer struct {
	// logs returns the currently open logs. It is a function because a failed
	// log is replaced.
	logs func() []*ReplicatedLog
}

func newPeerServer(logs func() []*ReplicatedLog) *peerServer { return &peerServer{logs: logs} }

// Interface guard.
var _ consensusv1.Consensus = (*peerServer)(nil)

func (s *peerServer) group(name string) (*replog.Group, error) {
	for _, l := range s.logs() {
		if l.group.Name() == name {
			return l.group, nil
		}
	}
	return nil, twirp.NotFoundError("no group " + name)
}

// Send delivers messages to the groups that they name. Messages of unknown groups are
// dropped. It implements consensusv1.Consensus.
func (s *peerServer) Send(_ context.Context, r *consensusv1.SendRequest) (*consensusv1.SendResponse, error) {
	for _, m := range r.Messages {
		if g, err := s.group(m.Group); err == nil {
			g.Deliver(m) // messages of unknown groups are dropped
		}
	}
	return &consensusv1.SendResponse{}, nil
}

// Identify returns this replica's identity, the membership, and the term and index that
// it has seen of the calling replica. It also records the calling replica's URL, and on
// the leader adds that replica as a learner if it may join. It implements
// consensusv1.Consensus.
func (s *peerServer) Identify(ctx context.Context, r *consensusv1.IdentifyRequest) (*consensusv1.IdentifyResponse, error) {
	g, err := s.group(r.Group)
	if err != nil {
		return nil, err
	}
	return g.Identify(ctx, r), nil
}

// AddReplica adds a replica to the group. If this replica is not the leader, it returns
// an error. It implements consensusv1.Consensus.
func (s *peerServer) AddReplica(ctx context.Context, r *consensusv1.AddReplicaRequest) (*consensusv1.AddReplicaResponse, error) {
	g, err := s.leaderGroup(r.Group)
	if err != nil {
		return nil, err
	}
	if err := checkName("id", r.Id); err != nil {
		return nil, err
	}
	if err := checkName("url", r.Url); err != nil {
		return nil, err
	}
	return &consensusv1.AddReplicaResponse{}, membershipError(g.AddReplica(ctx, r.Id, r.Url))
}

// RemoveReplica removes a replica from the group. If this replica is not the leader, it
// returns an error. It implements consensusv1.Consensus.
func (s *peerServer) RemoveReplica(ctx context.Context, r *consensusv1.RemoveReplicaRequest) (*consensusv1.RemoveReplicaResponse, error) {
	g, err := s.leaderGroup(r.Group)
	if err != nil {
		return nil, err
	}
	return &consensusv1.RemoveReplicaResponse{}, membershipError(g.RemoveReplica(ctx, r.Id))
}

// leaderGroup returns the named group if this replica is its leader, and otherwise an
// error that names the leader, if known.
func (s *peerServer) leaderGroup(name string) (*replog.Group, error) {
	g, err := s.group(name)
	if err != nil {
		return nil, err
	}
	if g.Status().Role != consensus.RoleLeader {
		return nil, unavailable(&replog.NotLeaderError{LeaderURL: g.LeaderURL()})
	}
	return g, nil
}

func membershipError(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}

// GetReplicas lists the replicas of a group as this replica sees them. It implements
// consensusv1.Consensus.
func (s *peerServer) GetReplicas(_ context.Context, r *consensusv1.GetReplicasRequest) (*consensusv1.GetReplicasResponse, error) {
	g, err := s.group(r.Group)
	if err != nil {
		return nil, err
	}
	st := g.Status()
	response := &consensusv1.GetReplicasResponse{
		Leader: st.Leader, Term: st.Term, CommitIndex: st.CommitIndex, AppliedIndex: st.AppliedIndex, FirstIndex: st.FirstIndex,
	}
	for _, m := range st.Membership.GetMembers() {
		response.Replicas = append(response.Replicas, &consensusv1.ReplicaStatus{
			Member: m, MatchIndex: st.MatchIndex[m.Id],
			ContactAgeMs: uint32((time.Duration(st.TicksSinceContact[m.Id]) * replog.TickInterval).Milliseconds()),
		})
	}
	return response, nil
}
