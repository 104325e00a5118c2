// Package link tracks the network links to the context stores: their estimated
// throughput, the queued bytes, whether the store is considered available, and
// how much of the link's write budget this entry may use.
package link

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateWeight is the smoothing factor of the estimated rate.
	rateWeight = 0.25
	// rateRecoveryHalfLife is the half-life with which an estimated rate returns
	// to the nominal rate while there are no transfers.
	rateRecoveryHalfLife = 5 * time.Second
	// minRateFraction is the lower bound of a measured rate, relative to the
	// nominal rate.
	minRateFraction = 0.01
	// initialBackoff and maxBackoff bound the time for which a store is not used
	// after a failure.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 15 * time.Second
	// writeFraction is the fraction of a link's rate available for writes.
	writeFraction = 0.5
	// writeBurst is the time for which an unused write budget accumulates.
	writeBurst = 2 * time.Second
	// maxReadQueueForWrites is the queueing time of reads above which writes are
	// rejected.
	maxReadQueueForWrites = 200 * time.Millisecond
)

// State is a snapshot of a link for routing decisions.
type State struct {
	// BytesPerSecond is the estimated throughput of transfers.
	BytesPerSecond float64
	// QueuedBytes are the bytes of started reads that have not ended.
	QueuedBytes int64
	// Down is true while the store is not used because of a failure.
	Down bool
	// Probing is true from a failure until a transfer succeeds; once Down is
	// false, transfers test the store.
	Probing bool
}

// QueueSeconds is the estimated time until the queue is empty.
func (s State) QueueSeconds() float64 {
	if s.BytesPerSecond <= 0 {
		return 0
	}
	return float64(s.QueuedBytes) / s.BytesPerSecond
}

// Link is the link to one store, as seen by one entry.
type Link struct {
	mu           sync.Mutex
	nominalRate  float64
	measuredRate float64
	// lastSample is the time of the last transfer with a measured rate.
	lastSample   time.Time
	queuedBytes  int64
	failures     int
	downUntil    time.Time
	writeLimiter *rate.Limiter
}

// New returns a link with the given nominal rate in bytes per second. Its write
// budget is shared among the given number of entries.
func New(nominalRate float64, entries int) *Link {
	budget := writeRate(nominalRate, entries)
	return &Link{
		nominalRate:  nominalRate,
		measuredRate: nominalRate,
		writeLimiter: rate.NewLimiter(rate.Limit(budget), int(budget*writeBurst.Seconds())),
	}
}

// writeRate is one entry's write budget; bytes per second.
func writeRate(nominalRate float64, entries int) float64 {
	return writeFraction * nominalRate / float64(max(1, entries))
}

// Configure sets the nominal rate and the number of entries that share it. The
// measured rate is discarded if the nominal rate changes.
func (l *Link) Configure(nominalRate float64, entries int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nominalRate != nominalRate {
		l.nominalRate, l.measuredRate = nominalRate, nominalRate
	}
	budget := writeRate(nominalRate, entries)
	if l.writeLimiter.Limit() != rate.Limit(budget) {
		l.writeLimiter.SetLimitAt(now, rate.Limit(budget))
		l.writeLimiter.SetBurstAt(now, int(budget*writeBurst.Seconds()))
	}
}

// State returns a snapshot of the link.
func (l *Link) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		BytesPerSecond: l.estimatedRate(now),
		QueuedBytes:    l.queuedBytes,
		Down:           now.Before(l.downUntil),
		Probing:        l.failures > 0,
	}
}

// estimatedRate is the measured rate, which returns to the nominal rate over
// time, so that a link that has recovered is used again.
func (l *Link) estimatedRate(now time.Time) float64 {
	if l.lastSample.IsZero() || l.measuredRate >= l.nominalRate {
		return l.measuredRate
	}
	age := now.Sub(l.lastSample).Seconds() / rateRecoveryHalfLife.Seconds()
	return l.nominalRate - (l.nominalRate-l.measuredRate)*math.Exp2(-age)
}

// Transfer is a read in progress. Cancel, Complete or Fail ends it; further calls
// have no effect.
type Transfer struct {
	link        *Link
	bytes       int64
	queuedAhead int64
}

// Begin queues a read of the given number of bytes.
func (l *Link) Begin(bytes int64) *Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &Transfer{link: l, bytes: bytes, queuedAhead: l.queuedBytes}
	l.queuedBytes += bytes
	return t
}

// Cancel ends a read without recording a result.
func (t *Transfer) Cancel() { t.finish(func(*Link) {}) }

// Complete ends a read that transferred the given number of bytes in the given
// time, and updates the rate estimate.
func (t *Transfer) Complete(transferred int64, duration time.Duration, now time.Time) {
	t.finish(func(l *Link) {
		l.failures, l.downUntil = 0, time.Time{}
		l.recordSample(transferred, t.queuedAhead, duration, now)
	})
}

// Fail ends a read whose store did not respond or stalled. The store is not
// used for a time that doubles with each consecutive failure.
func (t *Transfer) Fail(now time.Time) { t.finish(func(l *Link) { l.recordFailure(now) }) }

// ReportFailure records a failure outside a read.
func (l *Link) ReportFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordFailure(now)
}

// finish removes the read from the queue, at most once.
func (t *Transfer) finish(update func(*Link)) {
	l := t.link
	if l == nil {
		return
	}
	t.link = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= t.bytes
	update(l)
}

// recordFailure ignores failures during a backoff, so that concurrent requests
// which started before it count as one failure.
func (l *Link) recordFailure(now time.Time) {
	if now.Before(l.downUntil) {
		return
	}
	backoff := initialBackoff << min(l.failures, 10)
	l.failures++
	l.downUntil = now.Add(min(backoff, maxBackoff))
}

// recordSample updates the rate estimate. In the measured time the link
// transferred these bytes and about half of the bytes that were queued before
// them.
func (l *Link) recordSample(transferred, queuedAhead int64, duration time.Duration, now time.Time) {
	if transferred <= 0 || duration <= 0 {
		return
	}
	sample := (float64(transferred) + float64(queuedAhead)/2) / duration.Seconds()
	sample = min(max(sample, minRateFraction*l.nominalRate), l.nominalRate)
	current := l.estimatedRate(now)
	l.measuredRate = current + rateWeight*(sample-current)
	l.lastSample = now
}

// AllowWrite takes the given bytes from the write budget, or the full burst if
// that is smaller. It returns false if the budget is insufficient, the store is
// down, or the queued reads are expected to take more than 200 ms.
func (l *Link) AllowWrite(bytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.downUntil) || float64(l.queuedBytes) > maxReadQueueForWrites.Seconds()*l.estimatedRate(now) {
		return false
	}
	return l.writeLimiter.AllowN(now, min(int(bytes), l.writeLimiter.Burst()))
}
