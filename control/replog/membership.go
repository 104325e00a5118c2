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

// AddReplica makes a replica a learner; it gets its vote once it has caught up.
func (g *Group) AddReplica(ctx context.Context, id, url string) error {
	return g.change(ctx, func(m *consensusv1.Membership) error {
		for _, r := range m.Members {
			if r.Id == id {
				return eris.Errorf("replica %s is in the group", id)
			}
		}
		m.Members = append(m.Members, &consensusv1.Member{Id: id, Url: url, Learner: true})
		return nil
	})
}

// RemoveReplica takes a replica out of the group.
func (g *Group) RemoveReplica(ctx context.Context, id string) error {
	return g.change(ctx, func(m *consensusv1.Membership) error { return remove(m, id) })
}

func remove(m *consensusv1.Membership, id string) error {
	for i, r := range m.Members {
		if r.Id == id {
			m.Members = append(m.Members[:i], m.Members[i+1:]...)
			return nil
		}
	}
	return consensus.ErrUnknownReplica
}

// changeWait bounds the wait for a membership change that is under way.
const changeWait = 5 * time.Second

// change proposes a membership, after one that is under way, and waits until it
// is committed.
func (g *Group) change(ctx context.Context, edit func(*consensusv1.Membership) error) error {
	waiting, cancel := context.WithTimeout(ctx, changeWait)
	defer cancel()
	for {
		err := g.changeOnce(ctx, edit)
		if !errors.Is(err, consensus.ErrChangePending) || waiting.Err() != nil {
			return err
		}
		pause(waiting, TickInterval)
	}
}

func (g *Group) changeOnce(ctx context.Context, edit func(*consensusv1.Membership) error) error {
	done := make(chan outcome, 1)
	err := g.call(ctx, func() error {
		m := proto.CloneOf(g.node.Membership())
		if err := edit(m); err != nil {
			return err
		}
		index, term, err := g.node.ProposeMembership(m)
		if err != nil {
			return err
		}
		g.proposers.add(index, waiter{term: term, done: done})
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case o := <-done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tendMembership gives learners that have caught up their vote, and then takes
// out the replicas whose disks they replace. Refused changes are tried again.
func (l *loop) tendMembership() {
	if l.node.Role() != consensus.RoleLeader || l.node.Status().ChangePending {
		return
	}
	m := proto.CloneOf(l.node.Membership())
	if !l.promote(m) && !l.dropReplaced(m) && !l.dropSilent(m) {
		return
	}
	if _, _, err := l.node.ProposeMembership(m); err != nil {
		l.logger.Info("membership not changed", slog.Any("error", err))
	}
}

func (l *loop) promote(m *consensusv1.Membership) bool {
	for _, r := range m.Members {
		if r.Learner && l.node.CaughtUp(r.Id) {
			r.Learner = false
			l.logger.Info("learner gets its vote", slog.String("replica", r.Id))
			return true
		}
	}
	return false
}

func (l *loop) dropReplaced(m *consensusv1.Membership) bool {
	for _, old := range m.Members {
		for _, r := range m.Members {
			if !r.Learner && nameOf(r.Id) == nameOf(old.Id) && r.Id > old.Id && old.Id != l.id {
				l.logger.Info("replaced replica leaves", slog.String("replica", old.Id))
				return remove(m, old.Id) == nil
			}
		}
	}
	return false
}

// Bounds on dropping silent replicas of an open group.
const (
	// silentTicks is longer than a restart or a usual cut; 10 s.
	silentTicks = int(10 * time.Second / TickInterval)
	// leastVoters remain: with fewer, one more loss would stop the group.
	leastVoters = 3
)

// dropSilent removes the replica that has been silent for longest, if that is
// long: dead voters would otherwise add up, with each machine that is replaced
// at another address, until the living are no majority of the list. A replica
// that returns is taken in again.
func (l *loop) dropSilent(m *consensusv1.Membership) bool {
	if !l.settings.Open {
		return false
	}
	silent := longestSilent(m, l.id, l.node.Status().SilentTicks)
	if silent == "" {
		return false
	}
	l.logger.Info("silent replica leaves", slog.String("replica", silent))
	return remove(m, silent) == nil
}

// longestSilent names the replica to drop, or nothing.
func longestSilent(m *consensusv1.Membership, self string, silence map[string]int) string {
	voters, silent := 0, ""
	for _, r := range m.Members {
		if !r.Learner {
			voters++
		}
	}
	for _, r := range m.Members {
		if r.Id == self || silence[r.Id] < silentTicks || (!r.Learner && voters <= leastVoters) {
			continue
		}
		if silent == "" || silence[r.Id] > silence[silent] {
			silent = r.Id
		}
	}
	return silent
}
