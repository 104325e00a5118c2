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
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
	"github.com/galenaarch/galenaarch/retry"
)

// Times of the gateway.
const (
	trimEvery = time.Second
	// answerMargin is kept of a caller's patience, so that the last answer still
	// reaches it.
	answerMargin = 30 * time.Millisecond
)

// Bounds is what the deployment allows all entry instances together.
type Bounds struct {
	// RepeatRatio and RepeatSlack bound the requests that are sent again to a
	// service, in any RepeatWindow.
	RepeatRatio, RepeatSlack float64
	RepeatWindow             time.Duration
}

// budgetShare is the part of the bound on repeats that is used: an instance that
// restarts has forgotten what it spent.
const budgetShare = 0.8

// Gateway serves callers' requests.
type Gateway struct {
	dialect Dialect
	view    *fleetview.View
	stores  *contexts.Watch
	// follower hears of stores and engines that are too busy for each instance.
	follower *contextrelay.Follower
	peers    *peers
	scorer   placement.Scorer
	policy   *dispatch.Policy
	rooms    rooms
	leavers  leavers
	// interval is how often backend servers announce themselves.
	interval time.Duration
	// weightsWithin is the time in which all servers are to run the weights asked
	// for.
	weightsWithin time.Duration
	// instance and zone name this instance and its failure domain.
	instance, zone string
	bounds         Bounds
	logger         *slog.Logger
	metrics        *metrics
	started        time.Time

	world    atomic.Pointer[world]
	stopping stopping
	needs    needs
	inflight atomic.Int64
	// arrived is when the last request came; nanoseconds of Unix time.
	arrived atomic.Int64
	mix     placement.Mix
	lines   *rate.Limiter

	mu      sync.Mutex
	budgets map[string]*retry.Window
}

// Parts are what a gateway is made of.
type Parts struct {
	Dialect  Dialect
	View     *fleetview.View
	Stores   *contexts.Watch
	Follower *contextrelay.Follower
	Scorer   placement.Scorer
	Policy   *dispatch.Policy
	peers    *peers
}

// New returns the gateway of an instance.
func New(parts Parts, s *Settings, logger *slog.Logger, m *metrics) *Gateway {
	g := &Gateway{
		dialect: parts.Dialect, view: parts.View, stores: parts.Stores, follower: parts.Follower, peers: parts.peers, scorer: parts.Scorer, policy: parts.Policy,
		instance: s.Instance, zone: s.FailureDomain, bounds: s.Bounds, interval: s.AnnounceInterval, weightsWithin: s.WeightsWithin,
		logger: logger, metrics: m, started: time.Now(), lines: rate.NewLimiter(servedLines, servedBurst), budgets: make(map[string]*retry.Window),
	}
	g.world.Store(&world{entries: 1})
	return g
}

// Run follows the picture of the fleet until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(trimEvery)
	defer ticker.Stop()
	for {
		changed := g.view.Changed()
		g.rebuild(ctx, g.view.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			g.trim(now)
			g.shareBudgets(now)
		}
	}
}

// Ready reports whether callers may be sent here.
func (g *Gateway) Ready() bool { return g.world.Load().table != nil && !g.stopping.begun() }

// budget is the bound on repeats to a service.
func (g *Gateway) budget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		w = retry.NewWindow(g.bounds.RepeatWindow, budgetShare*g.bounds.RepeatRatio, g.slack(time.Now()))
		g.budgets[service] = w
	}
	return w
}

// slack is this instance's share of the constant part. It grows with the life
// of the process: the one before it may just have spent the whole share.
func (g *Gateway) slack(now time.Time) float64 {
	grown := min(1, float64(now.Sub(g.started))/float64(g.bounds.RepeatWindow))
	return budgetShare * g.bounds.RepeatSlack * grown / float64(g.world.Load().entries)
}

func (g *Gateway) shareBudgets(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.budgets {
		w.SetSlack(g.slack(now))
	}
}

// Interface guard.
var _ http.Handler = (*Gateway)(nil)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	defer g.caught(r)
	now := time.Now()
	g.arrived.Store(now.UnixNano())
	if g.stopping.begun() {
		rw.Header().Set("Connection", "close")
	}
	w := g.world.Load()
	req, err := g.dialect.Request(r)
	if err != nil {
		g.refuse(rw, &call{began: now, request: &Request{}}, http.StatusBadRequest, "malformed", 0, err)
		return
	}
	c := &call{gateway: g, world: w, request: req, began: now, prompt: req.Prompt, tried: make(map[string]bool)}
	if len(req.Ignored) > 0 {
		g.logger.Info("headers not understood", slog.String("request", req.ID), slog.Any("headers", req.Ignored))
	}
	if w.table == nil {
		g.refuse(rw, c, http.StatusServiceUnavailable, "no document yet", c.comeBack(), nil)
		return
	}
	if limit := w.table.Limits.HeaderBytes; limit > 0 && headBytes(r) > limit {
		g.refuse(rw, c, http.StatusRequestHeaderFieldsTooLarge, "head too large", 0, nil)
		return
	}
	if status, reason := c.admit(r); status != 0 {
		g.refuse(rw, c, status, reason, 0, nil)
		return
	}
	if needed := g.needs.of(c.route.Name, c.deadline.Sub(c.began)); !g.stopping.takes(now, needed) {
		g.refuse(rw, c, http.StatusServiceUnavailable, "stopping", goElsewhere, nil)
		return
	}
	if !c.read(rw, r) {
		return
	}
	c.serve(rw, r)
}

// caught logs a fault in the handling of one request, whose connection then ends;
// the process goes on.
func (g *Gateway) caught(r *http.Request) {
	fault := recover()
	if fault == nil {
		return
	}
	if fault != http.ErrAbortHandler {
		g.metrics.faults.Inc()
		g.logger.Error("fault in a request", slog.String("path", rawPath(r)), slog.Any("fault", fault), slog.String("stack", string(debug.Stack())))
	}
	panic(http.ErrAbortHandler)
}

// admit finds route, service and account.
func (c *call) admit(r *http.Request) (status int, reason string) {
	t := c.world.table
	c.route = t.Route(r.Host, rawPath(r))
	if c.route == nil {
		return http.StatusNotFound, "no route"
	}
	if c.request.Key != "" {
		c.account = t.Account(c.request.Key)
	}
	if c.account == nil && t.NeedsKey(c.route) {
		return http.StatusUnauthorized, "unknown key"
	}
	c.service = t.Service(c.route.Pick(rand.Float64()))
	c.room = c.gateway.rooms.of(c.service.Name)
	if c.service.Engine == nil || !c.route.Prompt {
		c.prompt = nil
	}
	if c.prompt != nil {
		c.gateway.noteLength(c)
	}
	patience := c.route.Timeout
	if c.request.Patience > 0 {
		patience = min(patience, c.request.Patience)
	}
	c.deadline = c.began.Add(patience - min(answerMargin, patience/10))
	return 0, ""
}

// servedLines bounds the lines on ordinary served requests, in a second and at
// once: each request has one at the load of a quiet day, and a burst does not fill
// the log. Long prompts, and what was sent more than once, have theirs always.
const (
	servedLines = 100
	servedBurst = 200
)

// logged reports whether a served request has a line of its own.
func (g *Gateway) logged(c *call) bool {
	if c.sends > 1 || (c.prompt != nil && c.prompt.Tokens >= placement.LongPrompt) || g.lines.Allow() {
		return true
	}
	g.metrics.unlogged.Inc()
	return false
}

// bears is how long the caller waits for the begin of an answer.
func (c *call) bears() time.Duration {
	patience := c.deadline.Sub(c.began)
	if c.route.Bears > 0 {
		return min(patience, c.route.Bears)
	}
	return patience
}

// repeatable reports whether the request may run on a second server.
func (c *call) repeatable() bool { return c.route.Repeatable() }

// comeBack is when a caller whose request has not run may come back: when the
// first server wants requests again, if none does now.
func (c *call) comeBack() time.Duration {
	if wait := time.Until(c.pausedUntil); wait > 0 {
		return wait
	}
	at := rand.Float64()
	if !c.gateway.policy.On(dispatch.ReturnSpread) {
		at = 0
	}
	return admission.ComeBack(c.decision.Outlook, at)
}

// noteLength counts a prompt that came among those of its length.
func (g *Gateway) noteLength(c *call) {
	c.room.mu.Lock()
	step := c.room.reader.StepTokens()
	c.room.mu.Unlock()
	g.mix.Note(c.prompt.Tokens, step, c.began)
}
