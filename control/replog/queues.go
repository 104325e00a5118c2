package replog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/consensusv1"
)

// queues holds the channels between the loop of a replica and other
// goroutines.
type queues struct {
	inbox            chan *consensusv1.Message
	proposals        chan proposal
	reads            chan chan error
	loopCalls        chan func()
	encodedStates    chan encodedState
	snapshotsWritten chan finishedSnapshot
	// applyTasks leads from the loop to the goroutine that applies entries.
	applyTasks chan applyTask
}

func newQueues() queues {
	return queues{
		inbox: make(chan *consensusv1.Message, queueLength), proposals: make(chan proposal, queueLength),
		reads: make(chan chan error, queueLength), loopCalls: make(chan func()),
		encodedStates: make(chan encodedState, 1), snapshotsWritten: make(chan finishedSnapshot, 1), applyTasks: make(chan applyTask, applyQueueLength),
	}
}

// pendingProposal is a proposal that was appended in a term and waits for its
// result.
type pendingProposal struct {
	term uint64
	done chan proposalResult
}

// pendingProposals holds pending proposals by the index of their entries.
type pendingProposals struct {
	// mu guards byIndex.
	mu      sync.Mutex
	byIndex map[uint64]pendingProposal
}

func (q *pendingProposals) add(index uint64, p pendingProposal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byIndex == nil {
		q.byIndex = make(map[uint64]pendingProposal)
	}
	q.byIndex[index] = p
}

// take removes and returns the pending proposal of an entry.
func (q *pendingProposals) take(index uint64) (pendingProposal, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.byIndex[index]
	delete(q.byIndex, index)
	return p, ok
}

// failAll fails all pending proposals with an error.
func (q *pendingProposals) failAll(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for index, p := range q.byIndex {
		p.done <- proposalResult{err: err}
		delete(q.byIndex, index)
	}
}

// broadcast notifies any number of goroutines of the next change.
type broadcast struct {
	// mu guards ch.
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next change.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// Stats holds counters since the replica was opened.
type Stats struct {
	// Commits counts committed entries, Syncs counts synced log writes.
	Commits, Syncs uint64
	// SyncTime is the total time spent in synced log writes.
	SyncTime time.Duration
}

// counters counts commits and synced log writes.
type counters struct {
	commits, syncs atomic.Uint64
	syncNanos      atomic.Int64
}

func (c *counters) recordSync(elapsed time.Duration) {
	c.syncNanos.Add(int64(elapsed))
	c.syncs.Add(1)
}

// Stats returns the counters since the replica was opened.
func (c *counters) Stats() Stats {
	return Stats{Commits: c.commits.Load(), Syncs: c.syncs.Load(), SyncTime: time.Duration(c.syncNanos.Load())}
}
