package dispatch

import "time"

// Parameters of the recent times.
const (
	// recentWindow is the time for which an observation counts, at least; at most twice that. A
	// service that becomes faster is noticed after it, even if nothing was sent.
	recentWindow = 5 * time.Second
	// minRecentTimes is the number of observations from which on the extremes are known.
	minRecentTimes = 20
)

// RecentTimes are the shortest and the longest of the times that something has taken lately. The
// zero value knows none. It is not safe for concurrent use.
type RecentTimes struct {
	older, newer timeRange
	newerSince   time.Time
}

// timeRange holds the extremes of the observations of one window.
type timeRange struct {
	count             int
	shortest, longest time.Duration
}

// join returns the range of both windows' observations.
func (r timeRange) join(other timeRange) timeRange {
	switch {
	case r.count == 0:
		return other
	case other.count == 0:
		return r
	}
	return timeRange{r.count + other.count, min(r.shortest, other.shortest), max(r.longest, other.longest)}
}

// rotate drops the observations that are too old.
func (r *RecentTimes) rotate(now time.Time) {
	switch age := now.Sub(r.newerSince); {
	case age >= 2*recentWindow:
		r.older, r.newer, r.newerSince = timeRange{}, timeRange{}, now
	case age >= recentWindow:
		r.older, r.newer, r.newerSince = r.newer, timeRange{}, r.newerSince.Add(recentWindow)
	}
}

// Observe records a time.
func (r *RecentTimes) Observe(d time.Duration, now time.Time) {
	r.rotate(now)
	r.newer = r.newer.join(timeRange{1, d, d})
}

// recent returns the range of the recent times, and whether enough are known.
func (r *RecentTimes) recent(now time.Time) (timeRange, bool) {
	r.rotate(now)
	joined := r.older.join(r.newer)
	return joined, joined.count >= minRecentTimes
}

// Shortest returns the shortest recent time; 0 if too few are known.
func (r *RecentTimes) Shortest(now time.Time) time.Duration {
	if recent, known := r.recent(now); known {
		return recent.shortest
	}
	return 0
}

// Longest returns the longest recent time; false if too few are known.
func (r *RecentTimes) Longest(now time.Time) (time.Duration, bool) {
	recent, known := r.recent(now)
	return recent.longest, known
}
