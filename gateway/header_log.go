package gateway

import (
	"sync/atomic"
	"time"
)

// headerLogInterval is the least time between two log lines on the unparsable headers of a
// server: each of its responses may have them.
const headerLogInterval = time.Minute

// headerLog limits the log lines on the unparsable headers of one server. The zero value is
// ready for use.
type headerLog struct {
	// loggedAt is in nanoseconds of Unix time; 0 for never. ignored counts the responses
	// since.
	loggedAt, ignored atomic.Int64
}

// logNow records a response with unparsable headers. It reports whether a line is due and the
// number of such responses since the last one.
func (l *headerLog) logNow(now time.Time) (due bool, responses int64) {
	l.ignored.Add(1)
	last := l.loggedAt.Load()
	if last != 0 && now.UnixNano()-last < int64(headerLogInterval) {
		return false, 0
	}
	if !l.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		return false, 0
	}
	return true, l.ignored.Swap(0)
}
