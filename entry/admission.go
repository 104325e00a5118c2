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
)

// Bounds of admission.
const (
	// slotFactor is the number of runs sent to an engine for each of its
	// slots: the next ones wait there for a slot, the rest here.
	slotFactor = 2
	// defaultSlots is used for engines that announce none.
	defaultSlots = 8
	// waitFactor bounds an interactive request's wait where its caller states
	// none, in first-token targets.
	waitFactor = 2
	// tokensPerCost is the prompt tokens that weigh as much as a request.
	tokensPerCost = 1000
	// idleAccount is how long an account without requests takes space.
	idleAccount = time.Minute
	// overloadTicks is how many publications a shed marks the entry as
	// overloaded.
	overloadTerm = 2 * time.Second
	// concurrencyRetry is told to a caller over its account's concurrency.
	concurrencyRetry = 500 * time.Millisecond
)

// usage is what an account does on this entry.
type usage struct {
	running  int
	requests *rate.Limiter
	tokens   *rate.Limiter
	// asked counts since the last look, and rates are of the look before.
	askedRequests, askedTokens   float64
	passedRequests, passedTokens float64
	refusedRunning               int
	touched                      time.Time
}

// admitter applies limits and queues on this entry.
type admitter struct {
	metrics *admissionMetrics
	// started is the zero of the shares' clock.
	started time.Time

	mu     sync.Mutex
	shares *admission.Shares
	// together is true if there are other entries to share with.
	together bool
	accounts map[string]*usage
	// looked is the last look at the use and at the others; zero before the
	// first one, since a start may take any time.
	looked time.Time
	// fewSince is since when this entry has seen few others, pausedUntil the
	// end of the distrust after a pause of this process.
	fewSince    time.Time
	pausedUntil time.Time
	queues      map[string]*admission.Queue
	// granted tells a waiting request of its place.
	granted map[*admission.Request]chan struct{}
	shed    time.Time
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
		metrics:  newAdmissionMetrics(registry),
		started:  now,
		shares:   admission.NewShares(),
		accounts: make(map[string]*usage),
		queues:   make(map[string]*admission.Queue),
		granted:  make(map[*admission.Request]chan struct{}),
	}
}

func (a *admitter) clock(now time.Time) time.Duration { return now.Sub(a.started) }

// limitOf is an account's limits, without bound where there is none.
func limitOf(l config.Limits) admission.Amount {
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

// accept refuses a request that this entry must not take, before its body is
// read. The returned function ends the request.
func (e *Entry) accept(c caller) (func(), *refusal.Error) {
	if refused := e.refuseClosed(); refused != nil {
		return nil, refused
	}
	now := time.Now()
	if refused := e.mayDispatch(now); refused != nil {
		return nil, e.elsewhere(refused)
	}
	return e.admitter.begin(c.account, now)
}

// begin counts a request of an account against its limits.
func (a *admitter) begin(account *config.ClientAccount, now time.Time) (func(), *refusal.Error) {
	if account.Limits == (config.Limits{}) {
		return func() {}, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usage(account, now)
	u.askedRequests++
	limit := limitOf(account.Limits)
	share := a.share(account.Name, limit, now)
	if float64(u.running+1) > share.Concurrency {
		u.refusedRunning++
		return nil, a.limited("concurrency", "the account's limit of requests at once is reached", concurrencyRetry)
	}
	if wait := take(u.requests, now, 1, share.Rate, share.Rate); wait > 0 {
		return nil, a.limited("rate", "the account's limit of requests a second is reached", wait)
	}
	u.passedRequests++
	u.running++
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		u.running--
	}), nil
}

// share is what this entry may use of a limit now. Invariant: a process that
// was paused uses nothing before it has looked at the others again.
func (a *admitter) share(name string, limit admission.Amount, now time.Time) admission.Amount {
	if a.together && now.Sub(a.looked) >= maxLookGap {
		return admission.Amount{}
	}
	return a.shares.Share(name, limit, a.clock(now))
}

func (a *admitter) usage(account *config.ClientAccount, now time.Time) *usage {
	u := a.accounts[account.Name]
	if u == nil {
		limit := account.Limits
		u = &usage{
			requests: rate.NewLimiter(0, burst(limit.RequestsPerSecond)),
			tokens:   rate.NewLimiter(0, burst(float64(limit.TokensPerMinute))),
		}
		a.accounts[account.Name] = u
	}
	u.touched = now
	return u
}

func burst(amount float64) int { return max(1, int(min(amount, math.MaxInt32))) }

// take draws from a bucket that fills at perSecond up to size, and returns the
// time after which to come back if it does not hold enough.
func take(l *rate.Limiter, now time.Time, n int, perSecond, size float64) time.Duration {
	if math.IsInf(perSecond, 1) {
		return 0
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst(size))
	// A request that is larger than the bucket takes all of it.
	if l.AllowN(now, min(n, l.Burst())) {
		return 0
	}
	if perSecond <= 0 {
		return time.Second
	}
	missing := float64(min(n, l.Burst())) - l.TokensAt(now)
	return max(time.Millisecond, time.Duration(missing/perSecond*float64(time.Second)))
}

func (a *admitter) limited(reason, message string, retry time.Duration) *refusal.Error {
	a.metrics.refused.WithLabelValues(reason).Inc()
	refused := refusal.New(refusal.CodeRateLimited, "admit request", "%s", message)
	refused.RetryAfter = min(max(retry, concurrencyRetry/10), time.Minute)
	return refused
}

// takeTokens draws a prompt's tokens.
func (a *admitter) takeTokens(account *config.ClientAccount, tokens int, now time.Time) *refusal.Error {
	if account.Limits.TokensPerMinute <= 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usage(account, now)
	u.askedTokens += float64(tokens)
	share := a.share(account.Name, limitOf(account.Limits), now)
	if wait := take(u.tokens, now, tokens, share.Tokens/time.Minute.Seconds(), share.Tokens); wait > 0 {
		return a.limited("tokens", "the account's limit of tokens a minute is reached", wait)
	}
	u.passedTokens += float64(tokens)
	return nil
}

// settleTokens charges an answer's tokens, which the bucket pays back before
// it lets more prompts through.
func (a *admitter) settleTokens(account *config.ClientAccount, tokens int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.accounts[account.Name]
	if u == nil || account.Limits.TokensPerMinute <= 0 {
		return
	}
	u.askedTokens += float64(tokens)
	u.passedTokens += float64(tokens)
	for left := tokens; left > 0; left -= u.tokens.Burst() {
		u.tokens.ReserveN(now, min(left, u.tokens.Burst()))
	}
}

// admit waits for a prompt's place before the engines. The returned function
// gives it back.
func (e *Entry) admit(ctx context.Context, p *prompt) (func(), *refusal.Error) {
	now := time.Now()
	account := p.caller.account
	if refused := e.admitter.takeTokens(account, p.tokens, now); refused != nil {
		return nil, refused
	}
	request := &admission.Request{
		Account:  account.Name,
		Weight:   account.Weight,
		Class:    classOf(p.priority),
		Cost:     1 + float64(p.tokens)/tokensPerCost,
		Deadline: p.received.Add(queueTime(p)),
	}
	return e.admitter.enter(ctx, p, request, e.places(p.deployment.Name), now, e.elsewhere)
}

func classOf(p config.Priority) admission.Class {
	if p == config.PriorityBatch {
		return admission.Batch
	}
	return admission.Interactive
}

// queueTime is the longest wait of a prompt.
func queueTime(p *prompt) time.Duration {
	if p.firstToken == defaultFirstToken && p.priority == config.PriorityInteractive {
		return min(defaultFirstToken, waitFactor*p.deployment.Objective.FirstToken.Std())
	}
	return p.firstToken
}

// places is how many runs of a deployment this entry may have before the
// engines: what is left by the others, but at least its own part.
func (e *Entry) places(deployment string) int {
	total, others := 0, 0
	for _, s := range e.fleet.All() {
		if s.Deployment != deployment {
			continue
		}
		slots := s.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		total += slotFactor * slots
		if load := s.PeerLoad(); time.Since(load.At) < time.Second*2 {
			others += int(load.InFlight)
		}
	}
	part := (total + max(1, e.regionSize()) - 1) / max(1, e.regionSize())
	return max(part, total-others)
}

func (a *admitter) queue(deployment string) *admission.Queue {
	q := a.queues[deployment]
	if q == nil {
		q = admission.NewQueue()
		a.queues[deployment] = q
	}
	return q
}

func (a *admitter) enter(ctx context.Context, p *prompt, r *admission.Request, places int, now time.Time, elsewhere func(*refusal.Error) *refusal.Error) (func(), *refusal.Error) {
	name, priority := p.deployment.Name, string(p.priority)
	a.mu.Lock()
	q := a.queue(name)
	if places == 0 {
		// The run itself says that no server is there.
		a.mu.Unlock()
		return func() {}, nil
	}
	a.wake(q.SetPlaces(places, now))
	outcome, retry := q.Offer(r, now)
	place := make(chan struct{})
	switch outcome {
	case admission.Wait:
		a.granted[r] = place
	case admission.Refused:
		a.shed = now
	}
	a.observe(name, q)
	a.mu.Unlock()
	switch outcome {
	case admission.Refused:
		a.metrics.refused.WithLabelValues("overload").Inc()
		refused := refusal.New(refusal.CodeOverloaded, "queue request", "the request would not have its turn in time")
		refused.RetryAfter = retry
		return nil, elsewhere(refused)
	case admission.Wait:
		if refused := a.await(ctx, q, r, place, now); refused != nil {
			return nil, refused
		}
	}
	a.metrics.wait.WithLabelValues(name, priority).Observe(time.Since(now).Seconds())
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.wake(q.Done(r, time.Now()))
		a.observe(name, q)
	}), nil
}

func (a *admitter) observe(deployment string, q *admission.Queue) {
	for class, priority := range map[admission.Class]config.Priority{
		admission.Interactive: config.PriorityInteractive, admission.Batch: config.PriorityBatch,
	} {
		a.metrics.waiting.WithLabelValues(deployment, string(priority)).Set(float64(q.Waiting(class)))
		a.metrics.running.WithLabelValues(deployment, string(priority)).Set(float64(q.Running(class)))
	}
}

// wake tells requests of their places.
func (a *admitter) wake(begun []*admission.Request) {
	for _, r := range begun {
		if place := a.granted[r]; place != nil {
			close(place)
			delete(a.granted, r)
		}
	}
}

// await waits for a place until the request's deadline.
func (a *admitter) await(ctx context.Context, q *admission.Queue, r *admission.Request, place chan struct{}, now time.Time) *refusal.Error {
	timer := time.NewTimer(r.Deadline.Sub(now))
	defer timer.Stop()
	gone := false
	select {
	case <-place:
		return nil
	case <-ctx.Done():
		gone = true
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waits := a.granted[r]; !waits {
		// The place came at the same moment.
		a.wake(q.Done(r, time.Now()))
	}
	delete(a.granted, r)
	q.Cancel(r)
	if gone {
		return refusal.New(refusal.CodeDeadlineExceeded, "queue request", "the caller is gone").With(refusal.NotRun)
	}
	a.metrics.refused.WithLabelValues("deadline").Inc()
	a.shed = time.Now()
	refused := refusal.New(refusal.CodeOverloaded, "queue request", "the request's turn did not come in time")
	refused.RetryAfter = max(q.Estimate(r.Class), time.Second)
	return refused
}

// overloaded reports whether this entry has shed load lately.
func (e *Entry) overloaded() bool {
	e.admitter.mu.Lock()
	defer e.admitter.mu.Unlock()
	return time.Since(e.admitter.shed) < overloadTerm
}

// runAdmitted runs a prompt once it has its place.
func (e *Entry) runAdmitted(ctx context.Context, p *prompt, out *writer) *refusal.Error {
	end, refused := e.admit(ctx, p)
	if refused != nil {
		return refused
	}
	defer end()
	refused = e.runAttempts(ctx, p, out)
	e.admitter.settleTokens(p.caller.account, out.transcript.Tokens(), time.Now())
	return refused
}

// accepted wraps a handler with accept.
func (e *Entry) accepted(next callerHandler) callerHandler {
	return func(w http.ResponseWriter, r *http.Request, c caller) *refusal.Error {
		end, refused := e.accept(c)
		if refused != nil {
			return refused
		}
		defer end()
		return next(w, r, c)
	}
}
