package replog

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
)

// Stage is a step between the start of a replica and its first read.
type Stage string

// The stages, in their order.
const (
	// StageOpen ends when the data directory has been read.
	StageOpen Stage = "open"
	// StageJoin ends when the replica may take part in the group.
	StageJoin Stage = "join"
	// StageElection ends when a leader is known.
	StageElection Stage = "election"
	// StageCommit ends when the state machine includes what was durable at the start.
	StageCommit Stage = "commit"
	// StageRead ends when a majority has confirmed a read. Only leaders reach it.
	StageRead Stage = "read"
)

// Stages lists all stages.
var Stages = []Stage{StageOpen, StageJoin, StageElection, StageCommit, StageRead}

// startStages records when a replica reached each stage.
type startStages struct {
	logger    *slog.Logger
	startedAt time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	reached map[Stage]time.Duration
	last    time.Duration
	// readReached avoids the lock for later reads.
	readReached atomic.Bool
}

func newStartStages(logger *slog.Logger) *startStages {
	return &startStages{logger: logger, startedAt: time.Now(), reached: make(map[Stage]time.Duration)}
}

// reach records that a stage has ended, and logs it the first time.
func (s *startStages) reach(stage Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.reached[stage]; ok {
		return
	}
	elapsed := time.Since(s.startedAt)
	s.reached[stage] = elapsed
	s.logger.Info("replica start stage", slog.String("stage", string(stage)), slog.Duration("took", elapsed-s.last), slog.Duration("since_start", elapsed))
	s.last = elapsed
}

// reachRead is reach for StageRead.
func (s *startStages) reachRead() {
	if !s.readReached.Swap(true) {
		s.reach(StageRead)
	}
}

// StageReached returns the time between the start of this replica and the end of a stage; 0
// before that.
func (g *Group) StageReached(stage Stage) time.Duration {
	g.stages.mu.Lock()
	defer g.stages.mu.Unlock()
	return g.stages.reached[stage]
}

// firstOutageLog is how long no leader serves before that is logged; each further line
// follows after twice the time.
const firstOutageLog = time.Second

// outage tracks for how long no leader serves, as this replica sees it.
type outage struct {
	// sinceNanos is when the outage began, in nanoseconds of Unix time; 0 if there is none.
	sinceNanos atomic.Int64
	// nextLog is the duration of the outage at which it is logged next.
	nextLog time.Duration
}

// foundingDelay logs what the founding replica waits for, at nextLog after since and then each
// time after twice the time.
type foundingDelay struct {
	since   time.Time
	nextLog time.Duration
}

// observe logs the seeds that have not responded, and how many replicas have.
func (d *foundingDelay) observe(g *Group, responses map[string]*consensusv1.IdentifyResponse) {
	waited := time.Since(d.since)
	if waited < d.nextLog {
		return
	}
	for d.nextLog <= waited {
		d.nextLog *= 2
	}
	var silent []string
	for _, p := range g.settings.Replicas {
		if !g.isSelf(p) && responses[p.key()] == nil {
			silent = append(silent, p.key())
		}
	}
	g.logger.Warn("group is not founded yet", slog.Duration("after", waited), slog.String("silent_seeds", strings.Join(silent, " ")),
		slog.Int("replicas", len(g.founders(responses))), slog.Int("required", g.requiredVoters()))
}

// LeaderlessFor returns for how long this replica has known no leader, or has led without
// having committed an entry of its term.
func (g *Group) LeaderlessFor() time.Duration {
	since := g.outage.sinceNanos.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// observeOutage records whether a leader serves, and logs an outage with the voters that
// respond and those that do not. It is called from the loop, with the current status.
func (g *Group) observeOutage(s consensus.Status) {
	if s.Leader != "" && (s.Role != consensus.RoleLeader || s.CommittedInTerm) {
		if lasted := g.LeaderlessFor(); lasted >= firstOutageLog {
			g.logger.Info("leader serves again", slog.String("replica", s.Leader), slog.Uint64("term", s.Term), slog.Duration("after", lasted))
		}
		g.outage.sinceNanos.Store(0)
		return
	}
	if len(s.Membership.GetMembers()) == 0 {
		return // this replica has not joined a group yet
	}
	if g.outage.sinceNanos.Load() == 0 {
		g.outage.sinceNanos.Store(time.Now().UnixNano())
		g.outage.nextLog = firstOutageLog
	}
	lasted := g.LeaderlessFor()
	if lasted < g.outage.nextLog {
		return
	}
	g.outage.nextLog *= 2
	voters := sortVoters(s)
	g.logger.Warn("no leader serves", slog.Duration("for", lasted), slog.String("role", s.Role.String()), slog.Uint64("term", s.Term),
		slog.Uint64("last_index", s.LastIndex), slog.Uint64("commit_index", s.CommitIndex), slog.Int("voters", voters.total),
		slog.String("responding", strings.Join(voters.responding, " ")), slog.String("refusing", strings.Join(voters.refusing, " ")),
		slog.String("silent", strings.Join(voters.silent, " ")))
}

// voterContacts lists the voters by how they respond to this replica; a follower, which asks
// no one, lists all others as silent.
type voterContacts struct {
	total                        int
	responding, refusing, silent []string
}

// sortVoters sorts the voters by their responses: to a leader within the last election
// timeout, or to a candidate's requests for votes.
func sortVoters(s consensus.Status) voterContacts {
	var c voterContacts
	for _, m := range s.Membership.GetMembers() {
		if m.Learner {
			continue
		}
		c.total++
		granted, voted := s.Votes[m.Id]
		ticks, contacted := s.TicksSinceContact[m.Id]
		switch {
		case m.Id == s.ID, granted, contacted && ticks <= electionTicks:
			c.responding = append(c.responding, m.Id)
		case voted:
			c.refusing = append(c.refusing, m.Id)
		default:
			c.silent = append(c.silent, m.Id)
		}
	}
	slices.Sort(c.responding)
	slices.Sort(c.refusing)
	slices.Sort(c.silent)
	return c
}

// Voters returns the number of voters, and how many of them respond to this replica, itself
// included. Only a leader and a candidate know the latter.
func (g *Group) Voters() (total, responding int) {
	c := sortVoters(g.Status())
	return c.total, len(c.responding) + len(c.refusing)
}

// RefusalReason says why a request that needs the leader was not served.
type RefusalReason string

// The reasons.
const (
	// RefusedNoLeader: this replica does not lead and knows no leader.
	RefusedNoLeader RefusalReason = "no_leader"
	// RefusedNotLeader: another replica leads.
	RefusedNotLeader RefusalReason = "not_leader"
	// RefusedUncommitted: this leader has not committed an entry of its term in time.
	RefusedUncommitted RefusalReason = "uncommitted"
	// RefusedUnconfirmed: no majority has confirmed this leader in time.
	RefusedUnconfirmed RefusalReason = "unconfirmed"
	// RefusedFailed: this replica has failed or stopped.
	RefusedFailed RefusalReason = "failed"
)

// RefusalReasons lists all reasons.
var RefusalReasons = []RefusalReason{RefusedNoLeader, RefusedNotLeader, RefusedUncommitted, RefusedUnconfirmed, RefusedFailed}

// refusals counts reads that were not served, by reason.
type refusals struct{ counts [5]atomic.Uint64 }

func (r *refusals) add(reason RefusalReason) { r.counts[slices.Index(RefusalReasons, reason)].Add(1) }

// RefusedReads returns how many reads this replica did not serve for a reason.
func (g *Group) RefusedReads(reason RefusalReason) uint64 {
	return g.refusedReads.counts[slices.Index(RefusalReasons, reason)].Load()
}
