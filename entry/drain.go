package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/httpserver"
)

const (
	// drainMargin is added to the directory TTL to cover directory responses
	// that were in transit when this entry was removed from the directory.
	drainMargin       = time.Second
	drainPollInterval = 20 * time.Millisecond
	// lingerTime is how long connections are served after the listener has closed and after
	// their last request, so that requests which are on their way get a response.
	lingerTime = 100 * time.Millisecond
	// refuseTimeout is how long the requests in progress get for their refusals when the
	// time for a drain is over.
	refuseTimeout = 150 * time.Millisecond
)

// Phases of a graceful shutdown.
const (
	phaseServing int32 = iota
	// phaseUnlisted: removed from the directory but still accepting requests.
	phaseUnlisted
	// phaseRejecting: cached directory responses have expired; new requests are
	// rejected.
	phaseRejecting
)

// requestTracker tracks the requests and connections of the client-facing
// listener, and the shutdown phase.
type requestTracker struct {
	phase    atomic.Int32
	inFlight atomic.Int64
	// stopping ends the contexts of the requests in progress.
	stopping context.Context
	stop     context.CancelFunc

	mu sync.Mutex
	// idleSince is when each idle connection became idle.
	idleSince map[net.Conn]time.Time
	active    map[net.Conn]bool
}

func newRequestTracker() *requestTracker {
	t := &requestTracker{idleSince: make(map[net.Conn]time.Time), active: make(map[net.Conn]bool)}
	t.stopping, t.stop = context.WithCancel(context.Background())
	return t
}

// trackConn implements the http.Server.ConnState hook.
func (t *requestTracker) trackConn(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.idleSince, conn)
	delete(t.active, conn)
	switch state {
	case http.StateNew, http.StateIdle:
		t.idleSince[conn] = time.Now()
	case http.StateActive:
		t.active[conn] = true
	}
}

// quiescent reports whether no request is in flight and every connection has
// been idle for the window. A client may be about to send on a connection that
// was used more recently.
func (t *requestTracker) quiescent(now time.Time, window time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.active) > 0 || t.inFlight.Load() > 0 {
		return false
	}
	for _, since := range t.idleSince {
		if now.Sub(since) < window {
			return false
		}
	}
	return true
}

// errDrainEnded ends the requests that are in progress when the time for a drain is over.
var errDrainEnded = errors.New("the time for the drain is over")

// wrap counts requests, and ends them when the time for a drain is over. During a drain it
// also tells clients to close their connection after the response.
func (t *requestTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.inFlight.Add(1)
		defer t.inFlight.Add(-1)
		if t.phase.Load() != phaseServing {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(t.stopping, func() { cancel(errDrainEnded) })()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// endRequests ends the requests in progress and waits until they have been refused, at most
// refuseTimeout.
func (t *requestTracker) endRequests() {
	t.phase.Store(phaseRejecting)
	t.stop()
	for end := time.Now().Add(refuseTimeout); t.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// rejectIfDraining rejects new requests in the last phase of a drain.
func (e *Entry) rejectIfDraining() *refusal.Error {
	if e.tracker.phase.Load() != phaseRejecting {
		return nil
	}
	return e.withAlternatives(refusal.New(refusal.CodeDraining, "accept request", "this entry is shutting down"))
}

// Drain implements kernel.Drainer. It removes the entry from the directory,
// accepts requests until cached directory responses have expired, waits for all
// requests to finish and closes the listener. Only ctx bounds its duration: requests that
// are then in progress are refused.
func (e *Entry) Drain(ctx context.Context) error {
	err := e.drain(ctx)
	if err != nil {
		e.logger.Info("drain ended with requests in progress", slog.Int64("requests", e.tracker.inFlight.Load()), slog.Any("error", err))
		e.tracker.endRequests()
	}
	return err
}

// drain is Drain without the end of the requests in progress.
func (e *Entry) drain(ctx context.Context) error {
	const step = "drain requests"
	ttl := e.directoryTTL()
	e.tracker.phase.Store(phaseUnlisted)
	e.node.Drain(context.WithoutCancel(ctx))
	e.logger.Info("drain started", slog.Duration("accepting_for", ttl+drainMargin))
	if !sleep(ctx, ttl+drainMargin) {
		return eris.Wrap(ctx.Err(), step)
	}
	e.tracker.phase.Store(phaseRejecting)
	e.logger.Info("drain: rejecting new requests", slog.Int64("requests", e.tracker.inFlight.Load()))
	for !e.tracker.quiescent(time.Now(), ttl) {
		if !sleep(ctx, drainPollInterval) {
			return eris.Wrap(ctx.Err(), step)
		}
	}
	return eris.Wrap(e.closePublic(ctx), step)
}

// closePublic closes the client-facing listener, and its server once the connections are idle, by
// checks in which the process did not stand still.
// Shutdown of http.Server closes connections whose request it reads afterwards without calling
// the handler.
func (e *Entry) closePublic(ctx context.Context) error {
	if err := httpserver.CloseListener(e.publicListener); err != nil {
		e.logger.Warn("listener not closed", slog.Any("error", err))
	}
	closedAt := time.Now()
	for quietFor := httpserver.NewQuiet(closedAt, lingerTime/2); ; {
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
		if now := time.Now(); quietFor.Check(now, closedAt) < lingerTime || !e.tracker.quiescent(now, lingerTime) {
			continue
		}
		if err := e.public.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil // Serve has not returned yet
	}
}

// sleep reports whether d elapsed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
