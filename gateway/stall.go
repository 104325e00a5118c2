package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/upstream"
)

// Timeouts of a stream without events, as shares of the time after which clients
// abandon it.
const (
	// failoverShare is when a resumable stream is taken from a server that sends no
	// event, so that it resumes before its client leaves.
	failoverShare = 0.6
	// abortShare is when a stream that cannot resume is aborted: its client has left,
	// or has waited longer than the time after which clients are specified to leave.
	abortShare = 1.25
)

// errStalled aborts a stream whose server keeps the connection but sends no event.
var errStalled = errors.New("stream stalled: no event within the timeout")

// stallWatch monitors the time between the events of a stream. Only complete events
// count: a faulty server may send single bytes at long intervals. A stream is never
// aborted for its length. After a pause of failoverShare of the client's timeout, while
// the client still waits, it is canceled only if it can resume on another server and the
// retry budget allows it; after abortShare it is canceled in any case.
type stallWatch struct {
	call    *call
	attempt *attempt

	mu          sync.Mutex
	timer       *time.Timer
	lastEventAt time.Time
	// ended is set by stop, and when check cancels the stream: no check follows.
	ended bool
	// stalled is set when check cancels the stream for a pause, so that the failed read
	// is reported as errStalled.
	stalled bool
}

// startStallWatch starts to monitor a stream. It does nothing if the clients'
// tolerance is not known.
func (c *call) startStallWatch(a *attempt) *stallWatch {
	w := &stallWatch{call: c, attempt: a, lastEventAt: time.Now()}
	if c.route.ClientTimeout == 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.fraction(failoverShare), w.check)
	return w
}

// fraction returns a share of the route's client timeout.
func (w *stallWatch) fraction(share float64) time.Duration {
	return time.Duration(share * float64(w.call.route.ClientTimeout))
}

// progress records a complete event.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventAt = time.Now()
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// readError returns the error for a failed read of the stream.
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
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	sinceEvent := now.Sub(w.lastEventAt)
	switch {
	case sinceEvent >= w.fraction(abortShare), sinceEvent >= w.fraction(failoverShare) && w.tryFailOver(now):
		w.ended, w.stalled = true, true
		w.attempt.cancel(&upstream.Error{Phase: upstream.PhaseReadBody, Address: w.attempt.backend.address, Err: errStalled})
	case sinceEvent >= w.fraction(failoverShare):
		w.timer.Reset(min(recheckInterval, w.fraction(abortShare)-sinceEvent))
	default:
		w.timer.Reset(w.fraction(failoverShare) - sinceEvent)
	}
}

// tryFailOver reports whether the stream may resume on another server. If so, it takes
// the retry from the budget and sets retryGranted, so that takeRetry takes no second one.
func (w *stallWatch) tryFailOver(now time.Time) bool {
	c := w.call
	if !c.route.Resumable || c.attemptsSent >= c.route.MaxServers || c.deadline.Sub(now) < 2*minAttemptTime {
		return false
	}
	if !c.gateway.retryBudget(c.service.Name).TryRetry(now) {
		return false
	}
	c.retryGranted = true
	return true
}
