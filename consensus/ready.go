package consensus

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Ready is the work that the caller must do. The caller handles the fields in the
// order of their declaration, syncs all writes before it sends Messages, and then
// calls Advance. An entry with an index that is already on disk replaces that
// entry and all later ones.
type Ready struct {
	// PreSyncMessages holds messages that do not depend on this replica's durable
	// state, so they may be sent before the writes.
	PreSyncMessages  []*consensusv1.Message
	SnapshotChunks   []SnapshotChunk
	InstallSnapshot  *consensusv1.SnapshotMeta
	Entries          []*consensusv1.Entry
	HardState        *consensusv1.HardState
	Messages         []*consensusv1.Message
	CommittedEntries []*consensusv1.Entry
	ReadStates       []ReadState
}

// MustSync reports whether the writes must be synced before Messages are sent.
// Losing a commit index is harmless, so a new one alone requires no sync.
func (r *Ready) MustSync() bool {
	return len(r.Entries) > 0 || r.HardState != nil || r.InstallSnapshot != nil
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.PreSyncMessages) == 0 && len(r.SnapshotChunks) == 0 && len(r.Messages) == 0 && len(r.CommittedEntries) == 0 && len(r.ReadStates) == 0
}

// Ready returns the pending work. Only getters may be called between Ready and
// Advance.
func (n *Node) Ready() *Ready {
	n.startReadRound()
	n.announceCommit()
	r := &Ready{
		SnapshotChunks:   n.chunks,
		InstallSnapshot:  n.receivedSnapshot,
		Entries:          n.log.slice(n.log.stable, n.log.last().index),
		CommittedEntries: n.log.slice(n.log.applied, n.log.commit),
		ReadStates:       n.confirmedReads,
	}
	hardStateDurable := n.term == n.persistedState.Term && n.vote == n.persistedState.Vote
	if !hardStateDurable || len(r.Entries) > 0 || r.InstallSnapshot != nil {
		if current := n.hardState(); !proto.Equal(current, n.persistedState) {
			r.HardState = current
		}
	}
	for _, m := range n.messages {
		if hardStateDurable && (m.Kind == kindAppend || m.Kind == kindHeartbeat) {
			r.PreSyncMessages = append(r.PreSyncMessages, m)
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
	if k := len(r.CommittedEntries); k > 0 {
		n.log.applied = r.CommittedEntries[k-1].Index
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
	ID, Leader        string
	Role              Role
	Term              uint64
	FirstIndex        uint64
	LastIndex         uint64
	CommitIndex       uint64
	AppliedIndex      uint64
	SnapshotIndex     uint64
	Membership        *consensusv1.Membership
	MatchIndex        map[string]uint64
	TicksSinceContact map[string]int
	TransferTarget    string
	// ChangePending reports whether a membership change would be rejected because
	// the previous change or an entry of the current term is uncommitted.
	ChangePending bool
	// CommittedInTerm reports whether the last committed entry is of the current term.
	// Before that a leader serves no reads.
	CommittedInTerm bool
	// Votes holds the responses of the voters to a candidate or pre-candidate, its own
	// vote included: true if granted. It is nil in other roles.
	Votes map[string]bool
}

// Status returns a copy of the replica's state. The per-replica fields are set on a
// leader only.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Leader: n.leader, Role: n.role, Term: n.term,
		FirstIndex: n.log.base.index + 1, LastIndex: n.log.last().index,
		CommitIndex: n.log.commit, AppliedIndex: n.log.applied, SnapshotIndex: n.log.snapshot.Index,
		Membership: n.Membership(), TransferTarget: n.transferTarget,
		CommittedInTerm: n.hasCommittedInTerm(),
	}
	s.ChangePending = n.log.latestMembership().index > n.log.commit || !s.CommittedInTerm
	if n.role == RoleCandidate || n.role == RolePreCandidate {
		s.Votes = maps.Clone(n.votes)
	}
	if n.role != RoleLeader {
		return s
	}
	s.MatchIndex, s.TicksSinceContact = make(map[string]uint64), make(map[string]int)
	for id, p := range n.peers {
		s.MatchIndex[id], s.TicksSinceContact[id] = p.match, p.ticksSinceContact
	}
	return s
}

// Leader returns the leader's ID, or an empty string if it is unknown.
func (n *Node) Leader() string { return n.leader }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// NewSnapshotMeta returns the metadata of a new snapshot of the applied entries up
// to index, with the given number of bytes of state. It returns an error if the
// entry at index is not applied or is already covered by a snapshot.
func (n *Node) NewSnapshotMeta(index, bytes uint64) (*consensusv1.SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return nil, fmt.Errorf("cannot take a snapshot at entry %d: it is not applied, or a snapshot already covers it", index)
	}
	return &consensusv1.SnapshotMeta{Index: index, Term: term, Membership: n.log.membershipAt(index), Bytes: bytes}, nil
}

// SyncedEntriesAfter returns the synced entries after index.
func (n *Node) SyncedEntriesAfter(index uint64) []*consensusv1.Entry {
	return n.log.slice(index, n.log.stable)
}

// IsSendingSnapshot reports whether a reachable replica is receiving a snapshot. A
// newer snapshot would restart that transfer.
func (n *Node) IsSendingSnapshot() bool {
	for _, p := range n.peers {
		if p.mode == modeSnapshot && p.ticksSinceContact <= n.cfg.ElectionTicks {
			return true
		}
	}
	return false
}
