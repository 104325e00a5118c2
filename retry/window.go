package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in a window; counts expire by whole buckets.
	windowBuckets = 10
	// retryBuckets are those of retries: the current one, those of one window before it, and
	// those of one window after it for retries that may still arrive.
	retryBuckets = windowBuckets + 1 + windowBuckets
)

// Window bounds the retries that arrive at servers within any time span of a fixed length.
// Each entry instance holds one share of a global bound. The share of a lost instance stays
// unused, because the instance may still be running. It is safe for concurrent use.
//
// Invariant: a retry counts from when it is granted until one span after it has arrived at the
// latest, or until it is returned unsent. What is granted in one span and sent in the next
// would otherwise arrive together with what is granted there.
type Window struct {
	// bucket is the length of a bucket.
	bucket time.Duration

	mu           sync.Mutex
	ratio, slack float64
	// start is when bucket 0 began. Buckets are numbered by the monotonic clock: the time of
	// day may be set.
	start    time.Time
	requests [windowBuckets]int
	retries  [retryBuckets]int
	// open counts the retries granted and neither sent nor returned.
	open int
	// current is the number of the current bucket.
	current int64
}

// NewWindow returns a window that allows, in any span, ratio retries per request plus
// slack.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{bucket: span / windowBuckets, ratio: ratio, slack: slack}
}

// SetLimits changes the bound.
func (w *Window) SetLimits(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// bucketAt returns the number of the bucket of a time. mu must be held.
func (w *Window) bucketAt(t time.Time) int64 {
	if w.start.IsZero() {
		w.start = t
	}
	return int64(t.Sub(w.start) / w.bucket)
}

// advance drops expired buckets. Retries are kept one bucket longer than requests, so
// that a span that starts within a bucket never contains more retries than are
// counted here.
func (w *Window) advance(now time.Time) {
	index := w.bucketAt(now)
	if index-w.current > retryBuckets {
		w.requests, w.retries = [windowBuckets]int{}, [retryBuckets]int{}
		w.current = index
	}
	for ; w.current < index; w.current++ {
		w.requests[(w.current+1)%windowBuckets] = 0
		w.retries[(w.current+1+windowBuckets)%retryBuckets] = 0
	}
}

// RecordRequest records a first attempt.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%windowBuckets]++
}

// TryRetry grants a retry if the bound allows one, and reports whether it does. It must be
// ended by Sent or Return.
func (w *Window) TryRetry(now time.Time) bool { return w.TryRetries(now, 1) }

// TryRetries grants n retries if the bound allows them all, and reports whether it does.
func (w *Window) TryRetries(now time.Time, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allows(now, n) {
		return false
	}
	w.open += n
	return true
}

// Return ends n granted retries that were not sent.
func (w *Window) Return(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open -= n
}

// Sent ends a granted retry that has arrived by a time, which may be up to one span ahead.
func (w *Window) Sent(now, arrivedBy time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	index := min(max(w.bucketAt(arrivedBy), w.current), w.current+windowBuckets)
	w.open--
	w.retries[index%retryBuckets]++
}

// Allows reports whether the bound allows n retries now, without granting them.
func (w *Window) Allows(now time.Time, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(now, n)
}

// allows is Allows for a caller that holds w.mu.
func (w *Window) allows(now time.Time, n int) bool {
	u := w.usage(now)
	return float64(u.Sent+u.Open+n) <= u.Allowed
}

// Usage is what a window counts at one moment.
type Usage struct {
	// Requests and Sent are counted in the current span, Open are granted and not sent.
	Requests, Sent, Open int
	// Allowed is the bound on the sum of Sent and Open.
	Allowed float64
}

// Usage returns what the window counts now.
func (w *Window) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage(now)
}

// usage is Usage for a caller that holds w.mu.
func (w *Window) usage(now time.Time) Usage {
	w.advance(now)
	u := Usage{Open: w.open}
	for _, count := range w.requests {
		u.Requests += count
	}
	for _, count := range w.retries {
		u.Sent += count
	}
	u.Allowed = w.ratio*float64(u.Requests) + w.slack
	return u
}
