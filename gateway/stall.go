package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/upstream"
)

// failoverShare is when a resumable stream is taken from a server that sends no event, so that it
// resumes before its client leaves: as a share of the time after which clients abandon a stream
// without events.
const failoverShare = 0.6

// errStalled takes a stream from a server that keeps the connection but sends no event.
var errStalled = errors.New("stream stalled: no event within the timeout")

// stallWatch monitors the time between the events of a stream. Only complete events
// count: a faulty server may send single bytes at long intervals. After a pause of failoverShare of
// the client's timeout, while the client still waits, the stream is canceled once another server
// takes it over.
//
// Invariant: a stream does not end for its length or for its server's silence. The server may go
// on, and it is the client, or the deadline, that ends the wait for it.
type stallWatch struct {
	call    *call
	stream  *stream
	attempt *attempt
	// lastEventAt is the time of the last event, by monotonic.
	lastEventAt atomic.Int64
	// timeout is how long the server may send no event, in nanoseconds.
	timeout atomic.Int64
	// forwarding is set while events are written to the client: meanwhile nothing is
	// read, and the server is not silent.
	forwarding atomic.Bool
	// ctx and endSearches end the search for another server when the watch stops,
	// cancelSearch ends the current one.
	ctx          context.Context
	endSearches  context.CancelFunc
	cancelSearch atomic.Pointer[context.CancelFunc]

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the timer ends; zero without one.
	dueAt time.Time
	// ended is set by stop, and when check cancels the stream: no check follows.
	ended bool
	// stalled is set when check cancels the stream for a pause, so that the failed read
	// is reported as errStalled.
	stalled bool
}

// startStallWatch starts to monitor a stream. It does nothing if the clients'
// tolerance is not known.
func (c *call) startStallWatch(ctx context.Context, s *stream, a *attempt) *stallWatch {
	w := &stallWatch{call: c, stream: s, attempt: a}
	w.ctx, w.endSearches = context.WithCancel(ctx)
	w.lastEventAt.Store(monotonic(time.Now()))
	if c.route.ClientTimeout == 0 || a.forward != nil {
		return w // another instance watches its server itself
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now, timeout := time.Now(), w.fraction(failoverShare)
	if s.headersSent || c.leftSilent {
		// The client has waited for the next event since before this server was asked.
		client := c.clientTime(now)
		timeout = client.EventTimeout(timeout, now)
	}
	w.timeout.Store(int64(timeout))
	w.dueAt = now.Add(timeout)
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// schedule sets the time of the next check. The caller holds w.mu.
func (w *stallWatch) schedule(wait time.Duration) {
	w.dueAt = time.Now().Add(wait)
	w.timer.Reset(wait)
}

// late reports whether a check comes so late that this process must have stood still. Events
// that have arrived meanwhile are not read yet: they must not count as silence of the server.
func (w *stallWatch) late(now time.Time) bool {
	return !w.dueAt.IsZero() && now.Sub(w.dueAt) > recheckInterval
}

// fraction returns a share of the route's client timeout.
func (w *stallWatch) fraction(share float64) time.Duration {
	return time.Duration(share * float64(w.call.route.ClientTimeout))
}

// forward runs write, which writes what was read to the client and reports whether that
// contained a complete event.
func (w *stallWatch) forward(write func() bool) {
	w.forwarding.Store(true)
	defer w.forwarding.Store(false)
	if write() {
		w.progress()
	}
}

// progress records a complete event.
func (w *stallWatch) progress() {
	w.lastEventAt.Store(monotonic(time.Now()))
	w.timeout.Store(int64(w.fraction(failoverShare)))
	if cancel := w.cancelSearch.Load(); cancel != nil {
		(*cancel)()
	}
}

// stop ends the watch. Until then the call may be used by the watch.
func (w *stallWatch) stop() {
	w.endSearches()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// readError returns the error for a failed read of the stream, after stop.
func (w *stallWatch) readError(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stalled {
		return errStalled
	}
	return err
}

// check cancels the stream if it has stalled, or schedules the next check.
func (w *stallWatch) check() {
	defer w.call.gateway.recoverTimer(w.call)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	// This is read first: a write that ends now has updated lastEventAt before.
	forwarding := w.forwarding.Load()
	now := time.Now()
	lastEventAt, timeout := fromMonotonic(w.lastEventAt.Load()), time.Duration(w.timeout.Load())
	sinceEvent := now.Sub(lastEventAt)
	switch {
	case forwarding, w.late(now):
		w.schedule(recheckInterval)
	case sinceEvent >= timeout && w.tryFailOver(lastEventAt, now):
		w.ended, w.stalled = true, true
		w.attempt.cancel(&upstream.Error{Phase: upstream.PhaseReadBody, Address: w.attempt.backend.address, Err: errStalled})
	case sinceEvent >= timeout:
		w.schedule(recheckInterval)
	default:
		w.schedule(timeout - sinceEvent)
	}
}

// tryFailOver reports whether another server takes over the stream. It does not if an event
// arrives meanwhile.
func (w *stallWatch) tryFailOver(lastEventAt, now time.Time) bool {
	c := w.call
	if w.stream.unnumbered.Load() || !c.maySwitchServer(w.attempt.backend, now) {
		return false
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.cancelSearch.Store(&cancel)
	defer w.cancelSearch.Store(nil)
	if !c.reserveReplacement(ctx, w.attempt.backend, lastEventAt) {
		return false
	}
	if w.forwarding.Load() || w.lastEventAt.Load() != monotonic(lastEventAt) {
		c.releaseReserved()
		return false
	}
	c.leftSilent = true
	return true
}
