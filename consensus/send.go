package consensus

import (
	"slices"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// send queues a message. A message without a term gets the current one.
func (n *Node) send(m *consensusv1.Message) {
	m.Group, m.From = n.cfg.Group, n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) broadcastAppend() {
	for _, r := range n.Membership().Members {
		if r.Id != n.cfg.ID {
			n.sendAppend(r.Id)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, r := range n.Membership().Members {
		if r.Id != n.cfg.ID {
			// Invariant: the commit index in a heartbeat never exceeds the match
			// index of the replica.
			commit := min(n.peers[r.Id].match, n.log.commit)
			n.send(&consensusv1.Message{Kind: consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: r.Id, Commit: commit, Round: n.heartbeatRound})
		}
	}
}

// sendAppend sends missing entries or snapshot chunks to a replica until the
// in-flight limit is reached.
func (n *Node) sendAppend(to string) {
	p := n.peers[to]
	for !p.paused(n.cfg.MaxInflight) {
		if p.mode == modeSnapshot {
			n.sendSnapshotChunk(to, p)
			return
		}
		prev := p.next - 1
		term, ok := n.log.term(prev)
		if !ok {
			p.enterSnapshot(n.log.snapshot)
			continue
		}
		entries := n.log.entriesAfter(prev, n.cfg.MaxAppendBytes)
		if len(entries) == 0 && p.mode == modeReplicate {
			return
		}
		n.sendEntries(to, p, entryID{prev, term}, entries)
	}
}

func (n *Node) sendEntries(to string, p *progress, prev entryID, entries []*consensusv1.Entry) {
	n.send(&consensusv1.Message{
		Kind: consensusv1.MessageKind_MESSAGE_KIND_APPEND, To: to,
		Index: prev.index, LogTerm: prev.term, Entries: entries, Commit: n.log.commit,
	})
	if p.mode == modeProbe {
		p.awaitingReply = true
		return
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

func (n *Node) sendSnapshotChunk(to string, p *progress) {
	p.awaitingReply = true
	n.send(&consensusv1.Message{
		Kind: consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: p.snapshot, Offset: p.snapshotOffset,
	})
}

// announceCommit sends the commit index to the replicas that have synced all entries, once per
// index. While further entries are uncommitted it leaves that to their appends.
//
// Invariant: a command whose result is released is known as committed at others without
// another message of this leader, as far as the messages arrive. Otherwise they would learn it
// after the next election if this leader ended.
func (n *Node) announceCommit() {
	if n.role != RoleLeader || n.log.commit != n.log.last().index {
		return
	}
	for _, r := range n.Membership().Members {
		p := n.peers[r.Id]
		if r.Id == n.cfg.ID || p.match < n.log.commit || p.announcedCommit >= n.log.commit {
			continue
		}
		p.announcedCommit = n.log.commit
		n.send(&consensusv1.Message{Kind: consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: r.Id, Commit: n.log.commit, Round: n.heartbeatRound})
	}
}

// advanceCommit commits the entries that a majority of voters has synced. The
// other replicas learn the commit index from announceCommit, or from the next append or
// heartbeat.
// Invariant: only entries of the leader's own term are committed by counting
// replicas.
func (n *Node) advanceCommit() {
	var matchIndexes []uint64
	for _, id := range n.voters() {
		matchIndexes = append(matchIndexes, n.peers[id].match)
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[(len(matchIndexes)-1)/2]
	term, ok := n.log.term(index)
	if index <= n.log.commit || !ok || term != n.term {
		return
	}
	for _, e := range n.log.slice(n.log.commit, index) {
		n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Data))
	}
	n.log.commit = index
}
