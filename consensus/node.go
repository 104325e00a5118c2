// Package consensus is the core of a replicated log: a deterministic state
// machine after Raft (Ongaro, 2014) with pre-vote, check-quorum, read index,
// learners, one membership change at a time, leader transfer and snapshots in
// pieces. It has no clock, disk or network: messages and ticks go in; writes,
// messages and committed entries come out in Ready.
package consensus

import (
	"errors"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Role is the part that a replica plays in its term.
type Role int

// Roles of a replica.
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

// Config is what a Node needs to know of itself.
type Config struct {
	// Group names the log; ID names this replica's disk.
	Group, ID string
	// ElectionTicks without a leader start an election, after up to as many
	// random ticks more; a leader without its quorum for as many steps down.
	ElectionTicks int
	// HeartbeatTicks lie between two heartbeats of a leader.
	HeartbeatTicks int
	// MaxInflight bounds the unanswered appends to one replica.
	MaxInflight int
	// MaxAppendBytes bounds the entries of one append.
	MaxAppendBytes int
	// MaxUncommittedBytes bounds the proposals that are not yet committed.
	MaxUncommittedBytes int
	// PromoteLag is how many entries a learner may lack when it gets a vote.
	PromoteLag uint64
	// Rand returns a number in [0, n).
	Rand func(n int) int
}

// Durable is what a disk holds when a replica starts.
type Durable struct {
	HardState *consensusv1.HardState
	Snapshot  *consensusv1.SnapshotMeta
	Entries   []*consensusv1.Entry
}

// Errors of proposals.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrTransferring   = errors.New("the leader is handing over")
	ErrBusy           = errors.New("too many proposals are not yet committed")
	ErrChangePending  = errors.New("another membership change is under way")
	ErrNotCaughtUp    = errors.New("the learner has not caught up")
	ErrUnknownReplica = errors.New("no such replica in the group")
	ErrRemoveLeader   = errors.New("the leader must hand over before it is removed")
)

// ReadID names a read through the quorum.
type ReadID uint64

// read waits for the quorum to confirm the leader.
type read struct {
	id    ReadID
	index uint64
	round uint64
}

// ReadState says that a read may be served once index is applied.
type ReadState struct {
	ID    ReadID
	Index uint64
}

// Piece is a part of a snapshot to be written at an offset of its file.
type Piece struct {
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
	// elapsed counts ticks since a leader was heard of, or since the last
	// quorum check of a leader.
	elapsed, timeout, heartbeat int

	peers map[string]*progress
	// round numbers heartbeats; reads are confirmed by a round sent after them.
	round       uint64
	queuedReads []ReadID
	reads       []read
	readsDone   []ReadState
	transfer    string
	uncommitted int

	incoming *consensusv1.SnapshotMeta
	received uint64

	messages []*consensusv1.Message
	pieces   []Piece
	install  *consensusv1.SnapshotMeta
	saved    *consensusv1.HardState
}

// New returns a follower with what its disk held.
func New(cfg Config, d Durable) (*Node, error) {
	log, err := newReplicaLog(d)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, term: d.HardState.GetTerm(), vote: d.HardState.GetVote()}
	n.saved = n.hardState()
	n.becomeFollower(n.term, "")
	n.timeout = firstTimeout(cfg)
	return n, nil
}

// firstTimeout lets a replica that has just started ask for votes early: after
// a loss of all replicas nobody leads. A pre-vote disturbs no leader, and one
// that lives is heard of within two heartbeats.
func firstTimeout(cfg Config) int {
	least := 2*cfg.HeartbeatTicks + 1
	if least >= cfg.ElectionTicks {
		return cfg.ElectionTicks + cfg.Rand(cfg.ElectionTicks)
	}
	return least + cfg.Rand(cfg.ElectionTicks-least)
}

func (n *Node) hardState() *consensusv1.HardState {
	return &consensusv1.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Membership is the one in force.
func (n *Node) Membership() *consensusv1.Membership { return n.log.membership().members }

func member(m *consensusv1.Membership, id string) *consensusv1.Member {
	for _, r := range m.Members {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func (n *Node) isVoter(id string) bool {
	r := member(n.Membership(), id)
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

// majority reports whether more than half of the voters satisfy a condition.
func (n *Node) majority(of func(id string) bool) bool {
	count, voters := 0, n.voters()
	for _, id := range voters {
		if of(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// Tick advances time by one step.
func (n *Node) Tick() {
	n.elapsed++
	if n.role != RoleLeader {
		if n.elapsed >= n.timeout {
			n.campaign(RolePreCandidate, false)
		}
		return
	}
	for _, p := range n.peers {
		p.silent++
	}
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		n.transfer = ""
		if !n.checkQuorum() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	n.heartbeat++
	if n.heartbeat >= n.cfg.HeartbeatTicks {
		n.heartbeat = 0
		n.broadcastHeartbeat()
	}
}

// Compact records that a snapshot of the given length holds all entries up to
// index, and drops entries but the last keep ones before it.
func (n *Node) Compact(index, keep, bytes uint64) (*consensusv1.SnapshotMeta, error) {
	meta, err := n.SnapshotMeta(index, bytes)
	if err != nil {
		return nil, err
	}
	n.log.compact(meta, index-min(index, keep))
	for _, p := range n.peers {
		if p.mode == modeSnapshot {
			// The older snapshot is gone; begin again with the newer one.
			p.toSnapshot(meta)
		}
	}
	return meta, nil
}
