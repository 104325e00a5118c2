package contexts

import (
	"slices"
	"time"
)

// LeastTold is the shortest part of an engine's cache that instances tell each
// other of; tokens. A shorter one is read in the time that the telling takes: 20 ms
// by the users' sheet of their engines.
const LeastTold = 1024

// maxRecords bounds the changes that a journal can tell apart; a listener that
// is further behind is told everything.
const maxRecords = 8192

// News is what a listener learns of one holder.
type News struct {
	Address string
	// Epoch names this life of the holder.
	Epoch uint64
	// Anew says that Changes are all that it holds, Dropped that it is no longer
	// followed.
	Anew, Dropped bool
	Changes       []Change
}

// journal numbers the changes of the holders that an instance follows, so that
// each listener is told what it has not seen. It is not safe for concurrent use.
type journal struct {
	records []record
	// last is the number of the newest record.
	last    uint64
	changed chan struct{}
}

// record is one change; one without a part says that the holder's content
// begins anew, or that it is no longer followed.
type record struct {
	address string
	change  Change
	anew    bool
	dropped bool
}

// newJournal returns a journal whose cursors are never 0, which stands for a
// listener that knows nothing.
func newJournal() *journal { return &journal{last: 1, changed: make(chan struct{})} }

func (j *journal) add(r record) {
	j.last++
	j.records = append(j.records, r)
	if len(j.records) > maxRecords {
		j.records = slices.Delete(j.records, 0, maxRecords/2)
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// since lists the news after a cursor by holder; false if the journal no longer
// reaches back so far.
func (j *journal) since(cursor uint64) ([]News, bool) {
	first := j.last - uint64(len(j.records))
	if cursor < first || cursor > j.last {
		return nil, false
	}
	var list []News
	index := make(map[string]int)
	for _, r := range j.records[cursor-first:] {
		i, ok := index[r.address]
		if !ok {
			i = len(list)
			index[r.address] = i
			list = append(list, News{Address: r.address})
		}
		n := &list[i]
		if r.anew || r.dropped {
			*n = News{Address: r.address, Anew: r.anew, Dropped: r.dropped}
			continue
		}
		n.Changes = append(n.Changes, r.change)
	}
	return list, true
}

// Told is an answer to a listener.
type Told struct {
	News []News
	// Whole says that News are all holders that are followed.
	Whole  bool
	Cursor uint64
	// Silent holders were not heard lately; Oldest is the greatest age of the
	// word of the others.
	Silent []string
	Oldest time.Duration
}
