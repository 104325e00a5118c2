package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/intake"
	"github.com/galenaarch/galenaarch/placement"
)

// Intervals and time margins of the gateway.
const (
	closeIdleInterval = time.Second
	// maxResponseMargin and responseMarginShare bound the time that is subtracted from a client's
	// timeout so that the last response still reaches it.
	maxResponseMargin   = 30 * time.Millisecond
	responseMarginShare = 0.1
)

// Gateway serves client requests.
type Gateway struct {
	dialect Dialect
	terms   Terms
	view    *fleetview.View
	stores  *contexts.Watcher
	// follower receives reports of stores and engines that are too busy to be polled
	// by every instance.
	follower *contextrelay.Follower
	peers    *peers
	scorer   placement.Scorer
	policy   *dispatch.Policy
	states   serviceStates
	permits  *permitClient
	serverStatements
	// announceInterval is the time between announcements of a backend server.
	announceInterval time.Duration
	// weightRolloutTime is the time in which all servers are to run a new target
	// version.
	weightRolloutTime time.Duration
	// instance and zone are the name and the failure domain of this instance.
	instance, zone string
	retryLimits    RetryLimits
	logger         *slog.Logger
	metrics        *metrics
	started        time.Time

	routing atomic.Pointer[routingState]
	drain   drainState
	// stopping ends when the process is about to exit and stopRequests ends it: requests
	// in progress then get a response.
	stopping     context.Context
	stopRequests context.CancelFunc
	// interruptions are the requests interrupted by broken connections, evidence what
	// they say about requests and parts of prompts.
	interruptions interruptions
	evidence      *crashEvidence
	bookings      *bookings
	// streams hold which software began the streams that clients may resume.
	streams   *streamRecords
	workTimes workTimes
	inflight  atomic.Int64
	// emptyDomains are the emptied failure domains without requests in progress. Only Run uses it.
	emptyDomains map[string]bool
	// lastArrival is when the last request arrived, by monotonic.
	lastArrival      atomic.Int64
	promptMix        placement.LengthMix
	accessLogLimiter *rate.Limiter
	// unansweredLogLimiter limits the lines for requests that end without a response.
	unansweredLogLimiter *rate.Limiter

	mu           sync.Mutex
	retryBudgets map[string]*retryBudget
}

// Dependencies are the components that a Gateway uses.
type Dependencies struct {
	Dialect  Dialect
	View     *fleetview.View
	Stores   *contexts.Watcher
	Follower *contextrelay.Follower
	Scorer   placement.Scorer
	Policy   *dispatch.Policy
	peers    *peers
}

// New returns the gateway of an instance.
func New(deps Dependencies, s *Settings, logger *slog.Logger, m *metrics) *Gateway {
	g := &Gateway{
		dialect: deps.Dialect, view: deps.View, stores: deps.Stores, follower: deps.Follower, peers: deps.peers, scorer: deps.Scorer, policy: deps.Policy,
		instance: s.Instance, zone: s.FailureDomain, retryLimits: s.RetryLimits, announceInterval: s.AnnounceInterval, weightRolloutTime: s.WeightRolloutTime,
		logger: logger, metrics: m, started: time.Now(), accessLogLimiter: rate.NewLimiter(accessLogRate, accessLogBurst), unansweredLogLimiter: newUnansweredLogLimiter(), retryBudgets: make(map[string]*retryBudget), emptyDomains: make(map[string]bool),
	}
	g.stopping, g.stopRequests = context.WithCancel(context.Background())
	g.permits, g.evidence, g.streams = newPermitClient(g), newCrashEvidence(g), newStreamRecords(g.view, logger)
	g.bookings = newBookings(g, m)
	g.routing.Store(&routingState{entryCount: 1})
	return g
}

// Run applies fleet snapshots until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		changed := g.view.Changed()
		g.rebuild(ctx, g.view.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			g.closeIdle(now)
			g.observeSpread(now)
			for _, server := range g.limits.removeOld(g.routing.Load(), now) {
				g.metrics.rateLimits.DeleteLabelValues(server)
			}
			for _, software := range g.streams.forgotten() {
				g.metrics.begun.DeleteLabelValues(software.Service, software.Version)
			}
			g.leaving.removeOld(now)
			g.logInterruptions(now)
			g.updateRetryBudgets(now)
			g.recordEvacuatedRequests(g.routing.Load())
		}
	}
}

// Ready reports whether this instance accepts client requests.
func (g *Gateway) Ready() bool { return g.routing.Load().table != nil && !g.drain.started() }

// Interface guards.
var (
	_ http.Handler    = (*Gateway)(nil)
	_ intake.Rejecter = (*Gateway)(nil)
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(rw http.ResponseWriter, r *http.Request) { g.serveRequest(rw, r, nil) }

// Reject implements intake.Rejecter.
func (g *Gateway) Reject(rw http.ResponseWriter, r *http.Request) { g.serveRequest(rw, r, nil) }

// serveRequest serves a request of a client, or one that another instance has passed on.
func (g *Gateway) serveRequest(rw http.ResponseWriter, r *http.Request, f *forwardedRequest) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	now := time.Now()
	rs := g.routing.Load()
	c := &call{gateway: g, routing: rs, request: &Request{}, startedAt: now, progress: progress{stage: stageHead}, triedServers: make(map[string]bool), ranServers: make(map[string]bool), triedPeers: make(map[string]bool), forwarded: f}
	if f != nil {
		c.startedAt = now.Add(-f.elapsed)
		rw = &forwardWriter{ResponseWriter: rw, call: c}
	}
	defer g.recoverPanic(rw, r, c)
	g.lastArrival.Store(monotonic(now))
	if g.drain.started() {
		rw.Header().Set("Connection", "close")
	}
	req, err := g.dialect.DecodeRequest(r)
	if err != nil {
		g.reject(rw, c, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	c.request, c.prompt = req, req.Prompt
	if intake.FromContext(r.Context()).GaveWay() {
		c.rejectBody(rw, intake.ErrNoRoom, false)
		return
	}
	if len(req.IgnoredHeaders) > 0 {
		g.logger.Info("unparsable headers ignored", slog.String("request", req.ID), slog.Any("headers", req.IgnoredHeaders))
	}
	if rs.table == nil {
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonNoDocument), c.retryAfter(), nil)
		return
	}
	if f != nil {
		if reason := c.mayAdopt(); reason != "" {
			g.reject(rw, c, http.StatusServiceUnavailable, string(reason), c.retryAfter(), nil)
			return
		}
	}
	if f == nil || f.decision == nil {
		if limit := rs.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(r) > limit {
			g.reject(rw, c, http.StatusRequestHeaderFieldsTooLarge, "head too large", 0, nil)
			return
		}
		if status, reason := c.resolveRoute(r); status != 0 {
			g.reject(rw, c, status, reason, 0, nil)
			return
		}
	}
	if f != nil {
		if reason := c.adoptForwarded(now); reason != "" {
			g.reject(rw, c, http.StatusServiceUnavailable, string(reason), c.retryAfter(), nil)
			return
		}
	}
	if !c.endsInTime() {
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonStopping), drainRetryAfter, nil)
		return
	}
	if !c.readBody(rw, r) {
		return
	}
	// The drain may have started meanwhile.
	if !c.endsInTime() {
		g.reject(rw, c, http.StatusServiceUnavailable, string(reasonStopping), drainRetryAfter, nil)
		return
	}
	c.serve(rw, r)
}

// recoverPanic logs an unexpected panic while handling a request; the process goes on. A
// request without a response yet gets 502, any other panic aborts the connection. It must
// be deferred directly, or it recovers nothing. To abort, it panics again with
// http.ErrAbortHandler, which net/http does not log. The connection of an HTTP/1.0 client
// is reset.
func (g *Gateway) recoverPanic(rw http.ResponseWriter, r *http.Request, c *call) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered != http.ErrAbortHandler {
		g.metrics.panics.Inc()
		g.logger.Error("panic while handling a request", slog.String("path", rawPath(r)), slog.Any("fault", recovered), slog.String("stack", string(debug.Stack())))
		if !c.responded && r.Context().Err() == nil {
			clear(rw.Header())
			rw.Header().Set("Connection", "close")
			g.reject(rw, c, http.StatusBadGateway, "internal error", 0, nil)
			return
		}
	}
	if !c.responded {
		c.recordUnanswered(r, recovered)
	}
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(rw)
	}
	panic(http.ErrAbortHandler)
}

// recoverTimer logs a panic in a timer that serves a request; the request goes on without
// it. It must be deferred directly, or it recovers nothing.
func (g *Gateway) recoverTimer(c *call) {
	if recovered := recover(); recovered != nil {
		g.metrics.panics.Inc()
		g.logger.Error("panic in a timer of a request", slog.String("request", c.request.ID), slog.Any("fault", recovered), slog.String("stack", string(debug.Stack())))
	}
}

// resetConnection resets the connection to a client. A response to an HTTP/1.0 client has
// no chunks and may have no length, so that a closed connection would end it as complete.
func resetConnection(rw http.ResponseWriter) {
	connection, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return // net/http closes it
	}
	if c, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // the connection is closed in any case
	}
	_ = connection.Close()
}

// resolveRoute finds the route, service and account.
func (c *call) resolveRoute(r *http.Request) (status int, reason string) {
	if status, reason := c.matchRoute(r.Host, rawPath(r)); status != 0 {
		return status, reason
	}
	t := c.routing.table
	c.setService(t.Service(c.route.PickTarget(rand.Float64())))
	if c.prompt != nil {
		c.gateway.recordPromptLength(c)
	}
	c.setDeadline(c.allowedTime())
	return 0, ""
}

// matchRoute finds the route and the account.
func (c *call) matchRoute(host, path string) (status int, reason string) {
	t := c.routing.table
	c.route = t.Route(host, path)
	if c.route == nil {
		return http.StatusNotFound, "no route"
	}
	if c.request.AccountKey != "" {
		c.account = t.Account(c.request.AccountKey)
	}
	if c.account == nil && t.RequiresKey(c.route) {
		return http.StatusUnauthorized, "unknown key"
	}
	return 0, ""
}

// allowedTime returns how long the client and the route allow the request to take.
func (c *call) allowedTime() time.Duration {
	if c.request.Timeout > 0 {
		return min(c.route.Timeout, c.request.Timeout)
	}
	return c.route.Timeout
}

// setDeadline sets how long the client and the route allow the request to take.
func (c *call) setDeadline(timeout time.Duration) {
	c.responseMargin = min(maxResponseMargin, time.Duration(responseMarginShare*float64(timeout)))
	c.deadline = c.startedAt.Add(timeout - c.responseMargin)
}

// setService sets the service to which the request is sent.
func (c *call) setService(s *site.Service) {
	c.service, c.state, c.prompt = s, c.gateway.states.get(s.Name), c.promptFor(s)
}

// promptFor returns the prompt by which a service schedules the request; nil for none.
func (c *call) promptFor(s *site.Service) *Prompt {
	if s.Engine == nil || !c.route.DeclaresPrompt {
		return nil
	}
	return c.request.Prompt
}

// accessLogRate and accessLogBurst limit the log lines for ordinary served requests,
// per second and at once: under low load each request is logged, and a burst does not
// flood the log. Long prompts and retried requests are always logged.
const (
	accessLogRate  = 100
	accessLogBurst = 200
)

// shouldLog reports whether a served request gets a log line.
func (g *Gateway) shouldLog(c *call) bool {
	if c.attemptsSent > 1 || (c.prompt != nil && c.prompt.Tokens >= placement.LongPromptTokens) || g.accessLogLimiter.Allow() {
		return true
	}
	g.metrics.unlogged.Inc()
	return false
}

// retryable reports whether the request may run on a second server.
func (c *call) retryable() bool { return c.route.Retryable() }

// retryAfter returns the time after which a client whose request has not run may retry:
// if all servers are paused, the time until the first accepts requests again, and if the
// others are rate-limited, the client's turn at their rate. A quarantined request may
// come back when the quarantine ends.
func (c *call) retryAfter() time.Duration {
	if wait := time.Until(c.quarantinedUntil); wait > 0 {
		return wait
	}
	jitter := rand.Float64()
	if !c.gateway.policy.Enabled(dispatch.RetryJitter) {
		jitter = 0
	}
	wait := time.Until(c.pausedUntil)
	if len(c.rateLimited) > 0 {
		rate := c.gateway.returnRate(c.rateLimited)
		c.state.mu.Lock()
		delay := c.state.returns.Next(rate, jitter, time.Now())
		c.state.mu.Unlock()
		if wait <= 0 || delay < wait {
			wait = delay
		}
	}
	if wait > 0 {
		return wait
	}
	if c.prompt == nil && c.state != nil && !c.mayHaveRun && c.decision.Action == dispatch.Reject {
		if delay, ok := c.returnDelay(jitter, time.Now()); ok {
			return delay
		}
	}
	return admission.RetryDelay(c.decision.Estimate, jitter)
}

// recordPromptLength adds a prompt to the distribution of prompt lengths.
func (g *Gateway) recordPromptLength(c *call) {
	c.state.mu.Lock()
	step := c.state.prefill.StepTokens()
	c.state.mu.Unlock()
	g.promptMix.Observe(c.prompt.Tokens, step, c.startedAt)
}
