package emulator

import (
	"time"

	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/retry"
)

// Rules of an entry instance in the model.
const (
	// reportLife is how long a server's word on its load counts in full.
	reportLife = time.Second
	// patience is how long a repeatable request waits for a server that says
	// nothing.
	patience = 700 * time.Millisecond
	// rest is how long a server rests after restStreak failures in a row.
	rest       = 400 * time.Millisecond
	restStreak = 3
	learnRate  = 0.1
	longPrompt = 2048
	// budgetSpan, budgetRatio and budgetSlack bound repeats of all instances.
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.16
	budgetSlack = 40
)

// epoch is the zero of virtual time where decisions take a time.Time.
var epoch = time.Unix(1_000_000, 0)

// belief is what an entry instance knows of a server.
type belief struct {
	inflight, awaiting int
	reading            int
	heard              time.Duration
	others             float64
	reported           time.Duration
	mean               time.Duration
	failing            float64
	streak             int
	restUntil          time.Duration
}

// entry is the model of one entry instance.
type entry struct {
	beliefs map[*server]*belief
	budget  *retry.Window
}

func newEntry(servers []*server, entries int) *entry {
	e := &entry{beliefs: make(map[*server]*belief), budget: retry.NewWindow(budgetSpan, budgetRatio, budgetSlack/float64(entries))}
	for _, s := range servers {
		e.beliefs[s] = &belief{}
	}
	return e
}

// view is a server as the entry's decision sees it.
func (b *belief) view(s *server, at time.Duration) placement.Server {
	v := placement.Server{Near: true, Slots: s.slots, Mean: b.mean, Failing: b.failing, Resting: at < b.restUntil}
	if b.awaiting > 0 {
		v.Silence = at - b.heard
	}
	others := b.others
	if age := at - b.reported; age > reportLife {
		others *= float64(reportLife) / float64(age)
	}
	total := float64(b.inflight) + others
	v.Running = min(total, float64(s.slots))
	v.Waiting = total - v.Running
	return v
}

func (b *belief) begin(unread int, at time.Duration) {
	if b.awaiting == 0 {
		b.heard = at
	}
	b.inflight++
	b.awaiting++
	b.reading += unread
}

// answered notes an answer that took a time; load is the server's word.
func (b *belief) answered(unread, load int, took, at time.Duration, failed bool) {
	b.awaiting--
	b.inflight--
	b.reading -= unread
	b.heard = at
	b.others, b.reported = max(0, float64(load-b.inflight)), at
	if b.mean == 0 {
		b.mean = took
	}
	b.mean += time.Duration(learnRate * float64(took-b.mean))
	if !failed {
		b.streak, b.failing = 0, b.failing*(1-learnRate)
		return
	}
	b.streak++
	b.failing += learnRate * (1 - b.failing)
	if b.streak >= restStreak {
		b.restUntil = at + rest
	}
}

// left notes that an answer is no longer waited for.
func (b *belief) left(unread int) {
	b.awaiting--
	b.inflight--
	b.reading -= unread
}
