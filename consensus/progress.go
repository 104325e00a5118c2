package consensus

import "github.com/galenaarch/galenaarch/api/consensusv1"

// sendMode is the way in which a leader replicates to a replica.
type sendMode int

const (
	// modeProbe sends one append message at a time until the logs match.
	modeProbe sendMode = iota
	// modeReplicate pipelines append messages, up to Config.MaxInflight.
	modeReplicate
	// modeSnapshot sends the chunks of a snapshot one at a time.
	modeSnapshot
)

// progress is a leader's view of a replica. Invariants: match < next, and the
// replica has synced all entries up to match.
type progress struct {
	match, next uint64
	mode        sendMode
	// awaitingReply is set while a probe or a snapshot chunk is unacknowledged.
	awaitingReply bool
	// inflight lists the last index of each unacknowledged append message.
	inflight []uint64
	// announcedCommit is the commit index last announced by announceCommit.
	announcedCommit uint64
	// recentlyActive is set by any reply and cleared by the quorum check.
	recentlyActive bool
	// ackedRound is the highest acknowledged heartbeat round.
	ackedRound uint64
	// ticksSinceContact counts the ticks since the last reply.
	ticksSinceContact int
	// snapshot and snapshotOffset identify the next snapshot chunk.
	snapshot       *consensusv1.SnapshotMeta
	snapshotOffset uint64
}

func (p *progress) enterProbe(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.awaitingReply = false
	p.inflight = p.inflight[:0]
}

func (p *progress) enterReplicate() {
	p.enterProbe(p.match + 1)
	p.mode = modeReplicate
}

func (p *progress) enterSnapshot(meta *consensusv1.SnapshotMeta) {
	p.enterProbe(p.next)
	p.mode = modeSnapshot
	p.snapshot, p.snapshotOffset = meta, 0
}

// acknowledge records that the replica has synced the entries up to index. It
// reports whether match has advanced.
func (p *progress) acknowledge(index uint64) bool {
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked] <= index {
		acked++
	}
	p.inflight = p.inflight[acked:]
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// paused reports whether no further message may be sent before a reply.
func (p *progress) paused(maxInflight int) bool {
	switch p.mode {
	case modeReplicate:
		return len(p.inflight) >= maxInflight
	default:
		return p.awaitingReply
	}
}
