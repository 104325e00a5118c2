package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// Bounds on one request's sendings.
const (
	// extraSends is how many servers beyond the route's bound a request may be
	// offered to after servers that proved not to have run it.
	extraSends = 2
	// leastLeft is the time that a sending must have left to be worth it.
	leastLeft = 40 * time.Millisecond
	// firstPatience is how long a repeatable request waits for the first byte
	// from one server before it is sent to another: well under the time after
	// which callers give a stream up.
	firstPatience = 700 * time.Millisecond
	// patienceShare is the most of the remaining time that one server gets
	// while another could still be asked.
	patienceShare = 0.55
)

// errSlow ends the wait for a server when another one is to be asked.
var errSlow = errors.New("no answer in the time for one server")

// errStray says that an answer belonged to another request.
var errStray = errors.New("the answer belongs to another request")

// verdict is what became of one sending.
type verdict int

const (
	// answered: the exchange holds an answer to relay.
	answered verdict = iota
	// notRun: the server did not run the request and never will.
	notRun
	// unknown: the request may have run.
	unknown
	// callerGone: nobody waits any more.
	callerGone
)

// attempt is one sending and its outcome.
type attempt struct {
	gateway  *Gateway
	backend  *backend
	exchange *upstream.Exchange
	answer   Answer
	verdict  verdict
	status   int
	err      error
	began    time.Time
	// head is when the head of the answer came.
	head    time.Time
	cancel  context.CancelCauseFunc
	version uint64
	// work is what the request takes of the server.
	work dispatch.Work
	// fetched tokens are brought by transfers expected to take fetchTime; saved
	// parts are kept at stores.
	fetched, saved, dismissed, unkept int
	fetchTime                         time.Duration
}

// end releases what the attempt holds.
func (a *attempt) end() {
	if a.exchange != nil {
		a.exchange.Abandon()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
}

// release ends the attempt and frees what it takes of its server.
func (a *attempt) release() {
	a.end()
	ran := time.Duration(0)
	if a.verdict == answered {
		ran = time.Since(a.began)
	}
	a.backend.room.mu.Lock()
	defer a.backend.room.mu.Unlock()
	a.backend.belief.Ended(a.work, ran)
	a.gateway.freed(a.backend)
}

// send sends the request to the server that it was placed at and waits for the
// head of the answer.
func (c *call) send(ctx context.Context, r *http.Request, b *backend, lastEvent string, patience time.Duration) *attempt {
	a := &attempt{gateway: c.gateway, backend: b, began: time.Now(), work: c.work}
	ctx, a.cancel = context.WithCancelCause(ctx)
	d := &Dispatch{Server: b.server, Left: time.Until(c.deadline), Priority: c.priority(), LastEvent: lastEvent}
	if c.account != nil {
		d.Account = c.account.Name
	}
	if c.prompt != nil {
		defer c.bring(a, d)()
	}
	timer := c.afterPatience(a, patience)
	x, err := b.pool.Send(ctx, &upstream.Request{
		Method: r.Method, Target: c.target, Host: r.Host, Header: c.gateway.dialect.Dispatch(r.Header, d), Body: c.body,
	})
	inTime := timer.stop()
	a.head, a.exchange = time.Now(), x
	b.room.mu.Lock()
	if err != nil {
		b.belief.Left(a.work)
	} else {
		b.belief.Begun(a.work, a.head)
	}
	c.gateway.freed(b)
	b.room.mu.Unlock()
	if err == nil && !inTime {
		err = &upstream.Error{Step: upstream.StepAwait, Peer: b.address, Err: errSlow}
	}
	a.judge(c, r, err, a.head)
	c.learn(a)
	c.note(a)
	return a
}

// bring decides the transfers of a prompt and writes them into its dispatch; what
// it returns ends them.
func (c *call) bring(a *attempt, d *Dispatch) (end func()) {
	b := a.backend
	a.version = b.weightVersion(c.prompt.Model)
	d.Salt, d.WeightVersion = c.salt(a.version), a.version
	t := c.transfers(b, d.Salt)
	d.Fetch, d.Save = t.Fetch, t.Save
	a.fetched, a.fetchTime, a.dismissed, a.unkept = t.FetchTokens, t.FetchTime, t.Dismissed, t.Unkept
	for _, place := range t.Save {
		if place != "" {
			a.saved++
		}
	}
	b.news(func(belief *dispatch.Belief) { belief.Bring(t.FetchTime, a.began) })
	return func() {
		c.gateway.stores.End(&t, a.bringTime(c, &t))
		if a.verdict == answered {
			c.gateway.stores.Read(b.address, under(d.Salt, c.shared()))
		}
	}
}

// learn takes what an answered prompt shows of the engines' reading and of the
// estimates.
func (c *call) learn(a *attempt) {
	if c.prompt == nil || a.verdict != answered || a.status != http.StatusOK {
		return
	}
	took := a.head.Sub(a.began)
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	if c.decision.Ahead == 0 && a.fetched == 0 && !c.young(a.began) {
		c.room.reader.Learn(max(0, a.work.Unread-c.room.reader.StepTokens()), took)
	}
	if !c.behind() {
		error := took - c.decision.Outlook.InTurn
		c.room.errors[c.length()].Learn(c.decision.Outlook.InTurn, took)
		c.gateway.metrics.estimate(c, error)
	}
}

// bringTime is what the transfers of an answered prompt took; 0 if that is not
// known.
func (a *attempt) bringTime(c *call, t *contexts.Transfers) time.Duration {
	if a.verdict != answered || t.FetchTokens == 0 || c.decision.Ahead > 0 {
		return 0
	}
	c.room.mu.Lock()
	pace, overhead := c.room.reader.Pace(), c.room.reader.Overhead()
	c.room.mu.Unlock()
	rest := max(0, c.prompt.Tokens-t.FetchTokens)
	read := time.Duration(float64(rest) / pace * float64(time.Millisecond))
	return max(1, a.head.Sub(a.began)-read-overhead)
}

// patience ends the wait for a server that says nothing.
type patience struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// afterPatience gives a server time. After it, the request is taken from a
// server that is silent, if it may be sent again.
func (c *call) afterPatience(a *attempt, d time.Duration) *patience {
	p := &patience{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ended {
			return
		}
		now := time.Now()
		if c.mayLeave(a, now) {
			p.ended = true
			a.cancel(errSlow)
			return
		}
		p.timer.Reset(patienceStep)
	})
	return p
}

// stop returns false if the wait was ended before.
func (p *patience) stop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	inTime := !p.ended
	p.ended = true
	p.timer.Stop()
	return inTime
}

// patienceStep lies between two looks at a server that is waited for.
const patienceStep = 100 * time.Millisecond

// mayLeave reports whether to stop waiting for a server, and if so takes the
// repeat that this needs from the budget.
func (c *call) mayLeave(a *attempt, now time.Time) bool {
	if !c.repeatable() || c.sends+1 >= c.route.MaxServers || c.deadline.Sub(now) < 2*leastLeft {
		return false
	}
	if !c.gateway.policy.On(dispatch.Patience) || !a.backend.stuck(now) {
		return false
	}
	if !c.gateway.budget(c.service.Name).Take(now) {
		return false
	}
	c.granted = true
	return true
}

// judge says what a sending proved.
func (a *attempt) judge(c *call, r *http.Request, err error, now time.Time) {
	a.err = err
	if err != nil {
		var e *upstream.Error
		switch {
		case r.Context().Err() != nil:
			a.verdict = callerGone
		case errors.As(err, &e) && !e.Reached():
			a.verdict = notRun
		default:
			a.verdict = unknown
		}
		return
	}
	a.status = a.exchange.Answer.StatusCode
	a.answer = c.gateway.dialect.Answer(a.status, a.exchange.Answer.Header)
	a.obey(c, now)
	if len(a.answer.Ignored) > 0 {
		c.gateway.logger.Info("headers not understood", slog.String("request", c.request.ID), slog.String("server", a.backend.server), slog.Any("headers", a.answer.Ignored))
	}
	if a.answer.RequestID != c.request.ID {
		a.verdict, a.err = unknown, errStray
		return
	}
	a.hear(c, now)
	if a.answer.WeightVersion > 0 && c.prompt != nil {
		a.backend.learnWeights(c.prompt.Model, a.answer.WeightVersion)
	}
	if a.answer.NotRun {
		a.verdict = notRun
	}
}

// obey takes a server's word that it leaves, or wants nothing for a time. Any answer
// that came from there counts, whomever it was for; one that names another server
// is that server's.
func (a *attempt) obey(c *call, now time.Time) {
	b := a.backend
	if a.answer.Server != "" && a.answer.Server != b.server {
		return
	}
	if a.answer.Leaving {
		c.gateway.left(b, c.request.ID)
	}
	if a.answer.Pause == nil || a.status != http.StatusServiceUnavailable {
		return
	}
	var until time.Time
	b.news(func(belief *dispatch.Belief) { until = belief.Pause(*a.answer.Pause, now, rand.Float64()) })
	c.gateway.stores.Pause(b.address, until)
	c.gateway.logger.Info("server wants nothing", slog.String("server", b.server), slog.String("request", c.request.ID),
		slog.Duration("said", *a.answer.Pause), slog.Duration("for", until.Sub(now)))
}

// hear takes a server's word on its load.
func (a *attempt) hear(c *call, now time.Time) {
	if l := a.answer.Load; l != nil {
		others := c.gateway.peers.told()[a.backend.server]
		a.backend.news(func(b *dispatch.Belief) { b.Told(dispatch.Report(*l), others, now) })
	}
}

// note keeps the books after a sending and logs one that failed.
func (c *call) note(a *attempt) {
	b, now := a.backend, time.Now()
	c.tried[b.server] = true
	var e *upstream.Error
	reached := !errors.As(a.err, &e) || e.Reached()
	if reached {
		c.sends++
	}
	if a.verdict == unknown || a.verdict == answered {
		c.ran = true
	}
	resting := time.Duration(0)
	switch {
	case a.verdict == answered && a.status < http.StatusInternalServerError:
		b.news(func(belief *dispatch.Belief) { belief.Succeeded(now.Sub(a.began), now) })
		return
	case a.verdict == answered:
		b.fail(false, now)
		return
	case a.verdict == callerGone && !b.mute(a.began, now):
		return
	case a.status == http.StatusMisdirectedRequest:
		c.misdirected(a)
	case a.verdict == notRun && a.status != 0:
		// That is the server's load or an order, not a failure.
		resting = b.shed(a.answer.Load, now)
	case errors.Is(a.err, upstream.ErrLimit):
	default:
		// A server that says nothing to anybody is not there, whoever gave up first:
		// those that may not be sent again cannot show it in another way.
		hard := b.mute(a.began, now) || (e != nil && (e.Step == upstream.StepDial || e.Step == upstream.StepAwait) && !errors.Is(a.err, errSlow))
		resting = b.fail(hard, now)
	}
	c.gateway.metrics.attempt(c, a)
	c.gateway.logger.Info("sending failed", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
		slog.String("server", b.server), slog.String("address", b.address), slog.Int("status", a.status), slog.Bool("reached", reached),
		slog.Bool("not_run", a.verdict == notRun), slog.Duration("took", now.Sub(a.began)), slog.Duration("resting", resting), slog.Any("error", a.err))
}

// misdirected learns from a server that is not the one, or not on the weights,
// that was asked for.
func (c *call) misdirected(a *attempt) {
	if a.answer.Server != "" && a.answer.Server != a.backend.server || c.prompt == nil {
		a.backend.retired.Store(true)
		return
	}
	// The same server with other weights: it can only have moved on.
	if wanted := c.world.wanted[c.prompt.Model]; wanted > a.version {
		a.backend.learnWeights(c.prompt.Model, wanted)
	}
}
