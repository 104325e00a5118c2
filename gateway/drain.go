package gateway

import (
	"sync/atomic"
	"time"
)

// Time limits of a draining instance.
const (
	// graceMargin is the end of the grace period that is reserved for process exit.
	graceMargin = 500 * time.Millisecond
	// drainPollInterval is the time between checks whether a drain may end.
	drainPollInterval = 50 * time.Millisecond
	// finishMargin is added to the latest end of a request: its response must be sent before
	// the process exits.
	finishMargin = 250 * time.Millisecond
	// answerTimeout is how long requests without a response get to receive one after
	// lingerTime and shutdownTimeout. The sum of the three, flushTimeout and
	// httpserver.AcceptTimeout is below graceMargin.
	answerTimeout = 150 * time.Millisecond
	// drainRetryAfter is when a client that a draining instance rejects may retry: at
	// once, since the other instances have capacity.
	drainRetryAfter = 10 * time.Millisecond
)

// drainState decides which requests a draining instance still accepts. Invariant: an
// accepted request ends before the process does, however long its server takes, so that none is
// cut off; all others are rejected at once as not run, and another instance serves them. Before
// the drain starts, everything is accepted.
type drainState struct {
	// deadline is when the process must have finished, by monotonic; 0
	// before the drain.
	deadline atomic.Int64
	// ended is set when no further request is accepted.
	ended atomic.Bool
}

func (s *drainState) start(now time.Time, grace time.Duration) {
	s.deadline.Store(monotonic(now.Add(grace - graceMargin)))
}

// end ends the drain: no further request is accepted.
func (s *drainState) end() { s.ended.Store(true) }

func (s *drainState) started() bool { return s.deadline.Load() != 0 }

// admits reports whether a request that ends at the given time at the latest may still be accepted.
func (s *drainState) admits(latestEnd time.Time) bool {
	deadline := s.deadline.Load()
	return !s.ended.Load() && (deadline == 0 || monotonic(latestEnd.Add(finishMargin)) <= deadline)
}

// endsInTime reports whether the request may be passed on to a server by a draining instance.
func (c *call) endsInTime() bool {
	return c.gateway.drain.admits(c.deadline.Add(c.responseMargin))
}

// expired reports whether the time for draining is over.
func (s *drainState) expired(now time.Time) bool {
	deadline := s.deadline.Load()
	return deadline != 0 && monotonic(now) >= deadline
}
