package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/placement"
)

// Position is the position of a request in the wait queue.
type Position struct {
	// Priority is that of the request; a lower value is more urgent.
	Priority int
	// StartBy orders requests of the same priority: the latest time to send the request for it
	// to meet its objective, or, if it misses that, to be served before its client leaves.
	StartBy time.Time
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Priority, q.Priority), p.StartBy.Compare(q.StartBy)) < 0
}

// Waiter is a request that waits for room at a server.
type Waiter struct {
	Position
	// MemoryTokens is the memory that the request needs at a server, in tokens.
	MemoryTokens int
	// Try decides on the request now and carries out the decision. done reports
	// whether the request has left the queue; otherwise waitsFor is the server that it
	// waits for, empty for none. claimed holds the servers that requests ahead of it
	// wait for.
	Try func(claimed map[string]bool) (done bool, waitsFor string)

	removed bool
}

// WaitQueue holds the requests that wait at one instance for room at the servers of one
// service, most urgent first. It is for bursts of prompts that fill the servers'
// memory. A prompt queued at a server instead can no longer move to another server,
// blocks more urgent ones, is prefilled even if its client has left, and evicts cache
// entries that others would have used.
//
// A request never takes a server that an earlier one waits for, so that small
// requests cannot starve a large one.
type WaitQueue struct {
	waiting []*Waiter
	claimed map[string]bool
	// placedAt is when a server last took a request of the queue, or when the queue began to
	// fill; interval is the moving average of the times between, 0 if unknown.
	placedAt time.Time
	interval time.Duration
}

// Bounds of the queue and of one pass over it.
const (
	// maxFailedTries is the number of requests found to be still waiting after which
	// a pass ends: what blocks them also blocks those behind them.
	maxFailedTries = 8
	// maxWaiting bounds the length of the queue.
	maxWaiting = 4096
)

// Len returns the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.waiting) }

// Full reports whether the queue accepts no further request.
func (q *WaitQueue) Full() bool { return len(q.waiting) >= maxWaiting }

// MemoryAhead returns the memory needed by the requests ahead of a position, in tokens.
func (q *WaitQueue) MemoryAhead(p Position) int {
	tokens := 0
	for _, w := range q.waiting {
		if w.Before(p) {
			tokens += w.MemoryTokens
		}
	}
	return tokens
}

// Claimed returns the servers that requests ahead of a position wait for, as of the
// last pass.
func (q *WaitQueue) Claimed(p Position) map[string]bool {
	if len(q.waiting) == 0 || !q.waiting[0].Before(p) {
		return nil
	}
	return q.claimed
}

// intervalTTL is how long the rate at which servers took requests counts after the last one.
const intervalTTL = time.Second

// Placed records that a server takes a request of the queue.
func (q *WaitQueue) Placed(now time.Time) {
	sample := now.Sub(q.placedAt)
	if q.interval == 0 {
		q.interval = max(1, sample)
	}
	q.interval += time.Duration(ewmaWeight * float64(sample-q.interval))
	q.placedAt = now
}

// ExpectedWait returns the time until servers have taken the requests ahead of a position and the
// one at it, at the rate at which they have taken requests lately; 0 if that is not known.
func (q *WaitQueue) ExpectedWait(p Position, now time.Time) time.Duration {
	if q.interval == 0 || len(q.waiting) == 0 {
		return 0
	}
	ahead := 0
	for _, w := range q.waiting {
		if w.Before(p) {
			ahead++
		}
	}
	first := max(0, q.interval-now.Sub(q.placedAt))
	return first + time.Duration(ahead)*q.interval
}

// Rate returns the number of requests of the queue that servers have lately taken in a second;
// 0 if that is not known.
func (q *WaitQueue) Rate(now time.Time) float64 {
	since := now.Sub(q.placedAt)
	if q.interval == 0 || since > intervalTTL {
		return 0
	}
	return 1 / max(q.interval, since).Seconds()
}

// Add adds a request behind all those that it does not precede.
func (q *WaitQueue) Add(w *Waiter, now time.Time) {
	if len(q.waiting) == 0 {
		if now.Sub(q.placedAt) > intervalTTL {
			q.interval = 0
		}
		q.placedAt = now
	}
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter) int {
		if b.Before(a.Position) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, i, w)
}

// Remove removes a request; Try is not called again.
func (q *WaitQueue) Remove(w *Waiter) {
	w.removed = true
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Waiter) bool { return x == w })
}

// Schedule calls Try for the waiting requests in order, until maxFailedTries of them
// are still waiting, and sorts the queue by the positions that Try has changed.
func (q *WaitQueue) Schedule() {
	if len(q.waiting) == 0 {
		return
	}
	claimed, failedTries := make(map[string]bool), 0
	remaining := q.waiting[:0:0]
	for n, w := range q.waiting {
		if w.removed {
			continue
		}
		if failedTries >= maxFailedTries {
			remaining = append(remaining, q.waiting[n:]...)
			break
		}
		done, waitsFor := w.Try(claimed)
		if done {
			w.removed = true
			continue
		}
		remaining = append(remaining, w)
		failedTries++
		if waitsFor != "" {
			claimed[waitsFor] = true
		}
	}
	q.waiting, q.claimed = remaining, claimed
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int {
		switch {
		case a.Before(b.Position):
			return -1
		case b.Before(a.Position):
			return 1
		}
		return 0
	})
}

// TimeToFree returns the time until the servers have freed the given number of tokens
// beyond the memory that is free now, assuming that runs end at an even rate. A
// server with unknown run time counts like the others; if all are unknown, the result
// is 0.
func TimeToFree(servers []placement.Server, tokens int) time.Duration {
	usedTokens, known, totalRunTime := 0, 0, time.Duration(0)
	for i := range servers {
		usedTokens += servers[i].UsedMemoryTokens
		if servers[i].RunTime > 0 {
			known++
			totalRunTime += servers[i].RunTime
		}
	}
	if known == 0 || usedTokens == 0 || tokens <= 0 {
		return 0
	}
	perToken := float64(totalRunTime) / float64(known) / float64(usedTokens)
	return time.Duration(float64(tokens) * perToken)
}
