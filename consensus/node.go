// Package consensus implements the core of a replicated log as a deterministic
// state machine. It follows Raft (Ongaro, 2014) with pre-vote, check-quorum, read
// index, learners, single-server membership changes, leadership transfer and
// chunked snapshots. The package does no I/O and reads no clock: the caller feeds
// it messages and ticks, and takes writes, messages and committed entries from
// Ready.
package consensus

import (
	"errors"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Role is the Raft role of a replica in its current term.
type Role int

// The roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config configures a Node.
type Config struct {
	// Group is the name of the replicated log. ID identifies this replica's disk,
	// so a replica that lost its disk gets a new ID.
	Group, ID string
	// ElectionTicks is the minimum election timeout, except for the first one after
	// a start; up to as many random ticks are added. A leader steps down after
	// ElectionTicks without a quorum.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// MaxInflight limits the unacknowledged append messages to one replica.
	MaxInflight int
	// MaxAppendBytes limits the entry data of one append message. A single larger
	// entry is sent alone.
	MaxAppendBytes int
	// MaxUncommittedBytes is the size of uncommitted proposals above which new
	// ones are rejected.
	MaxUncommittedBytes int
	// MaxPromotionLag is the largest number of missing entries with which a learner may
	// be promoted to voter.
	MaxPromotionLag uint64
	// Rand returns a number in [0, n).
	Rand func(n int) int
}

// DurableState is the state that a replica loads from disk when it starts.
type DurableState struct {
	HardState *consensusv1.HardState
	Snapshot  *consensusv1.SnapshotMeta
	Entries   []*consensusv1.Entry
}

// Errors returned for proposals, reads and leadership transfers.
var (
	ErrNotLeader          = errors.New("this replica is not the leader")
	ErrTransferInProgress = errors.New("the leader is handing over")
	ErrTooManyUncommitted = errors.New("too many proposals are not yet committed")
	ErrChangePending      = errors.New("another membership change is under way")
	ErrLearnerLagging     = errors.New("the learner has not caught up")
	ErrUnknownReplica     = errors.New("no such replica in the group")
	ErrCannotRemoveLeader = errors.New("the leader must hand over before it is removed")
)

// ReadID identifies a linearizable read.
type ReadID uint64

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	id    ReadID
	index uint64
	round uint64
}

// ReadState is a confirmed read. It may be served once Index is applied.
type ReadState struct {
	ID    ReadID
	Index uint64
}

// SnapshotChunk is a chunk of a snapshot and its offset in the snapshot's state.
type SnapshotChunk struct {
	Snapshot *consensusv1.SnapshotMeta
	Offset   uint64
	Data     []byte
}

// Node is one replica of one group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	log  *replicaLog
	term uint64
	vote string
	role Role

	leader string
	votes  map[string]bool
	// electionElapsed counts the ticks since the last contact with a leader or,
	// on a leader, since the last quorum check.
	electionElapsed, electionTimeout, heartbeatElapsed int

	peers map[string]*progress
	// heartbeatRound numbers the heartbeat rounds. A read is confirmed by a round
	// that is sent after the read was requested.
	heartbeatRound   uint64
	queuedReads      []ReadID
	pendingReads     []pendingRead
	confirmedReads   []ReadState
	transferTarget   string
	uncommittedBytes int

	incomingSnapshot *consensusv1.SnapshotMeta
	receivedBytes    uint64

	messages         []*consensusv1.Message
	chunks           []SnapshotChunk
	receivedSnapshot *consensusv1.SnapshotMeta
	persistedState   *consensusv1.HardState
}

// New returns a follower that resumes from its durable state.
func New(cfg Config, durable DurableState) (*Node, error) {
	log, err := newReplicaLog(durable)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, term: durable.HardState.GetTerm(), vote: durable.HardState.GetVote()}
	n.persistedState = n.hardState()
	n.becomeFollower(n.term, "")
	n.electionTimeout = initialElectionTimeout(cfg)
	return n, nil
}

// initialElectionTimeout is shorter than the regular election timeout, because
// there is no leader after all replicas have restarted. It is longer than two
// heartbeat intervals, within which a running leader makes contact; a pre-vote
// does not disrupt such a leader.
func initialElectionTimeout(cfg Config) int {
	minTicks := 2*cfg.HeartbeatTicks + 1
	if minTicks >= cfg.ElectionTicks {
		return cfg.ElectionTicks + cfg.Rand(cfg.ElectionTicks)
	}
	return minTicks + cfg.Rand(cfg.ElectionTicks-minTicks)
}

func (n *Node) hardState() *consensusv1.HardState {
	return &consensusv1.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Membership returns the effective membership, which may be uncommitted.
func (n *Node) Membership() *consensusv1.Membership { return n.log.latestMembership().membership }

func findMember(m *consensusv1.Membership, id string) *consensusv1.Member {
	for _, r := range m.Members {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func (n *Node) isVoter(id string) bool {
	r := findMember(n.Membership(), id)
	return r != nil && !r.Learner
}

func (n *Node) voters() []string {
	var ids []string
	for _, r := range n.Membership().Members {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

// majority reports whether more than half of the voters satisfy the predicate.
func (n *Node) majority(satisfies func(id string) bool) bool {
	count, voters := 0, n.voters()
	for _, id := range voters {
		if satisfies(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role != RoleLeader {
		if n.electionElapsed >= n.electionTimeout {
			n.campaign(RolePreCandidate, false)
		}
		return
	}
	for _, p := range n.peers {
		p.ticksSinceContact++
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferTarget = ""
		if !n.checkQuorum() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// Compact records a snapshot of the applied entries up to index, with bytes bytes
// of state. It removes the entries that the snapshot covers, except the last keep
// ones. It returns an error if the entry at index is not applied or is already
// covered by a snapshot.
func (n *Node) Compact(index, keep, bytes uint64) (*consensusv1.SnapshotMeta, error) {
	meta, err := n.NewSnapshotMeta(index, bytes)
	if err != nil {
		return nil, err
	}
	n.log.compact(meta, index-min(index, keep))
	for _, p := range n.peers {
		if p.mode == modeSnapshot {
			// The older snapshot is removed; restart with the newer one.
			p.enterSnapshot(meta)
		}
	}
	return meta, nil
}
