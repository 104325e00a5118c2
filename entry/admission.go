package entry

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/dispatch"
)

// Admission limits.
const (
	// runsPerSlot is the number of runs dispatched to an engine per slot. Runs
	// beyond one per slot wait in the engine's queue; further requests wait in
	// this entry's queue.
	runsPerSlot = 2
	// defaultSlots is assumed for engines that announce no slot count.
	defaultSlots = 8
	// queueWaitFactor bounds the queue wait of an interactive request without a
	// deadline, as a multiple of the first-token target.
	queueWaitFactor = 2
	// tokensPerCostUnit is the number of prompt tokens that cost as much as one
	// request.
	tokensPerCostUnit = 1000
	// accountIdleTimeout is how long usage of an account without requests is
	// retained.
	accountIdleTimeout = time.Minute
	// overloadWindow is how long this entry reports itself overloaded after
	// shedding a request.
	overloadWindow = 2 * time.Second
	// concurrencyRetryAfter is the retry delay given to clients over their
	// account's concurrency limit.
	concurrencyRetryAfter = 500 * time.Millisecond
)

// accountUsage is the usage of one client account on this entry.
type accountUsage struct {
	running        int
	requestLimiter *rate.Limiter
	tokenLimiter   *rate.Limiter
	// The demand, admitted and refused counters are reset by each share
	// update.
	demandRequests, demandTokens     float64
	admittedRequests, admittedTokens float64
	refusedConcurrent                int
	lastUsed                         time.Time
}

// admitter enforces account limits and holds the admission queues.
type admitter struct {
	metrics *admissionMetrics
	// clockStart is the origin of the monotonic clock of the shares.
	clockStart time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	shares *admission.Shares
	// hasPeers is true if limits are shared with other entries.
	hasPeers bool
	accounts map[string]*accountUsage
	// sharesUpdatedAt is the time of the last share update. It is zero before
	// the first one, because startup may take arbitrarily long.
	sharesUpdatedAt time.Time
	// minoritySince is when this entry began to see less than a majority of the
	// entries; zero while it sees one. Until pausedUntil the shares are not
	// trusted, because the process was paused.
	minoritySince time.Time
	pausedUntil   time.Time
	queues        map[string]*admission.Queue
	// waiters holds the channel that is closed when a queued request is
	// admitted.
	waiters  map[*admission.Request]chan struct{}
	lastShed time.Time
	// starts are the times that prompts of each deployment took from being sent to their first
	// token.
	starts map[string]*dispatch.RecentTimes
}

// recordStart records the time from sending a prompt to its first token.
func (a *admitter) recordStart(deployment string, took time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.starts == nil {
		a.starts = make(map[string]*dispatch.RecentTimes)
	}
	if a.starts[deployment] == nil {
		a.starts[deployment] = new(dispatch.RecentTimes)
	}
	a.starts[deployment].Observe(took, now)
}

// latestStart returns the latest time to send a prompt so that its first token may still come in
// time: engines take at least the shortest recent time for it.
func (a *admitter) latestStart(p *prompt, now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	latest := p.received.Add(p.firstTokenTimeout)
	if starts := a.starts[p.deployment.Name]; starts != nil {
		latest = latest.Add(-starts.Shortest(now))
	}
	return latest
}

type admissionMetrics struct {
	refused  *prometheus.CounterVec
	wait     *prometheus.HistogramVec
	waiting  *prometheus.GaugeVec
	running  *prometheus.GaugeVec
	accounts prometheus.Gauge
}

func newAdmissionMetrics(registry prometheus.Registerer) *admissionMetrics {
	m := &admissionMetrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_admission_refused_total", Help: "Requests that were not taken, by reason; count.",
		}, []string{"reason"}),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galena_admission_wait_seconds", Help: "Time in the queue before the engines; seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2.5, 14),
		}, []string{"deployment", "priority"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galena_admission_waiting", Help: "Requests in the queue; count.",
		}, []string{"deployment", "priority"}),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galena_admission_running", Help: "Requests with a place; count.",
		}, []string{"deployment", "priority"}),
		accounts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galena_admission_accounts", Help: "Client accounts in use on this entry; count.",
		}),
	}
	registry.MustRegister(m.refused, m.wait, m.waiting, m.running, m.accounts)
	return m
}

func newAdmitter(registry prometheus.Registerer) *admitter {
	now := time.Now()
	return &admitter{
		metrics:    newAdmissionMetrics(registry),
		clockStart: now,
		shares:     admission.NewShares(),
		accounts:   make(map[string]*accountUsage),
		queues:     make(map[string]*admission.Queue),
		waiters:    make(map[*admission.Request]chan struct{}),
	}
}

// elapsed converts a time to the monotonic clock of the shares.
func (a *admitter) elapsed(now time.Time) time.Duration { return now.Sub(a.clockStart) }

// accountLimits converts configured limits; an absent limit is infinite.
func accountLimits(l config.Limits) admission.Amount {
	unbounded := func(v float64) float64 {
		if v <= 0 {
			return math.Inf(1)
		}
		return v
	}
	return admission.Amount{
		Rate:        unbounded(l.RequestsPerSecond),
		Concurrency: unbounded(float64(l.Concurrency)),
		Tokens:      unbounded(float64(l.TokensPerMinute)),
	}
}

// admitRequest applies the checks that precede reading the body and counts the
// request against its account's limits. Without an error, the returned function
// must be called at the end of the request.
func (e *Entry) admitRequest(info requestInfo) (func(), *refusal.Error) {
	if refused := e.rejectIfDraining(); refused != nil {
		return nil, refused
	}
	now := time.Now()
	if refused := e.checkDispatch(now); refused != nil {
		return nil, e.withAlternatives(refused)
	}
	return e.admitter.beginRequest(info.account, now)
}

// beginRequest counts a request against its account's limits, or refuses it if a
// limit is reached. The returned function ends the request.
func (a *admitter) beginRequest(account *config.ClientAccount, now time.Time) (func(), *refusal.Error) {
	if account.Limits == (config.Limits{}) {
		return func() {}, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usageOf(account, now)
	u.demandRequests++
	limit := accountLimits(account.Limits)
	share := a.currentShare(account.Name, limit, now)
	if float64(u.running+1) > share.Concurrency {
		u.refusedConcurrent++
		return nil, a.rateLimited("concurrency", "the account's limit of requests at once is reached", concurrencyRetryAfter)
	}
	if wait := takeFromBucket(u.requestLimiter, now, 1, share.Rate, share.Rate); wait > 0 {
		return nil, a.rateLimited("rate", "the account's limit of requests a second is reached", wait)
	}
	u.admittedRequests++
	u.running++
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		u.running--
	}), nil
}

// currentShare returns the part of a limit that this entry may use now. mu must be
// held.
// Invariant: a process that was paused uses nothing until it has updated its
// shares.
func (a *admitter) currentShare(name string, limit admission.Amount, now time.Time) admission.Amount {
	if a.hasPeers && now.Sub(a.sharesUpdatedAt) >= maxShareUpdateGap {
		return admission.Amount{}
	}
	return a.shares.Share(name, limit, a.elapsed(now))
}

// usageOf returns the usage of an account, which it creates if needed, and records
// the time of use. mu must be held.
func (a *admitter) usageOf(account *config.ClientAccount, now time.Time) *accountUsage {
	u := a.accounts[account.Name]
	if u == nil {
		limit := account.Limits
		u = &accountUsage{
			requestLimiter: rate.NewLimiter(0, burst(limit.RequestsPerSecond)),
			tokenLimiter:   rate.NewLimiter(0, burst(float64(limit.TokensPerMinute))),
		}
		a.accounts[account.Name] = u
	}
	u.lastUsed = now
	return u
}

func burst(amount float64) int { return max(1, int(min(amount, math.MaxInt32))) }

// takeFromBucket draws n tokens from a bucket that refills at perSecond up to
// size. If the bucket holds too few, it returns the delay until it holds
// enough.
func takeFromBucket(l *rate.Limiter, now time.Time, n int, perSecond, size float64) time.Duration {
	if math.IsInf(perSecond, 1) {
		return 0
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(size))
	// A request larger than the bucket empties it.
	if l.AllowN(now, min(n, l.Burst())) {
		return 0
	}
	if perSecond <= 0 {
		return time.Second
	}
	missing := float64(min(n, l.Burst())) - l.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/perSecond*float64(time.Second)))
}

// rateLimited counts a refusal by a limit and returns its error.
func (a *admitter) rateLimited(reason, message string, retry time.Duration) *refusal.Error {
	a.metrics.refused.WithLabelValues(reason).Inc()
	refused := refusal.New(refusal.CodeRateLimited, "admit request", "%s", message)
	refused.RetryAfter = min(max(retry, concurrencyRetryAfter/10), time.Minute)
	return refused
}

// drawTokens charges a prompt's tokens to the token limit.
func (a *admitter) drawTokens(account *config.ClientAccount, tokens int, now time.Time) *refusal.Error {
	if account.Limits.TokensPerMinute <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usageOf(account, now)
	u.demandTokens += float64(tokens)
	share := a.currentShare(account.Name, accountLimits(account.Limits), now)
	if wait := takeFromBucket(u.tokenLimiter, now, tokens, share.Tokens/time.Minute.Seconds(), share.Tokens); wait > 0 {
		return a.rateLimited("tokens", "the account's limit of tokens a minute is reached", wait)
	}
	u.admittedTokens += float64(tokens)
	return nil
}

// chargeTokens charges the generated tokens to the token limit after the run.
// The bucket may go into debt, which delays later prompts.
func (a *admitter) chargeTokens(account *config.ClientAccount, tokens int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.accounts[account.Name]
	if u == nil || account.Limits.TokensPerMinute <= 0 {
		return
	}
	u.demandTokens += float64(tokens)
	u.admittedTokens += float64(tokens)
	for left := tokens; left > 0; left -= u.tokenLimiter.Burst() {
		u.tokenLimiter.ReserveN(now, min(left, u.tokenLimiter.Burst()))
	}
}

// admit waits in the admission queue until the prompt may be dispatched. The
// returned function releases the permit.
func (e *Entry) admit(ctx context.Context, p *prompt) (func(), *refusal.Error) {
	now := time.Now()
	account := p.request.account
	if refused := e.admitter.drawTokens(account, p.tokens, now); refused != nil {
		return nil, refused
	}
	request := &admission.Request{
		Account:  account.Name,
		Weight:   account.Weight,
		Class:    classOf(p.priority),
		Cost:     1 + float64(p.tokens)/tokensPerCostUnit,
		Deadline: p.received.Add(maxQueueTime(p)),
	}
	if latest := e.admitter.latestStart(p, now); latest.Before(request.Deadline) {
		request.Deadline = latest
	}
	return e.admitter.acquirePermit(ctx, p, request, e.concurrencyLimit(p.deployment.Name), now, e.withAlternatives)
}

func classOf(p config.Priority) admission.Class {
	if p == config.PriorityBatch {
		return admission.Batch
	}
	return admission.Interactive
}

// maxQueueTime returns the longest queue wait of a prompt.
func maxQueueTime(p *prompt) time.Duration {
	if p.firstTokenTimeout == defaultFirstTokenTimeout && p.priority == config.PriorityInteractive {
		return min(defaultFirstTokenTimeout, queueWaitFactor*p.deployment.Objective.TimeToFirstToken.Std())
	}
	return p.firstTokenTimeout
}

// concurrencyLimit returns how many runs of a deployment this entry may have
// dispatched: the capacity not used by other entries, but at least its fair
// share.
func (e *Entry) concurrencyLimit(deployment string) int {
	total, others := 0, 0
	for _, s := range e.fleet.All() {
		if s.Deployment != deployment {
			continue
		}
		slots := s.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		total += runsPerSlot * slots
		if load := s.PeerLoad(); time.Since(load.ReceivedAt) < time.Second*2 {
			others += int(load.InFlight)
		}
	}
	fairShare := (total + max(1, e.regionSize()) - 1) / max(1, e.regionSize())
	return max(fairShare, total-others)
}

// queue returns the admission queue of a deployment, which it creates if needed. mu
// must be held.
func (a *admitter) queue(deployment string) *admission.Queue {
	q := a.queues[deployment]
	if q == nil {
		q = admission.NewQueue()
		a.queues[deployment] = q
	}
	return q
}

// acquirePermit sets the number of slots of the deployment's queue and waits in it
// until the request is admitted. The returned function releases the permit.
func (a *admitter) acquirePermit(ctx context.Context, p *prompt, r *admission.Request, limit int, now time.Time, withAlternatives func(*refusal.Error) *refusal.Error) (func(), *refusal.Error) {
	name, priority := p.deployment.Name, string(p.priority)
	a.mu.Lock()
	q := a.queue(name)
	if limit == 0 {
		// Without servers the run is refused later with a specific error.
		a.mu.Unlock()
		return func() {}, nil
	}
	a.notifyWaiters(q.SetSlots(limit, now))
	outcome, retry := q.Offer(r, now)
	permit := make(chan struct{})
	switch outcome {
	case admission.Wait:
		a.waiters[r] = permit
	case admission.Rejected:
		a.lastShed = now
	}
	a.updateGauges(name, q)
	a.mu.Unlock()
	switch outcome {
	case admission.Rejected:
		a.metrics.refused.WithLabelValues("overload").Inc()
		refused := refusal.New(refusal.CodeOverloaded, "queue request", "the request would not have its turn in time")
		refused.RetryAfter = retry
		return nil, withAlternatives(refused)
	case admission.Wait:
		if refused := a.awaitPermit(ctx, q, r, permit, now); refused != nil {
			return nil, refused
		}
	}
	a.metrics.wait.WithLabelValues(name, priority).Observe(time.Since(now).Seconds())
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.notifyWaiters(q.Release(r, time.Now()))
		a.updateGauges(name, q)
	}), nil
}

// updateGauges sets the gauges of a deployment from its queue. mu must be held.
func (a *admitter) updateGauges(deployment string, q *admission.Queue) {
	for class, priority := range map[admission.Class]config.Priority{
		admission.Interactive: config.PriorityInteractive, admission.Batch: config.PriorityBatch,
	} {
		a.metrics.waiting.WithLabelValues(deployment, string(priority)).Set(float64(q.Waiting(class)))
		a.metrics.running.WithLabelValues(deployment, string(priority)).Set(float64(q.Running(class)))
	}
}

// notifyWaiters wakes the requests that were admitted. mu must be held.
func (a *admitter) notifyWaiters(admitted []*admission.Request) {
	for _, r := range admitted {
		if permit := a.waiters[r]; permit != nil {
			close(permit)
			delete(a.waiters, r)
		}
	}
}

// awaitPermit waits until the request is admitted or its deadline passes.
func (a *admitter) awaitPermit(ctx context.Context, q *admission.Queue, r *admission.Request, permit chan struct{}, now time.Time) *refusal.Error {
	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	canceled := false
	select {
	case <-permit:
		return nil
	case <-ctx.Done():
		canceled = true
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waiting := a.waiters[r]; !waiting {
		// The request was admitted concurrently; return the permit.
		a.notifyWaiters(q.Release(r, time.Now()))
	}
	delete(a.waiters, r)
	q.Cancel(r)
	if canceled {
		return refusal.New(refusal.CodeDeadlineExceeded, "queue request", "the caller is gone").WithExecution(refusal.NotExecuted)
	}
	a.metrics.refused.WithLabelValues("deadline").Inc()
	a.lastShed = time.Now()
	refused := refusal.New(refusal.CodeOverloaded, "queue request", "the request's turn did not come in time")
	refused.RetryAfter = max(q.EstimateWait(r.Class), time.Second)
	return refused
}

// overloaded reports whether this entry has shed load recently.
func (e *Entry) overloaded() bool {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return time.Since(e.admitter.lastShed) < overloadWindow
}

// runAdmitted runs a prompt after it has been admitted.
func (e *Entry) runAdmitted(ctx context.Context, p *prompt, out *responseWriter) *refusal.Error {
	end, refused := e.admit(ctx, p)
	if refused != nil {
		return refused
	}
	defer end()
	refused = e.runAttempts(ctx, p, out)
	e.admitter.chargeTokens(p.request.account, out.transcript.Tokens(), time.Now())
	return refused
}

// withAdmission wraps a handler with admitRequest.
func (e *Entry) withAdmission(next requestHandler) requestHandler {
	return func(w http.ResponseWriter, r *http.Request, info requestInfo) *refusal.Error {
		end, refused := e.admitRequest(info)
		if refused != nil {
			return refused
		}
		defer end()
		return next(w, r, info)
	}
}
