package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Ready is the work that the caller must do. The caller handles the fields in the
// order of their declaration, syncs all writes before it sends Messages, and then
// calls Advance. An entry with an index that is already on disk replaces that
// entry and all later ones.
type Ready struct {
	// Early holds messages that do not depend on this replica's durable state, so
	// they may be sent before the writes.
	Early     []*consensusv1.Message
	Pieces    []Piece
	Snapshot  *consensusv1.SnapshotMeta
	Entries   []*consensusv1.Entry
	HardState *consensusv1.HardState
	Messages  []*consensusv1.Message
	Committed []*consensusv1.Entry
	Reads     []ReadState
}

// MustSync reports whether the writes must be synced before Messages are sent.
// Losing a commit index is harmless, so a new one alone requires no sync.
func (r *Ready) MustSync() bool {
	return len(r.Entries) > 0 || r.HardState != nil || r.Snapshot != nil
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Early) == 0 && len(r.Pieces) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the pending work. Only getters may be called between Ready and
// Advance.
func (n *Node) Ready() *Ready {
	n.startReadRound()
	r := &Ready{
		Pieces:    n.chunks,
		Snapshot:  n.receivedSnapshot,
		Entries:   n.log.slice(n.log.stable, n.log.last().index),
		Committed: n.log.slice(n.log.applied, n.log.commit),
		Reads:     n.confirmedReads,
	}
	hardStateDurable := n.term == n.persistedState.Term && n.vote == n.persistedState.Vote
	if !hardStateDurable || len(r.Entries) > 0 || r.Snapshot != nil {
		if current := n.hardState(); !proto.Equal(current, n.persistedState) {
			r.HardState = current
		}
	}
	for _, m := range n.messages {
		if hardStateDurable && (m.Kind == kindAppend || m.Kind == kindHeartbeat) {
			r.Early = append(r.Early, m)
			continue
		}
		r.Messages = append(r.Messages, m)
	}
	n.chunks, n.receivedSnapshot, n.messages, n.confirmedReads = nil, nil, nil, nil
	return r
}

// Advance records that the writes of r are synced and its committed entries
// applied.
func (n *Node) Advance(r *Ready) {
	if r.HardState != nil {
		n.persistedState = r.HardState
	}
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if n.role != RoleLeader {
		return
	}
	if own := n.peers[n.cfg.ID]; own != nil && own.acknowledge(n.log.stable) {
		n.advanceCommit()
	}
}

// Status is a copy of a replica's state.
type Status struct {
	ID, Leader     string
	Role           Role
	Term           uint64
	First          uint64
	Last           uint64
	Commit         uint64
	Applied        uint64
	SnapshotIndex  uint64
	Membership     *consensusv1.Membership
	Match          map[string]uint64
	SilentTicks    map[string]int
	TransferTarget string
	// ChangePending reports whether a membership change would be rejected because
	// the previous change or an entry of the current term is uncommitted.
	ChangePending bool
}

// Status returns a copy of the replica's state. The per-replica fields are set on a
// leader only.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Leader: n.leader, Role: n.role, Term: n.term,
		First: n.log.base.index + 1, Last: n.log.last().index,
		Commit: n.log.commit, Applied: n.log.applied, SnapshotIndex: n.log.snapshot.Index,
		Membership: n.Membership(), TransferTarget: n.transferTarget,
		ChangePending: n.log.latestMembership().index > n.log.commit || !n.hasCommittedInTerm(),
	}
	if n.role != RoleLeader {
		return s
	}
	s.Match, s.SilentTicks = make(map[string]uint64), make(map[string]int)
	for id, p := range n.peers {
		s.Match[id], s.SilentTicks[id] = p.match, p.ticksSinceContact
	}
	return s
}

// Leader returns the leader's ID, or an empty string if it is unknown.
func (n *Node) Leader() string { return n.leader }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// SnapshotMeta returns the metadata of a new snapshot of the applied entries up to
// index, with bytes bytes of state.
func (n *Node) SnapshotMeta(index, bytes uint64) (*consensusv1.SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return nil, fmt.Errorf("cannot take a snapshot at entry %d: it is not applied, or a snapshot already covers it", index)
	}
	return &consensusv1.SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index), Bytes: bytes}, nil
}

// SyncedAfter returns the synced entries after index.
func (n *Node) SyncedAfter(index uint64) []*consensusv1.Entry {
	return n.log.slice(index, n.log.stable)
}

// SendingSnapshot reports whether a reachable replica is receiving a snapshot. A
// newer snapshot would restart that transfer.
func (n *Node) SendingSnapshot() bool {
	for _, p := range n.peers {
		if p.mode == modeSnapshot && p.ticksSinceContact <= n.cfg.ElectionTicks {
			return true
		}
	}
	return false
}
