package dispatch

import (
	"slices"
	"time"
)

// Parameters of the estimate errors.
const (
	// errorWindow is the number of most recent errors that count.
	errorWindow = 64
	// marginQuantile is the share of prompts that may still meet their objective
	// although they were estimated to miss it.
	marginQuantile = 0.2
	// minErrors is the number of errors needed before a margin applies.
	minErrors = 16
	// maxMarginShare bounds the margin as a share of the estimate: a period in which
	// every response was early says little about the next response.
	maxMarginShare = 0.5
	// marginInterval is the number of errors between two updates of the margin.
	marginInterval = 8
)

// EstimateErrors records the errors of the wait estimates for one kind of prompt: the
// actual minus the expected wait. From them it derives a margin, which LowerBound
// subtracts to get an optimistic estimate: a prompt should be deferred or rejected only
// if it is almost certain to miss its objective, because deferring makes it miss in any
// case.
type EstimateErrors struct {
	// recent holds the newest errorWindow errors, count is the number of all errors
	// ever observed.
	recent [errorWindow]time.Duration
	count  int
	// margin is by how much, at least, a share marginQuantile of the recent waits were
	// shorter than estimated; it is never negative. It is updated every marginInterval
	// errors.
	margin time.Duration
}

// Observe records the error of one estimate, for a prompt that got a response, and
// updates the margin when that is due.
func (e *EstimateErrors) Observe(expected, actual time.Duration) {
	e.recent[e.count%errorWindow] = actual - expected
	if e.count++; e.count >= minErrors && e.count%marginInterval == 0 {
		e.margin = max(0, -e.Quantile(marginQuantile))
	}
}

// Quantile returns the error that a share q in [0, 1] of the recent errors did not
// exceed; 0 before any error.
func (e *EstimateErrors) Quantile(q float64) time.Duration {
	n := min(e.count, errorWindow)
	if n == 0 {
		return 0
	}
	sorted := e.recent
	slices.Sort(sorted[:n])
	return sorted[int(q*float64(n-1))]
}

// LowerBound returns an optimistic estimate of the wait: the expected one less the
// margin, but at least 1-maxMarginShare of it.
func (e *EstimateErrors) LowerBound(expected time.Duration) time.Duration {
	return expected - min(time.Duration(maxMarginShare*float64(expected)), e.margin)
}
