package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/upstream"
)

// Bounds of a stream without events, as parts of the time after which callers
// leave one.
const (
	// moveShare is when a stream that may go on elsewhere is taken from a server
	// that sends no event, so that it goes on before its caller leaves.
	moveShare = 0.6
	// endShare is when a stream that cannot go on is ended: its caller has left,
	// or does not keep to what callers do.
	endShare = 1.25
)

// errStalled ends a stream whose server keeps the connection but sends no event.
var errStalled = errors.New("no event for too long")

// stall watches the pause between the events of a stream. Only whole events
// count: a server in trouble may send a byte now and then. A stream is never
// ended for its length, nor for a pause that its caller bears.
type stall struct {
	call    *call
	attempt *attempt

	mu    sync.Mutex
	timer *time.Timer
	last  time.Time
	ended bool
	// stalled says that the watch has ended the stream.
	stalled bool
}

// watchStall begins to watch a stream; it does nothing where it is not known what
// callers bear.
func (c *call) watchStall(a *attempt) *stall {
	w := &stall{call: c, attempt: a, last: time.Now()}
	if c.route.Bears == 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.share(moveShare), w.look)
	return w
}

func (w *stall) share(part float64) time.Duration {
	return time.Duration(part * float64(w.call.route.Bears))
}

// progress notes a whole event.
func (w *stall) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = time.Now()
}

// stop ends the watch.
func (w *stall) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reason is why the reading of a stream ended with an error.
func (w *stall) reason(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stalled {
		return errStalled
	}
	return err
}

// look decides what becomes of a stream without events.
func (w *stall) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	silent := now.Sub(w.last)
	switch {
	case silent >= w.share(endShare), silent >= w.share(moveShare) && w.mayMove(now):
		w.ended, w.stalled = true, true
		w.attempt.cancel(&upstream.Error{Step: upstream.StepBody, Peer: w.attempt.backend.address, Err: errStalled})
	case silent >= w.share(moveShare):
		w.timer.Reset(min(patienceStep, w.share(endShare)-silent))
	default:
		w.timer.Reset(w.share(moveShare) - silent)
	}
}

// mayMove reports whether the stream may go on at another server, and if so takes
// the repeat from the budget.
func (w *stall) mayMove(now time.Time) bool {
	c := w.call
	if !c.route.Resumable || c.sends >= c.route.MaxServers || c.deadline.Sub(now) < 2*leastLeft {
		return false
	}
	if !c.gateway.budget(c.service.Name).Take(now) {
		return false
	}
	c.granted = true
	return true
}
