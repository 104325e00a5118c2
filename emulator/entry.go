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
	reading, later     int
	// holding is the memory that this entry's prompts take there, size what one
	// usually takes, ran how long it usually does; tokens.
	holding   int
	size      float64
	ran       time.Duration
	heard     time.Duration
	others    float64
	reported  time.Duration
	mean      time.Duration
	failing   float64
	streak    int
	restUntil time.Duration
}

// entry is the model of one entry instance.
type entry struct {
	beliefs map[*server]*belief
	budget  *retry.Window
	mix     placement.Mix
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
	if s.engines != nil {
		v.MemoryTokens, v.RunTime = s.engines.MemoryTokens, b.ran
		v.HeldTokens = b.holding + int(others*b.size)
	}
	return v
}

// sending is one request at a server.
type sending struct {
	unread, memory int
	later          bool
}

func (b *belief) queue(j sending) *int {
	if j.later {
		return &b.later
	}
	return &b.reading
}

func (b *belief) begin(j sending, at time.Duration) {
	if b.awaiting == 0 {
		b.heard = at
	}
	b.inflight++
	b.awaiting++
	*b.queue(j) += j.unread
	b.holding += j.memory
	if j.memory > 0 {
		if b.size == 0 {
			b.size = float64(j.memory)
		}
		b.size += learnRate * (float64(j.memory) - b.size)
	}
}

// answered notes an answer that took a time; load is the server's word.
func (b *belief) answered(j sending, load int, took, at time.Duration, failed bool) {
	b.left(j)
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
func (b *belief) left(j sending) {
	b.awaiting--
	b.inflight--
	*b.queue(j) -= j.unread
}

// free notes that a run has ended after a time, 0 if it did not run.
func (b *belief) free(j sending, ran time.Duration) {
	b.holding -= j.memory
	if j.memory == 0 || ran == 0 {
		return
	}
	if b.ran == 0 {
		b.ran = ran
	}
	b.ran += time.Duration(learnRate * min(1, float64(j.memory)/b.size) * float64(ran-b.ran))
}
