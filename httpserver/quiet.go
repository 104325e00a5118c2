package httpserver

import "time"

// Quiet measures for how long no request has arrived. A process that stands still handles none
// either, but they may wait in its sockets.
type Quiet struct {
	maxGap               time.Duration
	checkedAt, resumedAt time.Time
}

// NewQuiet returns a Quiet that begins at now. Checks that are over maxGap apart show that the
// process stood still between them.
func NewQuiet(now time.Time, maxGap time.Duration) *Quiet {
	return &Quiet{maxGap: maxGap, checkedAt: now, resumedAt: now}
}

// Check returns the time without a request and without a standstill at now.
func (q *Quiet) Check(now, lastActive time.Time) time.Duration {
	if now.Sub(q.checkedAt) > q.maxGap {
		q.resumedAt = now
	}
	q.checkedAt = now
	return min(now.Sub(lastActive), now.Sub(q.resumedAt))
}
