package contexts

import (
	"slices"
	"time"
)

// MinRelayedTokens is the length in tokens of the shortest part of an engine's
// cache that is relayed between instances. A shorter part takes no longer to
// prefill than to relay: 20 ms according to the users' engine data sheet.
const MinRelayedTokens = 1024

// maxRecords bounds the changes that a journal retains. A subscriber that is
// further behind gets a full snapshot.
const maxRecords = 8192

// HolderUpdate is the part of an Update that concerns one holder.
type HolderUpdate struct {
	Address string
	// Epoch identifies the holder's incarnation.
	Epoch uint64
	// Reset means that Changes is the holder's complete content and replaces the
	// earlier state. Removed means that the holder is no longer tracked.
	Reset, Removed bool
	Changes        []Change
}

// journal numbers the changes of the tracked holders, so that each subscriber gets
// only those after its cursor. It is not safe for concurrent use.
type journal struct {
	// records are the newest ones, at most maxRecords, in sequence.
	records []record
	// last is the sequence number of the newest record.
	last uint64
	// changed is closed and replaced at each new record.
	changed chan struct{}
}

// record is one change. A record without a part means that the holder's content was
// reset or that the holder is no longer tracked.
type record struct {
	address string
	change  Change
	reset   bool
	removed bool
}

// newJournal returns an empty journal. Sequence numbers start above 0, since cursor
// 0 means that the subscriber has no state.
func newJournal() *journal { return &journal{last: 1, changed: make(chan struct{})} }

// add numbers and appends a record, drops the older half if there are more than
// maxRecords, and wakes the subscribers.
func (j *journal) add(r record) {
	j.last++
	j.records = append(j.records, r)
	if len(j.records) > maxRecords {
		j.records = slices.Delete(j.records, 0, maxRecords/2)
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// since returns the changes after a cursor, grouped by holder. It returns false if
// the journal no longer holds every record after the cursor.
func (j *journal) since(cursor uint64) ([]HolderUpdate, bool) {
	first := j.last - uint64(len(j.records))
	if cursor < first || cursor > j.last {
		return nil, false
	}
	var updates []HolderUpdate
	index := make(map[string]int)
	for _, r := range j.records[cursor-first:] {
		i, ok := index[r.address]
		if !ok {
			i = len(updates)
			index[r.address] = i
			updates = append(updates, HolderUpdate{Address: r.address})
		}
		update := &updates[i]
		if r.reset || r.removed {
			*update = HolderUpdate{Address: r.address, Reset: r.reset, Removed: r.removed}
			continue
		}
		update.Changes = append(update.Changes, r.change)
	}
	return updates, true
}

// Update is the state, or the changes of state, that a relay sends to a subscriber.
type Update struct {
	Holders []HolderUpdate
	// Full means that Holders is a full snapshot of all tracked holders.
	Full bool
	// Cursor is the sequence number up to which changes are included.
	Cursor uint64
	// Stale lists the holders whose state is too old to be used.
	Stale []string
	// MaxAge is the greatest age of the other holders' state.
	MaxAge time.Duration
}
