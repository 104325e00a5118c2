package replog

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/storage"
)

// finishedSnapshot is the result of writing and syncing a snapshot file.
type finishedSnapshot struct {
	writer *storage.SnapshotWriter
	meta   *consensusv1.SnapshotMeta
	err    error
}

// loop runs on the goroutine that owns the consensus node and the store.
type loop struct {
	*Group
	ctx             context.Context
	peerTerms       map[string]uint64
	lastReadID      consensus.ReadID
	queuedReads     []chan error
	pendingReads    map[consensus.ReadID][]chan error
	peerURLs        map[string]string
	wasLeader       bool
	lastLeader      string
	leaderChangedAt time.Time
	writingSnapshot bool
	ticks           int
}

// run drives the node until ctx ends or an error makes the replica fail.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	defer l.failReads(ErrStopped)
	if l.bootstrapped {
		l.node.Campaign() // no other replica has a log
	}
	l.node.CampaignIfOnlyVoter()
	for {
		if err := l.processReady(); err != nil {
			l.Fail(err)
			return
		}
		select {
		case <-ctx.Done():
			l.pendingProposals.failAll(ErrStopped)
			return
		case <-ticker.C:
			l.tick()
		case m := <-l.inbox:
			if err := l.step(m); err != nil {
				l.Fail(err)
				return
			}
		case p := <-l.proposals:
			l.propose(p)
		case r := <-l.reads:
			l.startRead(r)
		case f := <-l.loopCalls:
			f()
		case c := <-l.encodedStates:
			l.startSnapshot(c)
		case f := <-l.snapshotsWritten:
			if err := l.installSnapshot(f); err != nil {
				l.Fail(err)
				return
			}
		}
	}
}

// tick advances the node's clock and publishes the status. Every heartbeatTicks it also
// calls updateMembership.
func (l *loop) tick() {
	l.node.Tick()
	l.ticks++
	if l.ticks%heartbeatTicks == 0 {
		l.updateMembership()
	}
	l.publishStatus(l.peerTerms)
	l.observeOutage(l.Status())
	if l.lastLeader != "" {
		l.stages.reach(StageElection)
		if l.CaughtUp() {
			l.stages.reach(StageCommit)
		}
	}
}

// step handles a message and up to queueLength others that are already queued.
func (l *loop) step(m *consensusv1.Message) error {
	for range queueLength {
		l.recordPeerTerm(m)
		if err := l.node.Step(m); err != nil {
			return err
		}
		select {
		case m = <-l.inbox:
		default:
			return nil
		}
	}
	return nil
}

// recordPeerTerm records the highest term that each replica has made durable, as
// implied by its votes and replies. Identify returns it, so that a replica whose data
// directory was rolled back notices.
func (l *loop) recordPeerTerm(m *consensusv1.Message) {
	switch m.Kind {
	case consensusv1.MessageKind_MESSAGE_KIND_VOTE, consensusv1.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		consensusv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		if m.Group == l.settings.Group {
			l.peerTerms[m.From] = max(l.peerTerms[m.From], m.Term)
		}
	}
}

// propose appends a command together with the queued ones, so that a batch
// needs only one sync.
func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-l.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	var commands [][]byte
	var accepted []proposal
	for _, p := range batch {
		if p.term != l.node.Term() {
			p.done <- proposalResult{err: &NotLeaderError{LeaderURL: l.LeaderURL()}}
			continue
		}
		commands = append(commands, p.command)
		accepted = append(accepted, p)
	}
	if len(accepted) == 0 {
		return
	}
	index, term, err := l.node.Propose(commands...)
	if err != nil {
		for _, p := range accepted {
			p.done <- proposalResult{err: err}
		}
		return
	}
	for i, p := range accepted {
		l.pendingProposals.add(index+uint64(i), pendingProposal{term: term, done: p.done})
	}
}

// startRead starts a quorum check for a read; all queued reads share one round
// of heartbeats.
func (l *loop) startRead(first chan error) {
	l.queuedReads = append(l.queuedReads, first)
	for len(l.queuedReads) < queueLength {
		select {
		case r := <-l.reads:
			l.queuedReads = append(l.queuedReads, r)
			continue
		default:
		}
		break
	}
	l.lastReadID++
	if err := l.node.RequestRead(l.lastReadID); err != nil {
		for _, r := range l.queuedReads {
			r <- &NotLeaderError{LeaderURL: l.LeaderURL()}
		}
		l.queuedReads = nil
		return
	}
	l.pendingReads[l.lastReadID] = l.queuedReads
	l.queuedReads = nil
}

// failReads ends all reads that wait for a quorum with an error.
func (l *loop) failReads(err error) {
	for id, list := range l.pendingReads {
		for _, r := range list {
			r <- err
		}
		delete(l.pendingReads, id)
	}
}

// processReady performs the work that the consensus node requests, until none
// is left.
func (l *loop) processReady() error {
	for {
		l.publishLeaderChange()
		rd := l.node.Ready()
		if rd.Empty() {
			return nil
		}
		l.sendAll(rd.PreSyncMessages)
		if err := l.write(rd); err != nil {
			return err
		}
		l.sendAll(rd.Messages)
		l.dispatchCommitted(rd)
		l.node.Advance(rd)
	}
}

// publishLeaderChange publishes a change of the leader or of this replica's
// role. A replica that lost leadership fails all pending requests immediately,
// so that clients retry at the next leader.
func (l *loop) publishLeaderChange() {
	isLeader := l.node.Role() == consensus.RoleLeader
	if isLeader == l.wasLeader && l.node.Leader() == l.lastLeader {
		return
	}
	if l.wasLeader && !isLeader {
		l.termClock.Store(nil)
		l.pendingProposals.failAll(ErrOutcomeUnknown)
		l.failReads(&NotLeaderError{})
	}
	lasted := time.Since(l.leaderChangedAt)
	l.logger.Info("leader changed", slog.String("replica", l.node.Leader()), slog.Uint64("term", l.node.Term()),
		slog.String("previous", l.lastLeader), slog.Duration("after", lasted))
	l.wasLeader, l.lastLeader, l.leaderChangedAt = isLeader, l.node.Leader(), time.Now()
	l.publishStatus(l.peerTerms)
	l.leaderChanged.notify()
}

// sendAll sends messages to the replicas that they address. Messages to replicas
// without a known URL, and snapshot chunks that are not available, are dropped.
func (l *loop) sendAll(list []*consensusv1.Message) {
	if len(list) == 0 {
		return
	}
	for _, m := range l.node.Membership().Members {
		l.peerURLs[m.Id] = m.Url
	}
	for _, m := range list {
		if m.Kind == consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT && !l.fillSnapshotChunk(m) {
			continue
		}
		url := l.peerURLs[m.To]
		if url == "" {
			url = l.configuredURL(m.To)
		}
		if url != "" {
			l.net.send(url, m)
		}
	}
}

// configuredURL returns the base URL of a replica that is not in the membership
// yet, from the settings or from an identify exchange.
func (l *loop) configuredURL(id string) string {
	for _, p := range l.settings.Replicas {
		if p.Name != "" && p.Name == replicaName(id) {
			return p.URL
		}
	}
	if url, ok := l.addresses.Load(id); ok {
		return url.(string)
	}
	return ""
}

// fillSnapshotChunk adds to a snapshot message the chunk at its offset. It
// reports false if the chunk is not available.
func (l *loop) fillSnapshotChunk(m *consensusv1.Message) bool {
	r := l.store.LatestSnapshot()
	if r == nil || r.Meta.Index != m.Snapshot.Index {
		return false
	}
	chunk, err := r.ReadChunk(m.Offset)
	if err != nil {
		l.logger.Error("failed to read snapshot", slog.Any("error", err))
		return false
	}
	m.Piece = chunk
	return true
}

// write stores the received snapshot chunks, installs a completed snapshot, and appends
// the new entries and the hard state to the log with one sync.
func (l *loop) write(rd *consensus.Ready) error {
	for _, p := range rd.SnapshotChunks {
		if err := l.store.WriteSnapshotChunk(p.Snapshot, p.Offset, p.Data); err != nil {
			return err
		}
	}
	if rd.InstallSnapshot != nil {
		state, err := l.store.InstallSnapshot()
		if err != nil {
			return err
		}
		l.enqueueApply(applyTask{restore: &restoreTask{state: state, index: rd.InstallSnapshot.Index}})
	}
	if len(rd.Entries) == 0 && rd.HardState == nil {
		return nil
	}
	started := time.Now()
	err := l.store.Append(rd.Entries, rd.HardState)
	l.recordSync(time.Since(started))
	return eris.Wrap(err, "write log")
}

// dispatchCommitted passes committed entries and confirmed reads to the apply
// goroutine.
func (l *loop) dispatchCommitted(rd *consensus.Ready) {
	task := applyTask{entries: rd.CommittedEntries}
	for _, r := range rd.ReadStates {
		task.reads = append(task.reads, l.pendingReads[r.ID]...)
		delete(l.pendingReads, r.ID)
	}
	if len(task.entries) == 0 && len(task.reads) == 0 {
		return
	}
	// A read's index is committed, so its entries are in this batch or an
	// earlier one.
	task.term = l.node.Term()
	task.isLeader = l.node.Role() == consensus.RoleLeader
	l.commits.Add(uint64(len(task.entries)))
	l.enqueueApply(task)
}

// enqueueApply blocks while the apply queue is full, so that a slow state
// machine applies backpressure to the log.
func (l *loop) enqueueApply(t applyTask) {
	select {
	case l.applyTasks <- t:
	case <-l.ctx.Done():
	}
}

// startSnapshot starts to write an encoded state to a snapshot file in the
// background.
func (l *loop) startSnapshot(c encodedState) {
	meta, err := l.node.NewSnapshotMeta(c.index, uint64(len(c.state)))
	if err != nil || l.writingSnapshot {
		return // the next encoded state will be used
	}
	s := l.node.Status()
	if l.node.IsSendingSnapshot() && s.LastIndex-s.SnapshotIndex < maxDelayedCompactions*l.settings.SnapshotThreshold &&
		uint64(l.store.LogBytes()) < maxDelayedCompactions*l.settings.snapshotBytes() {
		return
	}
	w, err := l.store.NewSnapshotWriter(meta)
	if err != nil {
		l.logger.Error("failed to create snapshot file", slog.Any("error", err))
		return
	}
	l.writingSnapshot = true
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		err := w.Write(c.state)
		if err == nil {
			err = w.Sync()
		}
		l.snapshotsWritten <- finishedSnapshot{writer: w, meta: meta, err: err}
	}()
}

// installSnapshot replaces the entries that a written snapshot covers by the
// snapshot.
func (l *loop) installSnapshot(f finishedSnapshot) error {
	l.writingSnapshot = false
	if f.err != nil {
		f.writer.Abort()
		return eris.Wrap(f.err, "write snapshot")
	}
	if _, err := l.node.Compact(f.meta.Index, min(retainedEntries, l.settings.SnapshotThreshold/2), f.meta.Bytes); err != nil {
		f.writer.Abort() // a newer snapshot was received from the leader
		return nil
	}
	l.logger.Info("snapshot taken", slog.Uint64("index", f.meta.Index), slog.Uint64("bytes", f.meta.Bytes))
	return l.store.Compact(f.writer, l.node.SyncedEntriesAfter(f.meta.Index))
}
