package replog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
)

// AddReplica adds a replica as a learner. It is promoted to a voter once it has
// caught up. AddReplica returns an error if the replica is already in the group.
func (g *Group) AddReplica(ctx context.Context, id, url string) error {
	return g.changeMembership(ctx, func(m *consensusv1.Membership) error {
		for _, r := range m.Members {
			if r.Id == id {
				return eris.Errorf("replica %s is in the group", id)
			}
		}
		m.Members = append(m.Members, &consensusv1.Member{Id: id, Url: url, Learner: true})
		return nil
	})
}

// ErrTooFewVoters is returned if a removal would leave fewer voters than the tolerated losses
// require.
var ErrTooFewVoters = errors.New("fewer voters would remain than the tolerated losses require")

// RemoveReplica removes a replica from the group. It returns ErrTooFewVoters if the group has as
// many voters as the tolerated losses require, and the replica is one of them: a change that the
// remaining ones acknowledge would be lost with the disks of ToleratedLosses of them.
func (g *Group) RemoveReplica(ctx context.Context, id string) error {
	return g.changeMembership(ctx, func(m *consensusv1.Membership) error {
		before := countVoters(m)
		if err := removeMember(m, id); err != nil {
			return err
		}
		required := g.settings.votersForLosses()
		if g.settings.DynamicMembership && before >= required && countVoters(m) < required {
			return ErrTooFewVoters
		}
		return nil
	})
}

// votersForLosses is the number of voters of which a majority remains after the tolerated losses.
func (s *Settings) votersForLosses() int { return 2*s.ToleratedLosses + 1 }

func countVoters(m *consensusv1.Membership) int {
	voters := 0
	for _, r := range m.Members {
		if !r.Learner {
			voters++
		}
	}
	return voters
}

func removeMember(m *consensusv1.Membership, id string) error {
	for i, r := range m.Members {
		if r.Id == id {
			m.Members = append(m.Members[:i], m.Members[i+1:]...)
			return nil
		}
	}
	return consensus.ErrUnknownReplica
}

// pendingChangeTimeout bounds the wait for a membership change in progress.
const pendingChangeTimeout = 5 * time.Second

// changeMembership proposes a new membership and waits until it is committed. It
// retries while another change is in progress.
func (g *Group) changeMembership(ctx context.Context, edit func(*consensusv1.Membership) error) error {
	waitCtx, cancel := context.WithTimeout(ctx, pendingChangeTimeout)
	defer cancel()
	for {
		err := g.tryChangeMembership(ctx, edit)
		if !errors.Is(err, consensus.ErrChangePending) || waitCtx.Err() != nil {
			return err
		}
		sleepContext(waitCtx, TickInterval)
	}
}

func (g *Group) tryChangeMembership(ctx context.Context, edit func(*consensusv1.Membership) error) error {
	done := make(chan proposalResult, 1)
	err := g.runInLoop(ctx, func() error {
		m := proto.CloneOf(g.node.Membership())
		if err := edit(m); err != nil {
			return err
		}
		index, term, err := g.node.ProposeMembership(m)
		if err != nil {
			return err
		}
		g.pendingProposals.add(index, pendingProposal{term: term, done: done})
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case result := <-done:
		return result.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateMembership promotes learners that have caught up, removes the replicas
// that they replace, and removes silent replicas, one change at a time. Rejected
// changes are retried on a later call.
func (l *loop) updateMembership() {
	if l.node.Role() != consensus.RoleLeader || l.node.Status().ChangePending {
		return
	}
	m := proto.CloneOf(l.node.Membership())
	if !l.promoteLearner(m) && !l.removeReplaced(m) && !l.removeSilent(m) {
		return
	}
	if _, _, err := l.node.ProposeMembership(m); err != nil {
		l.logger.Info("failed to propose membership change", slog.Any("error", err))
	}
}

func (l *loop) promoteLearner(m *consensusv1.Membership) bool {
	for _, r := range m.Members {
		if r.Learner && l.node.IsCaughtUp(r.Id) {
			r.Learner = false
			l.logger.Info("promoting learner to voter", slog.String("replica", r.Id))
			return true
		}
	}
	return false
}

func (l *loop) removeReplaced(m *consensusv1.Membership) bool {
	for _, old := range m.Members {
		for _, r := range m.Members {
			if !r.Learner && replicaName(r.Id) == replicaName(old.Id) && r.Id > old.Id && old.Id != l.id {
				l.logger.Info("removing replaced replica", slog.String("replica", old.Id))
				return removeMember(m, old.Id) == nil
			}
		}
	}
	return false
}

// Limits on removing silent replicas with dynamic membership.
const (
	// defaultCatchUpTime exceeds a restart or a typical network partition.
	defaultCatchUpTime = 10 * time.Second
	// minVoters voters always remain, and more if more losses are to be tolerated: with
	// fewer, one more failure would cost the group its quorum.
	minVoters = 3
)

// removeSilent removes the replica that has been silent for longest, if for at
// least maxSilentTicks. If machines are replaced at new addresses, failed voters
// would otherwise accumulate until the running ones are no longer a majority. A
// replica that returns is admitted again.
func (l *loop) removeSilent(m *consensusv1.Membership) bool {
	if !l.settings.DynamicMembership {
		return false
	}
	keep := max(minVoters, l.settings.votersForLosses())
	longest := longestSilentReplica(m, l.id, l.node.Status().TicksSinceContact, l.settings.maxSilentTicks(), keep)
	if longest == "" {
		return false
	}
	l.logger.Info("removing silent replica", slog.String("replica", longest))
	return removeMember(m, longest) == nil
}

// maxSilentTicks is the silence after which a replica is removed. Invariant: it is at most
// CatchUpTime. From then on the replica no longer counts as lost, so another one may be lost,
// and each voter that is gone for good makes the majority that the others need larger.
func (s *Settings) maxSilentTicks() int {
	catchUp := s.CatchUpTime
	if catchUp == 0 {
		catchUp = defaultCatchUpTime
	}
	return int(catchUp / TickInterval)
}

// longestSilentReplica returns the ID of the replica to remove, or an empty
// string. At least keep voters remain.
func longestSilentReplica(m *consensusv1.Membership, self string, silentTicks map[string]int, maxTicks, keep int) string {
	voters, longest := countVoters(m), ""
	for _, r := range m.Members {
		if r.Id == self || silentTicks[r.Id] < maxTicks || (!r.Learner && voters <= keep) {
			continue
		}
		if longest == "" || silentTicks[r.Id] > silentTicks[longest] {
			longest = r.Id
		}
	}
	return longest
}
