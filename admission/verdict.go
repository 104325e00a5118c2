package admission

import "time"

// Parameters of a verdict.
const (
	// rejectMargin is the factor by which the expected wait must exceed the time that the
	// client still waits for the request to be rejected: waits are estimates, and a client that
	// might be served must not be turned away.
	rejectMargin = 1.25
	// minRetryAfter is the minimum retry delay, minRetryJitter the minimum span over
	// which clients that are rejected at the same moment retry.
	minRetryAfter  = 150 * time.Millisecond
	minRetryJitter = 400 * time.Millisecond
	// maxRetryAfter bounds the retry delay: load cannot be predicted further ahead.
	maxRetryAfter = 5 * time.Second
)

// WaitEstimate is the expected wait of a request at its best server.
type WaitEstimate struct {
	// Elapsed is the time since the request arrived, or since the last event of its stream;
	// Objective is the target for the time to the next event, 0 if there is none.
	Elapsed, Objective time.Duration
	// Patience is how much longer the client waits, from now.
	Patience time.Duration
	// ArrivalOrderWait is the expected time from now to the first event in arrival
	// order, DeferredWait that time if all requests that can still meet their
	// objective go first.
	ArrivalOrderWait, DeferredWait time.Duration
}

// Verdict is what to do with a request.
type Verdict int

// Verdicts of Judge, best for the client first.
const (
	// Admit: the request is served in arrival order.
	Admit Verdict = iota
	// Defer: the request misses its objective anyway and is served after those that
	// do not.
	Defer
	// Reject: the client would give up before the response begins, in arrival order too.
	Reject
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"in turn", "behind", "turned away"}[v] }

// OnTime reports whether the request meets its objective in arrival order.
func (e *WaitEstimate) OnTime() bool {
	return e.Objective == 0 || e.Elapsed+e.ArrivalOrderWait <= e.Objective
}

// Judge returns the verdict for a request. It is for load above capacity that lasts
// for seconds (a burst of requests, a quarter of the servers down). In arrival order,
// every response is then late by the length of the queue; with the late requests
// moved behind the others, only the excess load is late. A late request is moved only as far as
// its client's time allows: otherwise it is served in arrival order, and it is rejected only if
// that is too late as well. A request without an objective is always admitted.
func Judge(e WaitEstimate) Verdict {
	switch {
	case e.OnTime():
		return Admit
	case e.DeferredWait <= e.Patience:
		return Defer
	case float64(e.ArrivalOrderWait) <= rejectMargin*float64(e.Patience):
		return Admit
	}
	return Reject
}

// RetryDelay returns the retry delay for a rejected request: the time until the queue
// ahead of it is short enough to meet its objective, at least minRetryAfter and at
// most maxRetryAfter. jitter in [0, 1) spreads the retries over a span of the same
// length, so that clients do not retry together.
func RetryDelay(e WaitEstimate, jitter float64) time.Duration {
	wait := max(minRetryAfter, e.ArrivalOrderWait-e.Objective)
	return min(maxRetryAfter, wait+time.Duration(jitter*float64(max(minRetryJitter, wait))))
}
