// Package httpserver creates HTTP servers with limits on header size, body size,
// read time and concurrent requests.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits of one HTTP server.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// MaxConcurrentRequests is the maximum number of concurrent requests,
	// including long polls. 0 means no limit, for handlers that limit
	// concurrency themselves.
	MaxConcurrentRequests int64
	// ReadTimeout is the time limit for reading a whole request. 0 means no
	// limit, for handlers that set one themselves.
	ReadTimeout time.Duration
}

// Limits that apply to every server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Limits for the kinds of listeners.
var (
	// InternalLimits applies to listeners for the system's own processes and for
	// backend servers.
	InternalLimits = Limits{MaxBodyBytes: 16 << 20, MaxConcurrentRequests: 4096, ReadTimeout: time.Minute}
	// MetricsLimits applies to listeners for metrics.
	MetricsLimits = Limits{MaxBodyBytes: 64 << 10, MaxConcurrentRequests: 64, ReadTimeout: headerTimeout}
)

// New returns a server that enforces limits on handler. Requests above the
// concurrency limit get a 503 response without reaching the handler.
func New(handler http.Handler, limits Limits) *http.Server {
	handler = http.MaxBytesHandler(handler, limits.MaxBodyBytes)
	if limits.MaxConcurrentRequests > 0 {
		handler = &concurrencyLimiter{next: handler, limit: limits.MaxConcurrentRequests}
	}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// concurrencyLimiter rejects requests while limit requests are in flight.
type concurrencyLimiter struct {
	next     http.Handler
	limit    int64
	inFlight atomic.Int64
}

// ServeHTTP implements http.Handler.
func (c *concurrencyLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer c.inFlight.Add(-1)
	if c.inFlight.Add(1) > c.limit {
		http.Error(w, "too many requests at once", http.StatusServiceUnavailable)
		return
	}
	c.next.ServeHTTP(w, r)
}

// Requests tracks the requests of servers that are to stop without leaving one of them
// unanswered. Shutdown of http.Server closes a connection whose request it reads afterwards,
// without calling the handler.
type Requests struct {
	open     atomic.Int64
	draining atomic.Bool
	// drained is set at the end of a drain; requests that follow are rejected.
	drained atomic.Bool
	// activeAt is when the last request arrived or was handled, as the time since epoch: a step of the
	// time of day is no passing of time.
	activeAt atomic.Int64

	mu sync.Mutex
	// cancels end the requests in progress.
	cancels map[*context.CancelFunc]struct{}
	expired bool
}

const (
	// drainPollInterval is how often Drain checks for requests.
	drainPollInterval = 5 * time.Millisecond
	// answerTimeout is how long requests that a drain ends get for their responses.
	answerTimeout = 150 * time.Millisecond
)

// epoch is where activeAt counts from.
var epoch = time.Now()

// noteActive records a request.
func (t *Requests) noteActive(now time.Time) { t.activeAt.Store(int64(now.Sub(epoch))) }

// lastActive returns the time of the last request.
func (t *Requests) lastActive() time.Time { return epoch.Add(time.Duration(t.activeAt.Load())) }

// Track returns a handler that tracks the requests to next. During a drain responses end
// their connections, and after it requests are rejected without reaching next.
func (t *Requests) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.open.Add(1)
		t.noteActive(time.Now())
		defer func() {
			t.noteActive(time.Now())
			t.open.Add(-1)
		}()
		if t.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if t.drained.Load() {
			w.Header().Set("Retry-After", "0")
			http.Error(w, "this instance is shutting down", http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer t.endable(&cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// endable registers the function that ends a request, and returns that which cancels it and
// removes it again.
func (t *Requests) endable(cancel *context.CancelFunc) (remove func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired {
		(*cancel)()
	}
	if t.cancels == nil {
		t.cancels = make(map[*context.CancelFunc]struct{})
	}
	t.cancels[cancel] = struct{}{}
	return func() {
		(*cancel)()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancels, cancel)
	}
}

// expire ends the requests in progress and those that follow, so that they get a response.
func (t *Requests) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired = true
	for cancel := range t.cancels {
		(*cancel)()
	}
}

// awaitEnd waits until no request is in progress, at most answerTimeout.
func (t *Requests) awaitEnd(ticks <-chan time.Time) {
	for end := time.Now().Add(answerTimeout); t.open.Load() > 0 && time.Now().Before(end); {
		<-ticks
	}
}

// Drain closes the listeners as CloseListener does, and waits until no request has been in
// progress for the time quiet, in which the process did not stand still, or ctx is done. The
// contexts of the requests in progress then end, and they have answerTimeout to respond.
// Requests that follow are rejected: the process stops, and nobody waits for them.
//
// Invariant: a request that was read gets a response if its handler respects its context.
func (t *Requests) Drain(ctx context.Context, quiet time.Duration, listeners ...net.Listener) error {
	t.draining.Store(true)
	var errs []error
	for _, l := range listeners {
		errs = append(errs, CloseListener(l))
	}
	now := time.Now()
	t.noteActive(now)
	quietFor := NewQuiet(now, quiet/2)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.drained.Store(true)
			t.expire()
			t.awaitEnd(ticker.C)
			if t.open.Load() > 0 {
				errs = append(errs, ctx.Err())
			}
			return errors.Join(errs...)
		case <-ticker.C: // received long after its time by a process that stood still
			idle := t.open.Load() == 0
			if quietFor.Check(time.Now(), t.lastActive()) < quiet || !idle {
				continue
			}
			t.drained.Store(true)
			if t.open.Load() == 0 { // none has begun since the check
				return errors.Join(errs...)
			}
		}
	}
}
