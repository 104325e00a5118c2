// Package httpserver creates HTTP servers with limits on header size, body size,
// read time and concurrent requests.
package httpserver

import (
	"net/http"
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
