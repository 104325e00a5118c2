package consensus

import (
	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// Short aliases of the message kinds.
const (
	kindPreVote        = consensusv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	kindPreVoteReply   = consensusv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	kindVote           = consensusv1.MessageKind_MESSAGE_KIND_VOTE
	kindVoteReply      = consensusv1.MessageKind_MESSAGE_KIND_VOTE_REPLY
	kindAppend         = consensusv1.MessageKind_MESSAGE_KIND_APPEND
	kindAppendReply    = consensusv1.MessageKind_MESSAGE_KIND_APPEND_REPLY
	kindHeartbeat      = consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT
	kindHeartbeatReply = consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY
	kindSnapshot       = consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT
	kindSnapshotReply  = consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY
	kindTimeoutNow     = consensusv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW
)

// Step handles a message. It ignores malformed messages and those for another
// group or replica. After an error the replica must stop, because the message
// conflicts with committed entries or cannot be decoded.
func (n *Node) Step(m *consensusv1.Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == "" || !wellFormed(m) {
		return nil
	}
	if !n.checkTerm(m) {
		return nil
	}
	switch m.Kind {
	case kindPreVote, kindVote:
		n.stepVote(m)
	case kindAppend, kindHeartbeat, kindSnapshot:
		return n.stepFromLeader(m)
	case kindPreVoteReply, kindVoteReply:
		n.stepVoteReply(m)
	case kindAppendReply, kindHeartbeatReply, kindSnapshotReply:
		n.stepReply(m)
	case kindTimeoutNow:
		if m.From == n.leader {
			n.campaign(RoleCandidate, true)
		}
	}
	return nil
}

// wellFormed reports whether a message has the fields that its kind requires.
func wellFormed(m *consensusv1.Message) bool {
	if m.Kind == kindSnapshot || m.Kind == kindSnapshotReply {
		return m.Kind == kindSnapshotReply || (m.Snapshot.GetMembership() != nil && m.Snapshot.Index > 0)
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term > m.Term {
			return false
		}
	}
	return true
}

// checkTerm adopts a newer term, rejects messages of older terms, and reports
// whether the message must be handled further.
func (n *Node) checkTerm(m *consensusv1.Message) bool {
	switch {
	case m.Term < n.term:
		n.rejectStale(m)
		return false
	case m.Term == n.term:
		return true
	}
	switch m.Kind {
	case kindPreVote:
		return !n.withinLeaderLease(m)
	case kindVote:
		if n.withinLeaderLease(m) {
			return false
		}
	case kindPreVoteReply:
		if !m.Reject {
			return true
		}
	case kindAppend, kindHeartbeat, kindSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, "")
	return true
}

// withinLeaderLease reports whether a vote request must be ignored because this
// replica had contact with a leader within the election timeout. Elections that
// the leader itself requested are exempt.
func (n *Node) withinLeaderLease(m *consensusv1.Message) bool {
	return !m.Transfer && n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks
}

// rejectStale replies with the current term to a message of an older one.
func (n *Node) rejectStale(m *consensusv1.Message) {
	switch m.Kind {
	case kindAppend, kindHeartbeat, kindSnapshot:
		n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Reject: true, Index: m.Index})
	case kindPreVote:
		n.send(&consensusv1.Message{Kind: kindPreVoteReply, To: m.From, Reject: true})
	}
}

// stepVote grants a vote to a candidate whose log is at least as up to date as
// this one, so that an elected leader holds all committed entries. It does not
// check whether this replica is a voter in its own membership: the entry that made
// it a voter may not have arrived yet, and the candidate requests and counts votes
// only from the voters of its own log. This is safe because a replica that lost
// its disk has a new ID, so no earlier vote is forgotten.
func (n *Node) stepVote(m *consensusv1.Message) {
	last := n.log.last()
	upToDate := m.LogTerm > last.term || (m.LogTerm == last.term && m.Index >= last.index)
	if m.Kind == kindPreVote {
		if n.withinLeaderLease(m) {
			return
		}
		granted := m.Term > n.term && upToDate
		reply := &consensusv1.Message{Kind: kindPreVoteReply, To: m.From, Reject: !granted}
		if granted {
			reply.Term = m.Term
		}
		n.send(reply)
		return
	}
	// Invariant: one vote per term, durable before the reply is sent.
	canVote := n.vote == m.From || (n.vote == "" && n.leader == "")
	granted := canVote && upToDate
	if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(&consensusv1.Message{Kind: kindVoteReply, To: m.From, Reject: !granted})
}

func (n *Node) stepVoteReply(m *consensusv1.Message) {
	isPreVoteReply := n.role == RolePreCandidate && m.Kind == kindPreVoteReply && (m.Reject || m.Term == n.term+1)
	isVoteReply := n.role == RoleCandidate && m.Kind == kindVoteReply
	if !isPreVoteReply && !isVoteReply {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// stepFromLeader handles the messages that only the leader of the term sends.
func (n *Node) stepFromLeader(m *consensusv1.Message) error {
	if n.role != RoleFollower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.electionElapsed = m.From, 0
	switch m.Kind {
	case kindAppend:
		return n.stepAppend(m)
	case kindHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.last().index))
		n.send(&consensusv1.Message{Kind: kindHeartbeatReply, To: m.From, Round: m.Round})
		return nil
	}
	return n.stepSnapshot(m)
}

func (n *Node) stepAppend(m *consensusv1.Message) error {
	if m.Index < n.log.commit {
		n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	term, ok := n.log.term(m.Index)
	if !ok || term != m.LogTerm {
		n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Reject: true, Index: m.Index, Offset: n.matchHint(m.Index)})
		return nil
	}
	if err := n.log.merge(m.Entries); err != nil {
		return err
	}
	matched := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, matched))
	n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Index: matched})
	return nil
}

// matchHint returns the highest index, at or before the given one, at which this
// log may match the leader's. It skips all entries of the conflicting term.
func (n *Node) matchHint(index uint64) uint64 {
	last := n.log.last().index
	if index > last {
		return last
	}
	conflictTerm, _ := n.log.term(index)
	hint := index
	for hint > n.log.commit {
		term, ok := n.log.term(hint)
		if !ok || term != conflictTerm {
			break
		}
		hint--
	}
	return hint
}

// stepSnapshot collects snapshot chunks in order and installs the complete
// snapshot. It skips a snapshot whose entries this log already holds.
func (n *Node) stepSnapshot(m *consensusv1.Message) error {
	meta := m.Snapshot
	if term, ok := n.log.term(meta.Index); meta.Index <= n.log.commit || (ok && term == meta.Term) {
		n.log.commit = max(n.log.commit, meta.Index)
		n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	if n.incomingSnapshot == nil || n.incomingSnapshot.Index != meta.Index || n.incomingSnapshot.Term != meta.Term || n.incomingSnapshot.Bytes != meta.Bytes {
		n.incomingSnapshot, n.receivedBytes = meta, 0
	}
	if m.Offset == n.receivedBytes {
		n.chunks = append(n.chunks, SnapshotChunk{Snapshot: meta, Offset: m.Offset, Data: m.Piece})
		n.receivedBytes += uint64(len(m.Piece))
	}
	if n.receivedBytes < meta.Bytes {
		n.send(&consensusv1.Message{Kind: kindSnapshotReply, To: m.From, Index: meta.Index, Offset: n.receivedBytes})
		return nil
	}
	n.incomingSnapshot = nil
	n.receivedSnapshot = meta
	n.log.reset(meta)
	n.send(&consensusv1.Message{Kind: kindAppendReply, To: m.From, Index: meta.Index})
	return nil
}

// stepReply handles replies to messages that only a leader sends.
func (n *Node) stepReply(m *consensusv1.Message) {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	p.recentlyActive, p.ticksSinceContact = true, 0
	switch m.Kind {
	case kindAppendReply:
		n.stepAppendReply(m, p)
	case kindHeartbeatReply:
		n.stepHeartbeatReply(m, p)
	case kindSnapshotReply:
		n.stepSnapshotReply(m, p)
	}
}

func (n *Node) stepAppendReply(m *consensusv1.Message, p *progress) {
	if m.Reject {
		n.stepAppendReject(m, p)
		return
	}
	if m.Index > n.log.last().index {
		return // this leader never sent the entry
	}
	if p.acknowledge(m.Index) {
		n.advanceCommit()
	}
	// Once the replica holds the snapshot, replication continues with entries.
	if p.mode == modeProbe || (p.mode == modeSnapshot && p.match >= p.snapshot.Index) {
		p.enterReplicate()
	}
	n.sendAppend(m.From)
	if n.transferTarget == m.From {
		n.continueTransfer()
	}
}

func (n *Node) stepAppendReject(m *consensusv1.Message, p *progress) {
	switch p.mode {
	case modeReplicate:
		if m.Index <= p.match {
			return // stale
		}
	case modeProbe:
		if m.Index != p.next-1 {
			return // stale
		}
	case modeSnapshot:
		return
	}
	p.enterProbe(min(m.Index, m.Offset+1))
	n.sendAppend(m.From)
}

// stepHeartbeatReply confirms reads and recovers from lost messages: it resends
// probes and snapshot chunks, frees an in-flight slot, and probes for appends that
// were lost.
func (n *Node) stepHeartbeatReply(m *consensusv1.Message, p *progress) {
	p.ackedRound = max(p.ackedRound, m.Round)
	n.confirmReads()
	p.awaitingReply = false
	if p.match == n.log.last().index {
		return
	}
	if p.mode != modeReplicate {
		n.sendAppend(m.From)
		return
	}
	if p.paused(n.cfg.MaxInflight) {
		p.inflight = p.inflight[1:]
	}
	if p.next <= n.log.last().index {
		n.sendAppend(m.From)
		return
	}
	// All entries are sent. An empty append shows whether they have arrived.
	prev := p.next - 1
	if term, ok := n.log.term(prev); ok {
		n.send(&consensusv1.Message{Kind: kindAppend, To: m.From, Index: prev, LogTerm: term, Commit: n.log.commit})
	}
}

func (n *Node) stepSnapshotReply(m *consensusv1.Message, p *progress) {
	if p.mode != modeSnapshot || m.Index != p.snapshot.Index || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.Offset
	p.awaitingReply = false
	n.sendAppend(m.From)
}
