package replog

import (
	"context"
	"time"

	"github.com/galenaarch/galenaarch/consensus"
)

// handOverTimeout bounds the transfer of the leadership when a leader stops.
const handOverTimeout = time.Second

// handOver lets the best follower lead before this replica stops.
func (g *Group) handOver() {
	s := g.Status()
	if s.Role != consensus.RoleLeader || g.Err() != nil {
		return
	}
	best := ""
	for _, m := range s.Membership.Members {
		if !m.Learner && m.Id != g.id && s.SilentTicks[m.Id] < electionTicks && (best == "" || s.Match[m.Id] > s.Match[best]) {
			best = m.Id
		}
	}
	if best == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if g.call(ctx, func() error { return g.node.TransferLeader(best) }) != nil {
		return
	}
	for ctx.Err() == nil && g.Status().Role == consensus.RoleLeader {
		pause(ctx, TickInterval/10)
	}
}
