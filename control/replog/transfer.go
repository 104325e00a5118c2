package replog

import (
	"context"
	"time"

	"github.com/galenaarch/galenaarch/consensus"
)

// transferTimeout bounds the leadership transfer when a leader stops.
const transferTimeout = time.Second

// TransferLeadership tries to transfer leadership to the reachable voter with the most
// complete log before this replica stops, for at most transferTimeout. It does nothing if
// this replica has failed or ended or is not the leader, or if there is no such voter.
func (g *Group) TransferLeadership(ctx context.Context) {
	s := g.Status()
	if s.Role != consensus.RoleLeader || g.Err() != nil {
		return
	}
	target := ""
	for _, m := range s.Membership.Members {
		if !m.Learner && m.Id != g.id && s.TicksSinceContact[m.Id] < electionTicks && (target == "" || s.MatchIndex[m.Id] > s.MatchIndex[target]) {
			target = m.Id
		}
	}
	if target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if g.runInLoop(ctx, func() error { return g.node.TransferLeadership(target) }) != nil {
		return
	}
	for ctx.Err() == nil && g.Status().Role == consensus.RoleLeader {
		sleepContext(ctx, TickInterval/10)
	}
}
