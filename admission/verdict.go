package admission

import "time"

// Parameters of a verdict.
const (
	// rejectMargin is the factor by which the expected wait must exceed the caller's
	// timeout for the request to be rejected: waits are estimates, and a late
	// response is worth more to the caller than none.
	rejectMargin = 1.25
	// minRetryAfter is the minimum retry delay, minRetryJitter the minimum span over
	// which callers that are rejected at the same moment return.
	minRetryAfter  = 150 * time.Millisecond
	minRetryJitter = 400 * time.Millisecond
	// maxRetryAfter bounds the retry delay: load cannot be predicted further ahead.
	maxRetryAfter = 5 * time.Second
)

// WaitEstimate is the expected wait of a request at its best server.
type WaitEstimate struct {
	// The time since the request arrived, the target time to the first event, and the
	// time after which the caller gives up; 0 if there is none.
	Elapsed, Objective, CallerTimeout time.Duration
	// The time to the first event in arrival order, and the time if all requests that
	// can still meet their objective go first.
	ArrivalOrderWait, DeferredWait time.Duration
}

// Verdict is what to do with a request.
type Verdict int

// Verdicts of Judge, best for the caller first.
const (
	// Admit: the request is served in arrival order.
	Admit Verdict = iota
	// Defer: the request misses its objective anyway and is served after those that
	// do not.
	Defer
	// Reject: the caller would give up before the response begins.
	Reject
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"in turn", "behind", "turned away"}[v] }

// Judge returns the verdict for a request. It is for load above capacity that lasts
// for seconds (a burst of callers, a quarter of the servers down). In arrival order,
// every response is then late by the length of the queue; with the late requests
// moved behind the others, only the excess load is late.
func Judge(o WaitEstimate) Verdict {
	if o.Objective == 0 || o.Elapsed+o.ArrivalOrderWait <= o.Objective {
		return Admit
	}
	if o.CallerTimeout > 0 && o.Elapsed+o.DeferredWait > time.Duration(rejectMargin*float64(o.CallerTimeout)) {
		return Reject
	}
	return Defer
}

// RetryDelay returns the retry delay for a rejected caller: the time until the queue
// ahead of it is short enough to meet its objective. jitter in [0, 1) spreads the
// retries over a span of the same length, so that callers do not return together.
func RetryDelay(o WaitEstimate, jitter float64) time.Duration {
	wait := max(minRetryAfter, o.ArrivalOrderWait-o.Objective)
	return min(maxRetryAfter, wait+time.Duration(jitter*float64(max(minRetryJitter, wait))))
}
