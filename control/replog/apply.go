package replog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// applyTask is a unit of work for the goroutine that owns the state machine.
// Tasks are executed in order.
type applyTask struct {
	restore *restoreTask
	entries []*consensusv1.Entry
	// reads are released once the entries are applied.
	reads []chan error
	// isLeader is true if this replica led in term when the task was
	// enqueued.
	term     uint64
	isLeader bool
}

type restoreTask struct {
	state []byte
	index uint64
}

// encodedState is the encoded state after the entry at index.
type encodedState struct {
	index uint64
	state []byte
}

// applier applies entries and counts those applied since the last snapshot.
type applier struct {
	*Group
	entries, bytes uint64
}

func (g *Group) apply(ctx context.Context) {
	defer g.wg.Done()
	a := &applier{Group: g}
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-g.applyTasks:
			if err := a.execute(task); err != nil {
				g.Fail(err)
				return
			}
		}
	}
}

func (a *applier) execute(task applyTask) error {
	if task.restore != nil {
		a.entries, a.bytes = 0, 0
		if err := a.machine.Restore(task.restore.state); err != nil {
			return eris.Wrapf(err, "restore state of entry %d", task.restore.index)
		}
		a.appliedIndex.Store(task.restore.index)
		return nil
	}
	for _, e := range task.entries {
		a.applyEntry(e, task)
		a.appliedIndex.Store(e.Index)
	}
	for _, r := range task.reads {
		r <- nil
	}
	if len(task.entries) == 0 || (a.entries < a.settings.SnapshotThreshold && a.bytes < a.settings.snapshotBytes()) {
		return nil
	}
	state, err := a.machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "encode state")
	}
	a.entries, a.bytes = 0, 0
	select {
	case a.encodedStates <- encodedState{index: task.entries[len(task.entries)-1].Index, state: state}:
	default: // an earlier state is still queued
	}
	return nil
}

func (a *applier) applyEntry(e *consensusv1.Entry, task applyTask) {
	a.entries++
	a.bytes += uint64(len(e.Data))
	var result any
	switch e.Kind {
	case consensusv1.EntryKind_ENTRY_KIND_COMMAND:
		result = a.machine.Apply(e.Data)
	case consensusv1.EntryKind_ENTRY_KIND_EMPTY:
		if task.isLeader && e.Term == task.term {
			a.startTermClock(e.Term)
		}
	}
	pending, ok := a.pendingProposals.take(e.Index)
	switch {
	case !ok:
	case pending.term == e.Term:
		pending.done <- proposalResult{result: result}
	default:
		pending.done <- proposalResult{err: ErrOutcomeUnknown}
	}
}

// startTermClock starts the log time of a term. The first leader of a group
// starts from its wall clock. Every proposal carries the term of its clock, so
// proposals stamped by a clock of an earlier term are rejected.
func (a *applier) startTermClock(term uint64) {
	baseMS := a.machine.NowMS()
	if baseMS == 0 {
		baseMS = time.Now().UnixMilli()
	}
	a.termClock.Store(&termClock{term: term, baseMS: baseMS, startedAt: time.Now()})
	a.leaderChanged.notify()
}
