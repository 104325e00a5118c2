package intake

import "time"

// pace is a clock that runs with the bytes that a connection brings: at minPace it keeps up with
// the time, and below that it falls behind.
type pace struct{ at time.Time }

// advance returns the clock after n bytes have arrived at now.
func (p pace) advance(n int, now time.Time) pace {
	at := p.at.Add(time.Duration(n) * time.Second / minPace)
	if ahead := now.Add(maxCredit); at.After(ahead) {
		at = ahead
	}
	return pace{at}
}

// lag returns how far the connection is behind.
func (p pace) lag(now time.Time) time.Duration { return max(0, now.Sub(p.at)) }

// holder is what a connection holds that may give way.
type holder struct {
	bytes int64
	lag   time.Duration
}

// weight is what giving way frees, weighted by how far the holder is behind; 0 if it is not to
// give way.
func (h holder) weight() float64 {
	if h.lag < minLag {
		return 0
	}
	return h.lag.Seconds() * float64(h.bytes)
}

// pickYielding returns the index of the holder that gives way first, or -1 if all of them make
// progress.
func pickYielding(holders []holder) int {
	best, heaviest := -1, 0.0
	for i, h := range holders {
		if w := h.weight(); w > heaviest {
			best, heaviest = i, w
		}
	}
	return best
}

// fits reports whether n more bytes fit into the limit for a request that holds own bytes already.
// leaving bytes are held by requests that were told to give way.
func (l limits) fits(n, own, held, leaving int64) bool {
	if l.bytes == 0 {
		return true
	}
	limit := float64(l.bytes)
	if own+n > smallBytes {
		limit *= bulkShare
	}
	free := min(float64(leaving), leavingShare*float64(l.bytes))
	return float64(held+n)-free <= limit
}
