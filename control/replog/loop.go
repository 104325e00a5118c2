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

// finishedSnapshot is a snapshot file that is written and synced.
type finishedSnapshot struct {
	writer *storage.SnapshotWriter
	meta   *consensusv1.SnapshotMeta
	err    error
}

// loop owns the core and the disk.
type loop struct {
	*Group
	ctx       context.Context
	seenTerm  map[string]uint64
	nextRead  consensus.ReadID
	queued    []chan error
	pending   map[consensus.ReadID][]chan error
	urls      map[string]string
	wasLeader bool
	leader    string
	writing   bool
	ticks     int
}

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	defer l.endReads(ErrStopped)
	l.node.CampaignAlone()
	for {
		if err := l.drive(); err != nil {
			l.Fail(err)
			return
		}
		select {
		case <-ctx.Done():
			l.proposers.release(ErrStopped)
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
			l.read(r)
		case f := <-l.calls:
			f()
		case c := <-l.snapshots:
			l.snapshot(c)
		case f := <-l.written:
			if err := l.compact(f); err != nil {
				l.Fail(err)
				return
			}
		}
	}
}

func (l *loop) tick() {
	l.node.Tick()
	l.ticks++
	if l.ticks%electionTicks == 0 {
		l.tendMembership()
	}
	l.publish(l.seenTerm)
}

// step handles a message and what else has come in.
func (l *loop) step(m *consensusv1.Message) error {
	for range queueLength {
		l.noteTerm(m)
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

// noteTerm remembers the terms that other replicas have made durable.
func (l *loop) noteTerm(m *consensusv1.Message) {
	switch m.Kind {
	case consensusv1.MessageKind_MESSAGE_KIND_VOTE, consensusv1.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		consensusv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, consensusv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		if m.Group == l.settings.Group {
			l.seenTerm[m.From] = max(l.seenTerm[m.From], m.Term)
		}
	}
}

// propose appends a command and what else is waiting: all of it takes one sync.
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
			p.done <- outcome{err: &NotLeaderError{LeaderURL: l.LeaderURL()}}
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
			p.done <- outcome{err: err}
		}
		return
	}
	for i, p := range accepted {
		l.proposers.add(index+uint64(i), waiter{term: term, done: p.done})
	}
}

// read collects reads; all that wait share one round of heartbeats.
func (l *loop) read(first chan error) {
	l.queued = append(l.queued, first)
	for len(l.queued) < queueLength {
		select {
		case r := <-l.reads:
			l.queued = append(l.queued, r)
			continue
		default:
		}
		break
	}
	l.nextRead++
	if err := l.node.ReadIndex(l.nextRead); err != nil {
		for _, r := range l.queued {
			r <- &NotLeaderError{LeaderURL: l.LeaderURL()}
		}
		l.queued = nil
		return
	}
	l.pending[l.nextRead] = l.queued
	l.queued = nil
}

func (l *loop) endReads(err error) {
	for id, list := range l.pending {
		for _, r := range list {
			r <- err
		}
		delete(l.pending, id)
	}
}

// drive does what the core asks until nothing is left.
func (l *loop) drive() error {
	for {
		l.watchRole()
		rd := l.node.Ready()
		if rd.Empty() {
			return nil
		}
		l.sendAll(rd.Early)
		if err := l.write(rd); err != nil {
			return err
		}
		l.sendAll(rd.Messages)
		l.hand(rd)
		l.node.Advance(rd)
	}
}

// watchRole publishes a change of leader. A leader that lost its place fails
// what waits on it at once, so that callers go to the next one.
func (l *loop) watchRole() {
	leads := l.node.Role() == consensus.RoleLeader
	if leads == l.wasLeader && l.node.Leader() == l.leader {
		return
	}
	if l.wasLeader && !leads {
		l.anchor.Store(nil)
		l.proposers.release(ErrOutcomeUnknown)
		l.endReads(&NotLeaderError{})
	}
	l.wasLeader, l.leader = leads, l.node.Leader()
	l.logger.Info("leader", slog.String("replica", l.leader), slog.Uint64("term", l.node.Term()))
	l.publish(l.seenTerm)
	l.leadership.notify()
}

func (l *loop) sendAll(list []*consensusv1.Message) {
	if len(list) == 0 {
		return
	}
	for _, m := range l.node.Membership().Members {
		l.urls[m.Id] = m.Url
	}
	for _, m := range list {
		if m.Kind == consensusv1.MessageKind_MESSAGE_KIND_SNAPSHOT && !l.fill(m) {
			continue
		}
		url := l.urls[m.To]
		if url == "" {
			url = l.settingsURL(m.To)
		}
		if url != "" {
			l.net.send(url, m)
		}
	}
}

// settingsURL finds a replica that this one's log does not yet know.
func (l *loop) settingsURL(id string) string {
	for _, p := range l.settings.Replicas {
		if p.Name != "" && p.Name == nameOf(id) {
			return p.URL
		}
	}
	if url, ok := l.addresses.Load(id); ok {
		return url.(string)
	}
	return ""
}

// fill reads the piece of a snapshot that a message is to carry.
func (l *loop) fill(m *consensusv1.Message) bool {
	r := l.store.Snapshot()
	if r == nil || r.Meta.Index != m.Snapshot.Index {
		return false
	}
	piece, err := r.Piece(m.Offset)
	if err != nil {
		l.logger.Error("snapshot not readable", slog.Any("error", err))
		return false
	}
	m.Piece = piece
	return true
}

func (l *loop) write(rd *consensus.Ready) error {
	for _, p := range rd.Pieces {
		if err := l.store.Receive(p.Snapshot, p.Offset, p.Data); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		state, err := l.store.Install()
		if err != nil {
			return err
		}
		l.enqueue(applyWork{restore: &restoreWork{state: state, index: rd.Snapshot.Index}})
	}
	if len(rd.Entries) == 0 && rd.HardState == nil {
		return nil
	}
	started := time.Now()
	err := l.store.Append(rd.Entries, rd.HardState)
	l.wrote(time.Since(started))
	return eris.Wrap(err, "write log")
}

// hand passes committed entries and confirmed reads on.
func (l *loop) hand(rd *consensus.Ready) {
	w := applyWork{entries: rd.Committed}
	for _, r := range rd.Reads {
		w.reads = append(w.reads, l.pending[r.ID]...)
		delete(l.pending, r.ID)
	}
	if len(w.entries) == 0 && len(w.reads) == 0 {
		return
	}
	// A read's index is committed already, so it is handed over by now.
	w.term = l.node.Term()
	w.leads = l.node.Role() == consensus.RoleLeader
	l.commits.Add(uint64(len(w.entries)))
	l.enqueue(w)
}

// enqueue waits for room, so that a slow state machine slows the log down.
func (l *loop) enqueue(w applyWork) {
	select {
	case l.work <- w:
	case <-l.ctx.Done():
	}
}

// snapshot begins to write a copy of the state to a file.
func (l *loop) snapshot(c stateCopy) {
	meta, err := l.node.SnapshotMeta(c.index, uint64(len(c.state)))
	if err != nil || l.writing {
		return // the next copy will do
	}
	s := l.node.Status()
	if l.node.SendingSnapshot() && s.Last-s.SnapshotIndex < maxDelayedCompactions*l.settings.CompactEntries {
		return
	}
	w, err := l.store.NewSnapshot(meta)
	if err != nil {
		l.logger.Error("snapshot not begun", slog.Any("error", err))
		return
	}
	l.writing = true
	go func() {
		err := w.Write(c.state)
		if err == nil {
			err = w.Sync()
		}
		l.written <- finishedSnapshot{writer: w, meta: meta, err: err}
	}()
}

// compact puts a written snapshot in the place of the entries it holds.
func (l *loop) compact(f finishedSnapshot) error {
	l.writing = false
	if f.err != nil {
		f.writer.Discard()
		return eris.Wrap(f.err, "write snapshot")
	}
	if _, err := l.node.Compact(f.meta.Index, min(keepEntries, l.settings.CompactEntries/2), f.meta.Bytes); err != nil {
		f.writer.Discard() // a newer snapshot came from the leader
		return nil
	}
	l.logger.Info("snapshot", slog.Uint64("index", f.meta.Index), slog.Uint64("bytes", f.meta.Bytes))
	return l.store.Compact(f.writer, l.node.SyncedAfter(f.meta.Index))
}
