package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/upstream"
)

// extraAttempts is how many servers beyond the route's limit may be tried after servers that
// provably did not run the request.
const extraAttempts = 2

// errAttemptTimeout cancels an attempt so that the request can be sent to another
// server.
var errAttemptTimeout = errors.New("attempt timed out before the response headers arrived")

// errWrongRequestID reports a response that belongs to another request.
var errWrongRequestID = errors.New("response belongs to another request")

// attemptResult classifies the outcome of one attempt.
type attemptResult int

const (
	// responseReceived: the exchange holds a response to relay.
	responseReceived attemptResult = iota
	// notRun: the server did not run the request and never will.
	notRun
	// maybeRun: the request may have run.
	maybeRun
	// clientCanceled: the client no longer waits for a response.
	clientCanceled
)

// attempt is one sending of a request to one backend server, and its outcome.
type attempt struct {
	gateway   *Gateway
	backend   *backend
	exchange  *upstream.Exchange
	response  Response
	result    attemptResult
	status    int
	err       error
	startedAt time.Time
	// retry is set if an attempt before it reached a server, abandoned if this instance gave it
	// up before the response headers.
	retry, abandoned bool
	// headersAt is when the response headers arrived.
	headersAt     time.Time
	cancel        context.CancelCauseFunc
	weightVersion uint64
	// eventReceived is set once a complete event was received, answered once the response
	// has acquitted the parts of the prompt.
	eventReceived, answered bool
	// work is the load that the request puts on the server.
	work dispatch.Work
	// fetchedTokens are fetched by transfers that are expected to take
	// expectedFetchTime; declinedTokens could be fetched, but are prefilled
	// instead. savedParts are written to stores; no store can take unsavedParts.
	fetchedTokens, savedParts, declinedTokens, unsavedParts int
	expectedFetchTime                                       time.Duration
	// forward is the result at another instance; nil for an attempt at a server.
	forward *forwardResult
}

// close cancels the attempt and closes its connection.
func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.Abandon()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
}

// release closes the attempt and removes its load from the server.
func (a *attempt) release() {
	a.close()
	runTime := time.Duration(0)
	if a.result == responseReceived {
		runTime = time.Since(a.startedAt)
	}
	a.backend.state.mu.Lock()
	defer a.backend.state.mu.Unlock()
	a.backend.tracker.ReleasedAt(a.work, runTime, time.Now())
	a.gateway.capacityFreed(a.backend)
}

// send sends the request to the chosen server and waits for the response headers.
func (c *call) send(ctx context.Context, r *http.Request, b *backend, lastEventID string, timeout time.Duration) *attempt {
	c.stage, c.lastServer = stageSent, b.server
	a := &attempt{gateway: c.gateway, backend: b, startedAt: time.Now(), work: c.work, retry: c.retryInUse}
	ctx, a.cancel = context.WithCancelCause(ctx)
	d := &OutboundRequest{Server: b.server, TimeLeft: time.Until(c.deadline), Priority: c.enginePriority(), LastEventID: lastEventID}
	if c.account != nil {
		d.Account = c.account.Name
	}
	if c.prompt != nil {
		defer c.prepareTransfers(a, d)()
	}
	request := &upstream.Request{
		Method: r.Method, Target: c.target, Host: r.Host, Header: c.gateway.dialect.OutboundHeader(r.Header, d), Body: c.body,
		Identify: c.identification(b), Confirm: c.confirmation(b), Admit: func() error { return c.gateway.mayReceive(b) }, Sent: c.noteSent, Held: c.takeHold(b),
	}
	timer := c.startAttemptTimer(ctx, a, timeout) // it may hold another connection
	x, err := b.pool.Send(ctx, request)
	inTime := timer.stop()
	a.abandoned = ctx.Err() != nil && (err != nil || !inTime)
	a.headersAt, a.exchange = time.Now(), x
	if err == nil {
		c.confirmedAt, c.unconfirmed = time.Time{}, false
	}
	b.state.mu.Lock()
	if err != nil {
		b.tracker.StopAwaiting(a.work)
	} else {
		b.tracker.ResponseStarted(a.work, a.headersAt)
	}
	c.gateway.capacityFreed(b)
	b.state.mu.Unlock()
	if err == nil && !inTime {
		err = &upstream.Error{Phase: upstream.PhaseAwaitResponse, Address: b.address, Err: errAttemptTimeout}
	}
	a.classify(c, r, err, a.headersAt)
	c.updateEstimates(a)
	c.recordAttempt(a)
	if err != nil {
		c.recordBrokenAttempt(a, err)
	} else {
		a.recordAlive()
	}
	return a
}

// prepareTransfers plans the context transfers of a prompt and adds them to the
// outbound request. The returned function ends them.
func (c *call) prepareTransfers(a *attempt, d *OutboundRequest) (endTransfers func()) {
	b := a.backend
	a.weightVersion = b.weightVersion(c.prompt.Model)
	d.Salt, d.WeightVersion = c.contextSalt(a.weightVersion), a.weightVersion
	t := c.planTransfers(b, d.Salt)
	d.FetchFrom, d.SaveTo = t.Fetch, t.Save
	a.fetchedTokens, a.expectedFetchTime, a.declinedTokens, a.unsavedParts = t.FetchTokens, t.FetchTime, t.DeclinedTokens, t.UnsavedParts
	for _, address := range t.Save {
		if address != "" {
			a.savedParts++
		}
	}
	b.update(func(tracker *dispatch.BackendState) { tracker.AddTransfer(t.FetchTime, a.startedAt) })
	return func() {
		c.gateway.stores.EndTransfers(&t, a.transferDuration(c, &t))
		if a.result == responseReceived {
			c.gateway.stores.RecordPrefill(b.address, saltedParts(d.Salt, c.sharedParts()))
		}
	}
}

// updateEstimates feeds the prefill model and the estimate errors from the response
// to a prompt.
func (c *call) updateEstimates(a *attempt) {
	if c.prompt == nil || a.result != responseReceived || a.status != http.StatusOK {
		return
	}
	took := a.headersAt.Sub(a.startedAt)
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.starts.Observe(took, a.headersAt)
	if c.decision.QueuedTokens == 0 && a.fetchedTokens == 0 && !c.discovering(a.startedAt) {
		c.state.prefill.Observe(max(0, a.work.PrefillTokens-c.state.prefill.StepTokens()), took)
	}
	if !c.deferred() {
		estimateError := took - c.decision.Estimate.ArrivalOrderWait
		c.state.estimateErrors[c.lengthClass()].Observe(c.decision.Estimate.ArrivalOrderWait, took)
		c.gateway.metrics.recordEstimateError(c, estimateError)
	}
}

// transferDuration returns the duration of the transfers of a prompt that got a
// response; 0 if it is not known.
func (a *attempt) transferDuration(c *call, t *contexts.Transfers) time.Duration {
	if a.result != responseReceived || t.FetchTokens == 0 || c.decision.QueuedTokens > 0 {
		return 0
	}
	c.state.mu.Lock()
	rate, overhead := c.state.prefill.Rate(), c.state.prefill.Overhead()
	c.state.mu.Unlock()
	remaining := max(0, c.prompt.Tokens-t.FetchTokens)
	prefillTime := time.Duration(float64(remaining) / rate * float64(time.Millisecond))
	return max(1, a.headersAt.Sub(a.startedAt)-prefillTime-overhead)
}

// attemptTimer moves a request from a server that does not respond to another one.
type attemptTimer struct {
	// cancelSearch ends the search for the other server.
	cancelSearch context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// startAttemptTimer starts the timeout of an attempt. After it, the attempt is canceled
// once the server counts as stalled and another one takes over the request.
func (c *call) startAttemptTimer(ctx context.Context, a *attempt, d time.Duration) *attemptTimer {
	t := &attemptTimer{}
	ctx, t.cancelSearch = context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		defer c.gateway.recoverTimer(c)
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.ended {
			return
		}
		if c.tryAbandon(ctx, a, time.Now()) {
			t.ended = true
			a.cancel(errAttemptTimeout)
			return
		}
		t.timer.Reset(recheckInterval)
	})
	return t
}

// stop returns false if the timer has already canceled the attempt.
func (t *attemptTimer) stop() bool {
	t.cancelSearch()
	t.mu.Lock()
	defer t.mu.Unlock()
	inTime := !t.ended
	t.ended = true
	t.timer.Stop()
	return inTime
}

// recheckInterval is the time between checks of a server whose attempt or stream has
// timed out but cannot be canceled yet.
const recheckInterval = 100 * time.Millisecond

// tryAbandon reports whether to stop waiting for a server because another one takes over
// the request. It does not if a response has arrived.
func (c *call) tryAbandon(ctx context.Context, a *attempt, now time.Time) bool {
	if a.backend.peer != nil {
		return c.tryAbandonPeer(ctx, a, now)
	}
	if c.mayRelay() || !c.maySwitchServer(a.backend, now) || !a.backend.stalled(now) || !c.reserveReplacement(ctx, a.backend, a.startedAt) {
		return false
	}
	if c.mayRelay() {
		c.releaseReserved()
		return false
	}
	c.leftSilent = true
	return true
}

// classify sets the result of the attempt from the response or the error.
func (a *attempt) classify(c *call, r *http.Request, err error, now time.Time) {
	a.err = err
	if err != nil {
		var e *upstream.Error
		switch {
		case r.Context().Err() != nil:
			a.result = clientCanceled
		case errors.As(err, &e) && !e.Reached():
			a.result = notRun
		default:
			a.result = maybeRun
		}
		return
	}
	a.status = a.exchange.Response.StatusCode
	a.response = c.gateway.dialect.DecodeResponse(a.status, a.exchange.Response.Header)
	a.applyServerDirectives(c)
	if len(a.response.IgnoredHeaders) > 0 {
		if logged, ignored := a.backend.ignoredHeaders.logNow(now); logged {
			c.gateway.logger.Info("unparsable headers ignored", slog.String("request", c.request.ID), slog.String("server", a.backend.server), slog.Any("headers", a.response.IgnoredHeaders), slog.Int64("responses", ignored))
		}
	}
	if a.response.RequestID != c.request.ID {
		a.result, a.err = maybeRun, errWrongRequestID
		return
	}
	a.updateLoad(c, now)
	if a.response.WeightVersion > 0 && c.prompt != nil {
		a.backend.raiseWeightVersion(c.prompt.Model, a.response.WeightVersion)
	}
	if a.response.NotRun {
		a.result = notRun
	}
}

// applyServerDirectives handles a server that announces that it is leaving or asks for
// a pause. Every response from that server counts, whichever request it belongs to; a
// response that names another server is ignored.
func (a *attempt) applyServerDirectives(c *call) {
	b := a.backend
	if a.response.Server != "" && a.response.Server != b.server {
		return
	}
	c.gateway.reportUnknownDirectives(b, c.request.ID, a.response.UnknownDirectives)
	if a.response.Leaving {
		c.gateway.metrics.directives.WithLabelValues(directiveLeaving).Inc()
		c.gateway.markLeaving(b, c.request.ID)
	}
	if limit := a.response.RateLimit; limit != nil && limit.Limited {
		c.gateway.metrics.directives.WithLabelValues(directiveRateLimit).Inc()
	}
	if brittleness := a.response.Brittleness; brittleness != nil && brittleness.Brittle {
		c.gateway.metrics.directives.WithLabelValues(directiveBrittle).Inc()
	}
	c.gateway.observeLimits(b, a.response.RateLimit, a.response.Brittleness, c.request.ID)
	rejected := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if a.response.PauseFor != nil && rejected {
		c.gateway.pause(b, *a.response.PauseFor, c.request.ID)
	}
}

// updateLoad records the load that a server reports.
func (a *attempt) updateLoad(c *call, now time.Time) {
	if l := a.response.Load; l != nil {
		all := c.gateway.peers.othersLoad()
		a.backend.update(func(tracker *dispatch.BackendState) {
			others := c.gateway.placementLoad(a.backend, all)
			c.gateway.metrics.spread.recordBelief(a.backend.zone == c.gateway.zone, float64(l.Running+l.Waiting), tracker.Requests(others, now))
			tracker.ApplyReport(dispatch.Report(*l), others, now)
		})
	}
	if factor := a.response.Slowness; factor > 0 {
		a.backend.update(func(tracker *dispatch.BackendState) { tracker.StateSlowness(factor, now) })
	}
}

// isRefusal reports whether a server has refused or failed the request, and is not asked again.
func (c *call) isRefusal(a *attempt) bool {
	switch {
	case errors.Is(a.err, upstream.ErrConnectionLimit):
		return false // the limit is this instance's
	case a.err != nil:
		return !errors.Is(a.err, errAttemptTimeout)
	}
	return a.result == notRun && !c.mayTakeLater(a)
}

// recordAttempt updates the counters and the server state after an attempt, and logs
// a failed one.
func (c *call) recordAttempt(a *attempt) {
	b, now := a.backend, time.Now()
	c.triedServers[b.server] = true
	if c.isRefusal(a) {
		c.noteRefused(b)
	}
	var e *upstream.Error
	reached := !errors.As(a.err, &e) || e.Reached()
	if reached {
		c.attemptsSent++
	} else if e.Phase == upstream.PhaseDial {
		c.unreachable++
	}
	if a.exchange != nil {
		b.recordPath(a.exchange.OpenedAt())
	} else if e != nil && e.Phase == upstream.PhaseDial {
		b.recordPathFailure(false, a.startedAt)
	} else if isConnectionBroken(a.err) {
		b.recordPathFailure(true, now)
	}
	c.endRetry(a, reached, now)
	if a.result == maybeRun || a.result == responseReceived {
		c.mayHaveRun, c.ranServers[b.server] = true, true
	}
	cooldown := time.Duration(0)
	switch {
	case a.result == responseReceived && a.status < http.StatusInternalServerError:
		b.update(func(tracker *dispatch.BackendState) { tracker.Succeeded(now.Sub(a.startedAt), now) })
		return
	case a.result == responseReceived:
		b.recordFailure(false, now)
		return
	case a.result == clientCanceled && !b.unresponsive(a.startedAt, now):
		return
	case a.status == http.StatusMisdirectedRequest:
		c.handleMisdirected(a)
	case a.result == notRun && a.status != 0:
		// The server is full or executes a control operation; that is no failure.
		cooldown = b.recordRejection(a.response.Load, now)
		c.gateway.recordRoomRejection(b, a.response.Load, now)
	case errors.Is(a.err, upstream.ErrConnectionLimit) || errors.Is(a.err, errNotConfirmed) || errors.Is(a.err, errEvacuated):
	case errors.Is(a.err, errOtherIncarnation):
		b.retired.Store(true)
	default:
		// A server that responds to no request is down, even if the client gave up
		// first: a request that may not be retried is never canceled here, so its
		// client's leaving can be the only sign of it.
		unreachable := b.unresponsive(a.startedAt, now) || (e != nil && (e.Phase == upstream.PhaseDial || e.Phase == upstream.PhaseAwaitResponse) && !errors.Is(a.err, errAttemptTimeout))
		if e != nil && e.Phase != upstream.PhaseConnectionLimit && !errors.Is(a.err, errAttemptTimeout) {
			b.recordBroken(now)
		}
		cooldown = b.recordFailure(unreachable, now)
	}
	c.gateway.metrics.recordFailedAttempt(c, a)
	c.gateway.logger.Info("attempt failed", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
		slog.String("server", b.server), slog.String("address", b.address), slog.String("software", b.software.Version), slog.Int("status", a.status), slog.Bool("reached", reached),
		slog.Bool("not_run", a.result == notRun), slog.Bool("retry", a.retry), slog.Duration("took", now.Sub(a.startedAt)), slog.Duration("resting", cooldown), slog.Any("error", a.err))
}

// handleMisdirected handles 421 from a server that is not the incarnation addressed,
// or does not run the requested weight version.
func (c *call) handleMisdirected(a *attempt) {
	if a.response.Server != "" && a.response.Server != a.backend.server || c.prompt == nil {
		a.backend.retired.Store(true)
		return
	}
	// The server runs other weights than requested: as versions never decrease, these
	// are newer ones. A version above the target came from a wrong report.
	target := c.routing.targetVersions[c.prompt.Model]
	switch {
	case target > a.weightVersion:
		a.backend.raiseWeightVersion(c.prompt.Model, target)
	case target > 0 && target < a.weightVersion:
		a.backend.resetWeightVersion(c.prompt.Model, a.weightVersion, target)
	}
}
