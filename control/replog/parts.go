package replog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// intake is what reaches the loop of a replica from other goroutines.
type intake struct {
	inbox     chan *consensusv1.Message
	proposals chan proposal
	reads     chan chan error
	calls     chan func()
	snapshots chan stateCopy
	written   chan finishedSnapshot
	// work goes the other way, to the goroutine that applies entries.
	work chan applyWork
}

func newIntake() intake {
	return intake{
		inbox: make(chan *consensusv1.Message, queueLength), proposals: make(chan proposal, queueLength),
		reads: make(chan chan error, queueLength), calls: make(chan func()),
		snapshots: make(chan stateCopy, 1), written: make(chan finishedSnapshot, 1), work: make(chan applyWork, applyQueue),
	}
}

// waiter is told what became of the proposal of a term.
type waiter struct {
	term uint64
	done chan outcome
}

// proposers wait for the entries that they proposed, by index.
type proposers struct {
	mu      sync.Mutex
	waiters map[uint64]waiter
}

func (p *proposers) add(index uint64, w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiters == nil {
		p.waiters = make(map[uint64]waiter)
	}
	p.waiters[index] = w
}

// take returns who waits for an entry, once.
func (p *proposers) take(index uint64) (waiter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.waiters[index]
	delete(p.waiters, index)
	return w, ok
}

// release ends all waits with an error.
func (p *proposers) release(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for index, w := range p.waiters {
		w.done <- outcome{err: err}
		delete(p.waiters, index)
	}
}

// signal tells any number of goroutines of the next change.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// Counts are totals since the replica started.
type Counts struct {
	// Commits is the number of committed entries, Syncs that of writes.
	Commits, Syncs uint64
	// SyncTime is the time spent in writes.
	SyncTime time.Duration
}

// totals count what a replica did.
type totals struct {
	commits, syncs atomic.Uint64
	syncNanos      atomic.Int64
}

func (t *totals) wrote(took time.Duration) {
	t.syncNanos.Add(int64(took))
	t.syncs.Add(1)
}

// Counts returns totals since the replica started.
func (t *totals) Counts() Counts {
	return Counts{Commits: t.commits.Load(), Syncs: t.syncs.Load(), SyncTime: time.Duration(t.syncNanos.Load())}
}
