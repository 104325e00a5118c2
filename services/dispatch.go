// Package services routes calls to plain services. A call that must not be
// repeated passes through the replicated record of calls, so that it runs at
// most once.
package services

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/retry"
)

const (
	// maxAnswerBytes bounds the answer of a service.
	maxAnswerBytes = 4 << 20
	// dialTimeout bounds the connecting to a service.
	dialTimeout = time.Second
	// maxTries bounds the servers tried for one call.
	maxTries = 3
	// retryPause and maxRetryPause bound the pause before a retry.
	retryPause    = 5 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
)

// Request is one call of a plain service.
type Request struct {
	Account string
	Service string
	// Key is the caller's idempotency key, or one the system gave.
	Key    string
	Method string
	// Path is decoded; RawPath is how the caller wrote it, empty if it needs
	// no such form.
	Path        string
	RawPath     string
	Query       string
	ContentType string
	Body        []byte
	Call        config.Call
	// Deadline is when the caller stops waiting; zero for none.
	Deadline time.Time
}

// Answer is a whole answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the answer is a recorded one.
	Replayed bool
}

// Dispatcher sends calls to plain services.
type Dispatcher struct {
	entry   string
	control controlv1.Control
	client  *http.Client
	budget  *retry.Budget
	// settling bounds the records that are settled behind their callers.
	settling chan struct{}
	// onRetry is told the kind of each attempt after the first.
	onRetry func(kind string)
}

// NewDispatcher returns a dispatcher of an entry. Its retries come from
// budget; onRetry is told the kind of each.
func NewDispatcher(entry string, control controlv1.Control, budget *retry.Budget, onRetry func(kind string)) *Dispatcher {
	return &Dispatcher{
		entry:    entry,
		control:  control,
		client:   newClient(&http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}),
		budget:   budget,
		settling: make(chan struct{}, maxSettling),
		onRetry:  onRetry,
	}
}

// newClient returns a client that sends each request once. The transport must
// use each connection once: Go's sends some requests again by itself on a
// reused connection that broke. A redirect is the service's answer.
func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do runs a call on one of the servers.
func (d *Dispatcher) Do(ctx context.Context, r *Request, servers []*fleet.Server) (*Answer, *refusal.Error) {
	if !r.Deadline.IsZero() && !time.Now().Before(r.Deadline) {
		return nil, refusal.New(refusal.CodeDeadlineExceeded, "route service call", "the deadline has passed").With(refusal.NotRun)
	}
	d.budget.Earn()
	if r.Call.Repeatable {
		return d.repeatable(ctx, r, servers)
	}
	return d.once(ctx, r, servers)
}

// pick takes the usable server with the least load that was not tried, or nil.
func pick(servers []*fleet.Server, tried map[*fleet.Server]bool) *fleet.Server {
	var left []*fleet.Server
	for _, s := range servers {
		if !tried[s] {
			left = append(left, s)
		}
	}
	if len(left) == 0 {
		return nil
	}
	left = fleet.Usable(left, time.Now())
	best := left[rand.IntN(len(left))]
	for _, s := range left {
		if load(s) < load(best) {
			best = s
		}
	}
	return best
}

// load counts the calls that a server has at hand: its last report, or this
// entry's own calls where they are more.
func load(s *fleet.Server) int64 {
	report := s.Load()
	return max(int64(report.Running+report.Waiting)+s.SinceReport(), s.InFlight())
}

func noServer(r *Request) *refusal.Error {
	return refusal.New(refusal.CodeNoServer, "route service call", "no backend server of service %q can be reached", r.Service)
}

func backoff(retries int) time.Duration {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return retry.Backoff(retries, retryPause, maxRetryPause, random)
}
