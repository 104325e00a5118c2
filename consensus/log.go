package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// entryID identifies an entry by index and term.
type entryID struct{ index, term uint64 }

// membershipVersion is a membership and the index from which it is effective.
type membershipVersion struct {
	index      uint64
	membership *consensusv1.Membership
}

// replicaLog holds the log entries after base. Invariants: base.index <=
// snapshot.Index <= applied <= commit <= last; entries up to stable are synced
// to disk.
type replicaLog struct {
	base     entryID
	entries  []*consensusv1.Entry
	snapshot *consensusv1.SnapshotMeta
	commit   uint64
	applied  uint64
	stable   uint64
	// memberships is sorted by index; the first one is the snapshot's.
	memberships []membershipVersion
}

func newReplicaLog(durable DurableState) (*replicaLog, error) {
	snapshot := durable.Snapshot
	if snapshot == nil {
		snapshot = &consensusv1.SnapshotMeta{Membership: &consensusv1.Membership{}}
	}
	l := &replicaLog{}
	l.reset(snapshot)
	for _, e := range durable.Entries {
		if e.Index <= snapshot.Index {
			continue
		}
		if e.Index != l.last().index+1 {
			return nil, fmt.Errorf("gap in the stored log: entry %d follows entry %d", e.Index, l.last().index)
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.stable = l.last().index
	l.commit = max(l.commit, min(durable.HardState.GetCommit(), l.stable))
	return l, nil
}

// reset discards all entries; the log then starts after the snapshot.
func (l *replicaLog) reset(snapshot *consensusv1.SnapshotMeta) {
	l.base = entryID{snapshot.Index, snapshot.Term}
	l.entries = nil
	l.snapshot = snapshot
	l.commit, l.applied, l.stable = snapshot.Index, snapshot.Index, snapshot.Index
	l.memberships = []membershipVersion{{snapshot.Index, snapshot.Membership}}
}

// last returns the last entry, or base if the log holds no entries.
func (l *replicaLog) last() entryID {
	if n := len(l.entries); n > 0 {
		return entryID{l.entries[n-1].Index, l.entries[n-1].Term}
	}
	return l.base
}

// term returns the term of an entry, or false if the entry is compacted or past
// the end of the log.
func (l *replicaLog) term(index uint64) (uint64, bool) {
	if index == l.base.index {
		return l.base.term, true
	}
	if index < l.base.index || index > l.last().index {
		return 0, false
	}
	return l.entries[index-l.base.index-1].Term, true
}

// append appends one entry. A membership takes effect when its entry is appended,
// whether or not the entry is committed.
func (l *replicaLog) append(e *consensusv1.Entry) error {
	if e.Kind == consensusv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
		var m consensusv1.Membership
		if err := proto.Unmarshal(e.Data, &m); err != nil {
			return fmt.Errorf("decode membership of entry %d: %w", e.Index, err)
		}
		l.memberships = append(l.memberships, membershipVersion{e.Index, &m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// merge appends a leader's entries after the point where the logs match. It skips
// entries that are already held and truncates the log at the first conflict.
func (l *replicaLog) merge(entries []*consensusv1.Entry) error {
	for _, e := range entries {
		term, ok := l.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			if err := l.truncate(e.Index); err != nil {
				return err
			}
		}
		if e.Index != l.last().index+1 {
			return fmt.Errorf("entry %d follows entry %d", e.Index, l.last().index)
		}
		if err := l.append(e); err != nil {
			return err
		}
	}
	return nil
}

// truncate removes the entries from an index on. Invariant: a committed entry is
// never removed.
func (l *replicaLog) truncate(from uint64) error {
	if from <= l.commit {
		return fmt.Errorf("entry %d conflicts with the committed entry %d", from, l.commit)
	}
	kept := from - l.base.index - 1
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, from-1)
	for n := len(l.memberships); n > 1 && l.memberships[n-1].index >= from; n-- {
		l.memberships = l.memberships[:n-1]
	}
	return nil
}

// slice returns the entries in (after, to].
func (l *replicaLog) slice(after, to uint64) []*consensusv1.Entry {
	if after >= to {
		return nil
	}
	return l.entries[after-l.base.index : to-l.base.index]
}

// entriesAfter returns the entries after an index, up to maxBytes of data. It
// returns at least one entry, if there is one, whatever its size.
func (l *replicaLog) entriesAfter(after uint64, maxBytes int) []*consensusv1.Entry {
	entries := l.slice(after, l.last().index)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// latestMembership returns the newest membership, committed or not.
func (l *replicaLog) latestMembership() membershipVersion {
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership that was effective at an index.
func (l *replicaLog) membershipAt(index uint64) *consensusv1.Membership {
	effective := l.memberships[0].membership
	for _, m := range l.memberships {
		if m.index <= index {
			effective = m.membership
		}
	}
	return effective
}

// compact records a snapshot and removes the entries up to keepAfter, or up to
// the snapshot if that is earlier.
func (l *replicaLog) compact(snapshot *consensusv1.SnapshotMeta, keepAfter uint64) {
	l.snapshot = snapshot
	memberships := l.memberships[:0:0]
	memberships = append(memberships, membershipVersion{snapshot.Index, snapshot.Membership})
	for _, m := range l.memberships {
		if m.index > snapshot.Index {
			memberships = append(memberships, m)
		}
	}
	l.memberships = memberships
	keepAfter = min(keepAfter, snapshot.Index)
	if keepAfter <= l.base.index {
		return
	}
	term, _ := l.term(keepAfter)
	retained := l.slice(keepAfter, l.last().index)
	l.entries = append([]*consensusv1.Entry(nil), retained...)
	l.base = entryID{keepAfter, term}
}
