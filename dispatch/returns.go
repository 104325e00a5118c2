package dispatch

import "time"

// Parameters of the return of callers that were refused for want of room.
const (
	// returnShare is the largest part of its remaining time that a caller is told to stay away:
	// the rest is for its turn and the work, and for a wait in the queue.
	returnShare = 1.0 / 3
	// returnSpread is the part of a shortened delay over which callers are spread.
	returnSpread = 0.5
)

// ReturnLine is the line of the callers that one instance has refused for want of room. As many
// are told to return in a second as servers take requests of this instance. It holds no callers,
// only when the last of them returns: an instance that takes the place of a lost one begins with an
// empty line, and the callers told by the other return as spread as they were told to.
type ReturnLine struct{ lastAt time.Time }

// Refusal describes a request that is refused for want of room.
type Refusal struct {
	// Rate is the number of requests that servers take of this instance in a second.
	Rate float64
	// Wait is the expected wait behind the requests that wait here, Left the time in which a
	// server must begin to serve the caller.
	Wait, Left time.Duration
	// Jitter in [0, 1) spreads the callers that are not told their place in the line.
	Jitter float64
}

// Next returns the delay after which the caller of a refused request is to return: its place in the
// line, but no more than returnShare of its time if it can still be served then. A caller that
// no place in the line can serve is told the true time, and gets none.
func (l *ReturnLine) Next(r Refusal, now time.Time) time.Duration {
	last := l.lastAt
	if first := now.Add(r.Wait); last.Before(first) {
		last = first
	}
	last = last.Add(time.Duration(float64(time.Second) / max(r.Rate, minPermitRate)))
	delay := last.Sub(now)
	if delay >= r.Left {
		return max(minReturnDelay, min(delay, maxReturnDelay))
	}
	l.lastAt = last
	if soonest := time.Duration(returnShare * float64(r.Left)); delay > soonest {
		delay = soonest - time.Duration(r.Jitter*returnSpread*float64(soonest))
	}
	return max(minReturnDelay, delay)
}
