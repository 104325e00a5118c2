package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets in a window; counts expire by whole buckets.
const windowBuckets = 10

// Window bounds the retries within any time span of a fixed length. Each entry
// instance holds one share of a global bound. The share of a lost instance stays
// unused, because the instance may still be running. It is safe for concurrent use.
type Window struct {
	// bucket is the length of a bucket.
	bucket time.Duration

	mu           sync.Mutex
	ratio, slack float64
	// start is when bucket 0 began. Buckets are numbered by the monotonic clock: the time of
	// day may be set.
	start    time.Time
	requests [windowBuckets]int
	retries  [windowBuckets + 1]int
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
	if index-w.current > windowBuckets {
		w.requests, w.retries = [windowBuckets]int{}, [windowBuckets + 1]int{}
		w.current = index
	}
	for ; w.current < index; w.current++ {
		w.requests[(w.current+1)%windowBuckets] = 0
		w.retries[(w.current+1)%(windowBuckets+1)] = 0
	}
}

// RecordRequest records a first attempt.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%windowBuckets]++
}

// TryRetry records a retry if the bound allows one, and reports whether it does.
func (w *Window) TryRetry(now time.Time) bool { return w.TryRetries(now, 1) }

// TryRetries records n retries if the bound allows them all, and reports whether it does.
func (w *Window) TryRetries(now time.Time, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allows(now, n) {
		return false
	}
	w.retries[w.current%(windowBuckets+1)] += n
	return true
}

// Refund removes a retry that was recorded at a time and not used. One that has expired is
// gone already.
func (w *Window) Refund(now, recorded time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	index := w.bucketAt(recorded)
	if slot := index % (windowBuckets + 1); w.current-index <= windowBuckets && w.retries[slot] > 0 {
		w.retries[slot]--
	}
}

// Allows reports whether the bound allows n retries now, without recording them.
func (w *Window) Allows(now time.Time, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(now, n)
}

// allows is Allows for a caller that holds w.mu.
func (w *Window) allows(now time.Time, n int) bool {
	u := w.usage(now)
	return float64(u.Retries+n) <= u.Allowed
}

// Usage is what a window counts at one moment.
type Usage struct {
	Requests, Retries int
	// Allowed is the bound on Retries.
	Allowed float64
}

// Usage returns what the window counts now.
func (w *Window) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage(now)
}

// usage is Usage for a caller that holds w.mu.
func (w *Window) usage(now time.Time) (u Usage) {
	w.advance(now)
	for _, count := range w.requests {
		u.Requests += count
	}
	for _, count := range w.retries {
		u.Retries += count
	}
	u.Allowed = w.ratio*float64(u.Requests) + w.slack
	return u
}
