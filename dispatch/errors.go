package dispatch

import (
	"slices"
	"time"
)

// Rules of what is learned of the error of an estimate.
const (
	// errorsKept is how many of the last errors count.
	errorsKept = 64
	// doubtQuantile is the share of prompts that may still be on time though they
	// were judged to be late.
	doubtQuantile = 0.2
	// errorsEnough is how many errors must be known to count.
	errorsEnough = 16
	// mostDoubt bounds what is taken off an estimate, as a part of it: a time in
	// which everything was sooner than expected says little of the next.
	mostDoubt = 0.5
	// doubtEvery is how many errors pass between two looks at the quantile.
	doubtEvery = 8
)

// Errors keeps by how much the waits of prompts of one kind were longer than
// expected, so that a prompt is put behind others, or turned away, only when it is
// late for sure: one that is put behind is late in any case.
type Errors struct {
	last  [errorsKept]time.Duration
	count int
	// doubt is what may be taken off an estimate, brought up to date every few
	// errors.
	doubt time.Duration
}

// Learn takes the expected time of an answered prompt, and the one that came.
func (e *Errors) Learn(expected, came time.Duration) {
	e.last[e.count%errorsKept] = came - expected
	if e.count++; e.count >= errorsEnough && e.count%doubtEvery == 0 {
		e.doubt = max(0, -e.Quantile(doubtQuantile))
	}
}

// Quantile is the error that a share of the last ones did not exceed.
func (e *Errors) Quantile(q float64) time.Duration {
	n := min(e.count, errorsKept)
	if n == 0 {
		return 0
	}
	sorted := e.last
	slices.Sort(sorted[:n])
	return sorted[int(q*float64(n-1))]
}

// Least is the time before which an expected wait is surely not over.
func (e *Errors) Least(expected time.Duration) time.Duration {
	return expected - min(time.Duration(mostDoubt*float64(expected)), e.doubt)
}
