package consensus

import (
	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// becomeFollower adopts the term if it is newer and discards all state of a
// leader or candidate.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = RoleFollower, leader
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
	n.peers, n.votes = nil, nil
	n.pendingReads, n.queuedReads = nil, nil
	n.transferTarget = ""
	n.uncommittedBytes = 0
}

// campaign requests votes from all voters. A pre-vote does not change the term,
// so a replica that rejoins after a partition does not depose a working leader.
func (n *Node) campaign(role Role, transfer bool) {
	if !n.isVoter(n.cfg.ID) {
		// A non-voter does not campaign, but it clears the leader that it has not
		// heard from, so that it no longer ignores vote requests.
		n.electionElapsed, n.leader = 0, ""
		return
	}
	kind, term := consensusv1.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1
	if role == RoleCandidate {
		kind = consensusv1.MessageKind_MESSAGE_KIND_VOTE
		n.term, n.vote = term, n.cfg.ID
	}
	n.role, n.leader = role, ""
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
	n.votes = map[string]bool{n.cfg.ID: true}
	last := n.log.last()
	for _, id := range n.voters() {
		if id != n.cfg.ID {
			n.send(&consensusv1.Message{Kind: kind, To: id, Term: term, Index: last.index, LogTerm: last.term, Transfer: transfer})
		}
	}
	n.countVotes()
}

// Campaign starts an election at once if this replica is a voter and does not lead.
func (n *Node) Campaign() {
	if n.role == RoleFollower {
		n.campaign(RolePreCandidate, false)
	}
}

// CampaignIfOnlyVoter starts an election at once if this replica is the only voter.
func (n *Node) CampaignIfOnlyVoter() {
	if voters := n.voters(); len(voters) == 1 && voters[0] == n.cfg.ID {
		n.Campaign()
	}
}

// countVotes moves to the next election stage on a majority of grants, and back
// to follower on a majority of rejections.
func (n *Node) countVotes() {
	switch {
	case n.majority(func(id string) bool { return n.votes[id] }):
		if n.role == RolePreCandidate {
			n.campaign(RoleCandidate, false)
			return
		}
		n.becomeLeader()
	case n.majority(func(id string) bool { granted, ok := n.votes[id]; return ok && !granted }):
		n.becomeFollower(n.term, "")
	}
}

// becomeLeader makes this replica the leader, appends an empty entry of its term and
// sends it to the others.
func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.cfg.ID
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.peers = make(map[string]*progress)
	n.updatePeers()
	for _, p := range n.peers {
		p.recentlyActive = true
	}
	// Invariant: entries of earlier terms are committed only together with an
	// entry of the leader's own term, so a new leader appends an empty entry.
	n.appendEntry(consensusv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	n.broadcastAppend()
}

// updatePeers adds and removes progress records to match the membership.
func (n *Node) updatePeers() {
	m := n.Membership()
	for id := range n.peers {
		if findMember(m, id) == nil {
			delete(n.peers, id)
		}
	}
	for _, r := range m.Members {
		if n.peers[r.Id] == nil {
			n.peers[r.Id] = &progress{next: n.log.last().index + 1}
		}
	}
	if self := n.peers[n.cfg.ID]; self != nil {
		self.match = max(self.match, n.log.stable)
	}
}

// TransferLeadership transfers leadership to a voter once that voter's log is up to
// date. The transfer is abandoned after ElectionTicks. TransferLeadership returns
// ErrNotLeader, or ErrUnknownReplica if to is this replica or not a voter.
func (n *Node) TransferLeadership(to string) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if to == n.cfg.ID || !n.isVoter(to) {
		return ErrUnknownReplica
	}
	n.transferTarget, n.electionElapsed = to, 0
	n.continueTransfer()
	return nil
}

// continueTransfer tells an up-to-date transfer target to campaign at once;
// otherwise it sends the target the entries that it lacks.
func (n *Node) continueTransfer() {
	p := n.peers[n.transferTarget]
	if p == nil {
		n.transferTarget = ""
		return
	}
	if p.match == n.log.last().index {
		n.send(&consensusv1.Message{Kind: consensusv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: n.transferTarget})
		return
	}
	n.sendAppend(n.transferTarget)
}

// checkQuorum reports whether a majority of voters was active since the last
// check, and starts a new check period.
func (n *Node) checkQuorum() bool {
	hasQuorum := n.majority(func(id string) bool { return id == n.cfg.ID || n.peers[id].recentlyActive })
	for _, p := range n.peers {
		p.recentlyActive = false
	}
	return hasQuorum
}
