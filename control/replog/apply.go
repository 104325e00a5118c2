package replog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// applyWork is done by the goroutine that owns the machine, in order.
type applyWork struct {
	restore *restoreWork
	entries []*consensusv1.Entry
	// reads may be served once entries are applied.
	reads []chan error
	// term and leads say whether this replica leads.
	term  uint64
	leads bool
}

type restoreWork struct {
	state []byte
	index uint64
}

// stateCopy is the encoded state after an entry.
type stateCopy struct {
	index uint64
	state []byte
}

// applier counts what was applied since the last snapshot.
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
		case w := <-g.work:
			if err := a.do(w); err != nil {
				g.Fail(err)
				return
			}
		}
	}
}

func (a *applier) do(w applyWork) error {
	if w.restore != nil {
		a.entries, a.bytes = 0, 0
		return eris.Wrapf(a.machine.Restore(w.restore.state), "restore state of entry %d", w.restore.index)
	}
	for _, e := range w.entries {
		a.one(e, w)
	}
	for _, r := range w.reads {
		r <- nil
	}
	if len(w.entries) == 0 || (a.entries < a.settings.CompactEntries && a.bytes < compactBytes) {
		return nil
	}
	state, err := a.machine.Encode()
	if err != nil {
		return eris.Wrap(err, "encode state")
	}
	a.entries, a.bytes = 0, 0
	select {
	case a.snapshots <- stateCopy{index: w.entries[len(w.entries)-1].Index, state: state}:
	default: // one is already waiting
	}
	return nil
}

func (a *applier) one(e *consensusv1.Entry, w applyWork) {
	a.entries++
	a.bytes += uint64(len(e.Data))
	var result any
	switch e.Kind {
	case consensusv1.EntryKind_ENTRY_KIND_COMMAND:
		result = a.machine.Apply(e.Data)
	case consensusv1.EntryKind_ENTRY_KIND_EMPTY:
		if w.leads && e.Term == w.term {
			a.setAnchor(e.Term)
		}
	}
	waiting, ok := a.proposers.take(e.Index)
	switch {
	case !ok:
	case waiting.term == e.Term:
		waiting.done <- outcome{result: result}
	default:
		waiting.done <- outcome{err: ErrOutcomeUnknown}
	}
}

// setAnchor begins the log's time of a term; the first leader ever takes the
// wall clock. A proposal names its anchor's term, so an anchor that comes late
// serves nothing.
func (a *applier) setAnchor(term uint64) {
	base := a.machine.NowMS()
	if base == 0 {
		base = time.Now().UnixMilli()
	}
	a.anchor.Store(&anchor{term: term, base: base, from: time.Now()})
	a.leadership.notify()
}
