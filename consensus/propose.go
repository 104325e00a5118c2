package consensus

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// appendEntry appends a new entry of the current term to the leader's log and
// returns its index.
func (n *Node) appendEntry(kind consensusv1.EntryKind, data []byte) uint64 {
	entry := &consensusv1.Entry{Term: n.term, Index: n.log.last().index + 1, Kind: kind, Data: data}
	if err := n.log.append(entry); err != nil {
		panic(err) // unreachable: the leader encoded the entry itself
	}
	n.uncommittedBytes += len(data)
	return entry.Index
}

// Propose appends commands and returns the index and term of the first one. If it
// returns an error (ErrNotLeader, ErrTransferInProgress or ErrTooManyUncommitted),
// it has appended none.
func (n *Node) Propose(commands ...[]byte) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferTarget != "" {
		return 0, 0, ErrTransferInProgress
	}
	if n.uncommittedBytes > n.cfg.MaxUncommittedBytes {
		return 0, 0, ErrTooManyUncommitted
	}
	first := n.log.last().index + 1
	for _, c := range commands {
		n.appendEntry(consensusv1.EntryKind_ENTRY_KIND_COMMAND, c)
	}
	n.broadcastAppend()
	return first, n.term, nil
}

// ProposeMembership appends a membership that differs from the effective one in
// exactly one replica, and returns the index and term of its entry. If it returns
// an error, the membership is unchanged.
func (n *Node) ProposeMembership(m *consensusv1.Membership) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if n.transferTarget != "" {
		return 0, 0, ErrTransferInProgress
	}
	if err := n.checkMembershipChange(m); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return 0, 0, fmt.Errorf("encode membership: %w", err)
	}
	index = n.appendEntry(consensusv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	n.updatePeers()
	n.broadcastAppend()
	return index, n.term, nil
}

// checkMembershipChange ensures that the majorities of the old and the new
// membership overlap. A change may affect one replica only, and it requires that
// the previous change and an entry of the current term are committed.
func (n *Node) checkMembershipChange(m *consensusv1.Membership) error {
	if n.log.latestMembership().index > n.log.commit || !n.hasCommittedInTerm() {
		return ErrChangePending
	}
	changed := 0
	for _, r := range m.Members {
		previous := findMember(n.Membership(), r.Id)
		if previous == nil || previous.Learner != r.Learner {
			changed++
		}
		if previous == nil && !r.Learner {
			return ErrLearnerLagging
		}
		if previous.GetLearner() && !r.Learner && !n.IsCaughtUp(r.Id) {
			return ErrLearnerLagging
		}
		if previous != nil && !previous.Learner && r.Learner {
			return errors.New("a voter does not become a learner")
		}
	}
	for _, r := range n.Membership().Members {
		if findMember(m, r.Id) == nil {
			changed++
		}
	}
	if findMember(m, n.cfg.ID) == nil {
		return ErrCannotRemoveLeader
	}
	if changed != 1 {
		return fmt.Errorf("membership changes %d replicas, expected 1", changed)
	}
	return nil
}

// IsCaughtUp reports whether a replica is reachable and its lag is small enough for
// a promotion to voter.
func (n *Node) IsCaughtUp(id string) bool {
	p := n.peers[id]
	return p != nil && p.mode == modeReplicate && p.ticksSinceContact <= n.cfg.ElectionTicks && p.match+n.cfg.MaxPromotionLag >= n.log.last().index
}

// hasCommittedInTerm reports whether the last committed entry is of the current
// term.
func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}

// RequestRead requests a linearizable read. Once a quorum has confirmed the leader,
// the read appears in Ready. RequestRead returns ErrNotLeader on other replicas.
func (n *Node) RequestRead(id ReadID) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.queuedReads = append(n.queuedReads, id)
	return nil
}

// startReadRound sends one heartbeat round for all queued reads. A leader that has
// not committed an entry of its term does not know the commit index yet, so it
// keeps the reads queued.
func (n *Node) startReadRound() {
	if n.role != RoleLeader || len(n.queuedReads) == 0 || !n.hasCommittedInTerm() {
		return
	}
	n.heartbeatRound++
	for _, id := range n.queuedReads {
		n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: n.log.commit, round: n.heartbeatRound})
	}
	n.queuedReads = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

// confirmReads completes the reads whose heartbeat round a majority has
// acknowledged.
func (n *Node) confirmReads() {
	confirmed := 0
	for _, r := range n.pendingReads {
		if !n.majority(func(id string) bool { return id == n.cfg.ID || n.peers[id].ackedRound >= r.round }) {
			break
		}
		n.confirmedReads = append(n.confirmedReads, ReadState{ID: r.id, Index: r.index})
		confirmed++
	}
	n.pendingReads = n.pendingReads[confirmed:]
}
