package dispatch

import "time"

// ClientTime is the time that a client still has for a request, and the work that is left.
type ClientTime struct {
	// Deadline is when the whole response must have been sent. LeavesAt is when the client of a
	// stream leaves unless the next event has arrived, zero if that is not known.
	Deadline, LeavesAt time.Time
	// ToEnd is the shortest time in which a server completes what is left, ToEvent that in which
	// it sends the next event; 0 if unknown.
	ToEnd, ToEvent time.Duration
}

// minWorkTime is the least time in which a server is assumed to serve a request.
const minWorkTime = 40 * time.Millisecond

// WorkTime returns the least time in which a server completes what is left.
func (t *ClientTime) WorkTime() time.Duration { return max(minWorkTime, t.ToEnd) }

// LatestStart returns the latest time at which a server can begin with what is left and still
// serve the client. What begins later is of no use to anyone.
func (t *ClientTime) LatestStart() time.Time {
	latest := t.Deadline.Add(-t.WorkTime())
	if t.LeavesAt.IsZero() {
		return latest
	}
	if event := t.LeavesAt.Add(-max(minWorkTime, t.ToEvent)); event.Before(latest) {
		latest = event
	}
	return latest
}

// Limits on the time that one server gets while another can still be tried.
const (
	// switchTime is the time for a request to reach another server: to find one, and to open a
	// connection to it.
	switchTime = 40 * time.Millisecond
	// attemptShare is its largest share of the time that is left.
	attemptShare = 0.55
	// firstEventTimeout is the longest time to the first event of a stream, well below the time
	// after which clients leave.
	firstEventTimeout = 700 * time.Millisecond
)

// AttemptTimeout returns how long one server may take to begin its response before the request is
// sent to another one, so that the other one has time for the work.
func (t *ClientTime) AttemptTimeout(now time.Time) time.Duration {
	timeout := time.Duration(attemptShare * float64(t.Deadline.Sub(now)))
	if spare := t.LatestStart().Sub(now) - 2*switchTime; spare > 0 {
		timeout = min(timeout, spare)
	}
	if !t.LeavesAt.IsZero() {
		timeout = min(timeout, firstEventTimeout)
	}
	return timeout
}

// EventTimeout returns how long one server may send no event, at most limit, before a stream goes on
// at another one, so that the other one has time for the next event. It is limit if a server could
// not send one until then.
func (t *ClientTime) EventTimeout(limit time.Duration, now time.Time) time.Duration {
	if spare := t.LatestStart().Sub(now) - 2*switchTime; spare >= max(minWorkTime, t.ToEvent) {
		return min(limit, spare)
	}
	return limit
}

// MaySwitch reports whether another server can still serve the client if the request leaves its
// server now.
func (t *ClientTime) MaySwitch(now time.Time) bool {
	return !now.Add(switchTime).After(t.LatestStart())
}

// Parameters of the search for a server.
const (
	// minSearchInterval is the least time between two searches for a server that takes a request.
	minSearchInterval = 100 * time.Millisecond
	// searchMargin is how long before the latest start the last search begins.
	searchMargin = 25 * time.Millisecond
)

// ServerSearch decides how long to look for a server for a request that has left a silent one and
// that no server takes now. The silent server may respond again, and others may have room again.
type ServerSearch struct {
	interval time.Duration
	sends    int
}

// Next returns how long to wait before the next search. sends is the number of times that the
// request has reached servers: a round that reached some has used retries that others need, and
// doubles the interval. availableAt is when the first server takes requests again, zero if that is
// not known. ok is false if no server can take the request in its client's time: it is to be given
// up now.
func (s *ServerSearch) Next(t *ClientTime, sends int, availableAt, now time.Time) (wait time.Duration, ok bool) {
	left := t.LatestStart().Sub(now) - searchMargin
	if left < searchMargin || availableAt.Sub(now) > left {
		return 0, false
	}
	if sends > s.sends {
		s.sends, s.interval = sends, max(minSearchInterval, 2*s.interval)
	}
	wait = max(minSearchInterval, s.interval, availableAt.Sub(now))
	return min(wait, left), true
}
