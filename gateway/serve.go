package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/intake"
)

// errStopping ends the requests that are in progress when the process is about to exit.
var errStopping = errors.New("the process is stopping")

// errDeadline ends a request whose client or route timeout has passed.
var errDeadline = errors.New("request deadline exceeded")

// serve sends the request until it gets a response, and relays it.
func (c *call) serve(rw http.ResponseWriter, r *http.Request) {
	s := &stream{call: c, rw: rw, lastEventID: c.request.LastEventID}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer intake.FromContext(r.Context()).OnHalfClose(s.sendComment)()
	defer s.startDeadline(cancel)()
	defer context.AfterFunc(c.gateway.stopping, func() { cancel(errStopping) })()
	if c.resumed() && c.software.Load() == nil {
		if reason := c.bindResumed(ctx); reason != "" {
			c.giveUp(rw, r, s, c.endOr(ctx, r, reason))
			return
		}
	}
	if c.forwarded == nil {
		c.gateway.retryBudget(c.service.Name).RecordRequest(c.startedAt)
	}
	defer c.returnRetries()
	defer c.releaseReturn()
	defer c.releaseReserved()
	for {
		a, reason := c.nextResponse(ctx, r, s)
		if a == nil {
			if c.awaitServer(ctx, reason) {
				continue
			}
			c.giveUp(rw, r, s, reason)
			return
		}
		if c.relayAndRelease(rw, r, s, a) {
			return
		}
	}
}

// startDeadline cancels the request at its deadline, which leaves time for a last response.
// A response that has begun can only be cut, so it has that time too, as has one that waits to be
// read: what arrives by the client's deadline is of use. The returned function stops the timer.
func (s *stream) startDeadline(cancel context.CancelCauseFunc) (stop func() bool) {
	return time.AfterFunc(time.Until(s.call.deadline), func() {
		if s.begun.Load() || s.call.mayRelay() {
			time.AfterFunc(s.call.responseMargin, func() { cancel(errDeadline) })
			return
		}
		cancel(errDeadline)
	}).Stop
}

// relayAndRelease relays a response and releases the attempt, also when a panic
// aborts the client's connection.
func (c *call) relayAndRelease(rw http.ResponseWriter, r *http.Request, s *stream, a *attempt) bool {
	defer a.release()
	return c.relay(rw, r, s, a)
}

// rejectReason says why a request gets no response from a server. The texts are sent to
// clients and are label values of a metric, so they keep older words than the code.
type rejectReason string

const (
	reasonNoServer     rejectReason = "no server"
	reasonNoBudget     rejectReason = "no repeats left"
	reasonNotRetryable rejectReason = "may not be sent again"
	reasonDeadline     rejectReason = "time is over"
	reasonClientLeft   rejectReason = "caller left"
	reasonNoCapacity   rejectReason = "no answer in time"
	reasonAllPaused    rejectReason = "servers want nothing"
	reasonRateLimited  rejectReason = "rate limited"
	reasonNoRoom       rejectReason = "servers have no room"
	reasonStopping     rejectReason = "stopping"
	reasonNoMemory     rejectReason = "no memory for the request"
	reasonNoDocument   rejectReason = "no document yet"
	reasonRepeatUnsafe rejectReason = "may end another server"

	reasonSoftwareUnknown rejectReason = "software of the stream is not known"
	reasonNoSameSoftware  rejectReason = "no server with the software of the stream"

	reasonPartQuarantined    rejectReason = "part of the prompt is quarantined"
	reasonRequestQuarantined rejectReason = "request is quarantined"
)

// nextResponse sends the request to servers until one responds. It returns nil and
// the reason when the request is given up.
func (c *call) nextResponse(ctx context.Context, r *http.Request, s *stream) (*attempt, rejectReason) {
	for {
		c.stage = stageChoosing
		if err := ctx.Err(); err != nil {
			if r.Context().Err() != nil {
				return nil, reasonClientLeft
			}
			return nil, endReason(ctx)
		}
		now := time.Now()
		if !c.timeLeft(now) {
			return nil, reasonDeadline
		}
		if c.prepareCauses(); c.rejectQuarantined(now) {
			return nil, c.quarantineReason()
		}
		if reason := c.repeatBlocked(now); reason != "" {
			return nil, reason
		}
		if reason := c.takeRetry(now); reason != "" {
			return nil, reason
		}
		result := placementResult{backend: c.takeReserved()}
		if result.backend == nil {
			result = c.gateway.place(ctx, c)
		}
		if result.backend == nil {
			if r.Context().Err() != nil {
				return nil, reasonClientLeft
			}
			if ctx.Err() != nil {
				return nil, endReason(ctx)
			}
			c.keepRetry()
			return nil, c.resolveReason(result.reason)
		}
		// A request that may have run goes on: its client can do no better elsewhere.
		if !c.mayHaveRun && !s.headersSent && !c.endsInTime() {
			c.undoReservation(result.backend)
			return nil, reasonStopping
		}
		c.holdReturn()
		a := c.sendTo(ctx, r, result.backend, s.lastEventID)
		switch a.result {
		case responseReceived:
			if !c.shouldRetry(a) {
				c.refundSpareRetry()
				return a, ""
			}
		case clientCanceled:
			a.release()
			return nil, reasonClientLeft
		}
		a.release()
	}
}

// sendTo sends the request to a server or passes it on to another instance.
func (c *call) sendTo(ctx context.Context, r *http.Request, b *backend, lastEventID string) *attempt {
	if b.peer != nil {
		return c.forward(ctx, r, b, lastEventID)
	}
	return c.send(ctx, r, b, lastEventID, c.attemptTimeout(time.Now()))
}

// endReason returns why the context of a request has ended although its client waits.
func endReason(ctx context.Context) rejectReason {
	if errors.Is(context.Cause(ctx), errStopping) {
		return reasonStopping
	}
	return reasonDeadline
}

// endOr returns why the request has ended, or another reason if it has not.
func (c *call) endOr(ctx context.Context, r *http.Request, other rejectReason) rejectReason {
	switch {
	case r.Context().Err() != nil:
		return reasonClientLeft
	case ctx.Err() != nil:
		return endReason(ctx)
	}
	return other
}

// resolveReason returns the final reason why there is no server for the request.
func (c *call) resolveReason(reason rejectReason) rejectReason {
	if reason == reasonNoServer && c.gateway.routing.Load().allEvacuated(c.service.Name) {
		return reasonEvacuated
	}
	if reason == reasonNoServer && c.boundElsewhere() {
		return reasonNoSameSoftware
	}
	if reason == reasonNoServer && len(c.rateLimited) > 0 {
		return reasonRateLimited
	}
	if reason == reasonNoServer && !c.pausedUntil.IsZero() {
		return reasonAllPaused
	}
	return reason
}

// keptBack reports whether a decision sends the request anywhere, and if not, why it is rejected;
// the reason is empty if it waits. The caller holds the state's lock.
func (c *call) keptBack(d dispatch.Decision, now time.Time) (reason rejectReason, sent bool) {
	switch d.Action {
	case dispatch.NoServer:
		return reasonNoServer, false
	case dispatch.Reject:
		if c.prompt == nil {
			return reasonNoRoom, false
		}
		return reasonNoCapacity, false
	case dispatch.Hold:
		if c.prompt == nil && !c.ordered() && !c.roomInTime(now) {
			return reasonNoRoom, false
		}
		return "", false
	}
	return "", true
}

// attemptTimeout returns how long one server may take to begin its response.
func (c *call) attemptTimeout(now time.Time) time.Duration {
	if !c.retryable() {
		return c.deadline.Sub(now)
	}
	client := c.clientTime(now)
	return client.AttemptTimeout(now)
}

// takeRetry returns the reason why a request may not be sent (again), or an empty one.
// The first attempt that reaches a server needs no retry. A further one uses a retry that the
// call holds, or one from the budget.
func (c *call) takeRetry(now time.Time) rejectReason {
	if len(c.triedServers) == 0 && c.attemptsSent == 0 && c.forwards == 0 && !c.leftSilent {
		return ""
	}
	if c.mayHaveRun && (!c.retryable() || !c.mayRunAgain()) {
		return reasonNotRetryable
	}
	if c.onlyPeers = c.reserved == nil && c.serversExhausted(); c.onlyPeers && (c.unreachable == 0 || !c.mayForward()) {
		return reasonNoServer
	}
	if c.attemptsSent > 0 && !c.useRetry(now) {
		return reasonNoBudget
	}
	return ""
}

// mayRunAgain reports whether the route allows another run of the request: at a further
// server, or at one that may have run it and is not excluded.
func (c *call) mayRunAgain() bool {
	if len(c.ranServers) < max(1, c.route.MaxServers) {
		return true
	}
	for server := range c.ranServers {
		if !c.triedServers[server] && !strings.HasPrefix(server, peerServerPrefix) {
			return true
		}
	}
	return false
}

// shouldRetry reports whether a server's response is an error that another server may
// not have.
func (c *call) shouldRetry(a *attempt) bool {
	return a.forward == nil && a.status >= http.StatusInternalServerError && c.retryable() && len(c.ranServers) < c.route.MaxServers && c.timeLeft(time.Now())
}

// giveUp sends the final response to the client at once. 503 promises that the
// request has not run and never will.
func (c *call) giveUp(rw http.ResponseWriter, r *http.Request, s *stream, reason rejectReason) {
	if reason == reasonClientLeft {
		c.gateway.metrics.recordOutcome(c, string(reason))
		panic(http.ErrAbortHandler)
	}
	if s.headersSent {
		c.abort(s, reason)
	}
	status, after := http.StatusServiceUnavailable, c.retryAfterReason(reason)
	switch {
	case c.mayHaveRun && reason == reasonDeadline:
		status, after = http.StatusGatewayTimeout, 0
	case c.mayHaveRun:
		status, after = http.StatusBadGateway, 0
	}
	c.gateway.reject(rw, c, status, string(reason), after, nil)
}

// retryAfterReason returns the time after which a client whose request was rejected may retry.
func (c *call) retryAfterReason(reason rejectReason) time.Duration {
	after := c.retryAfter()
	switch reason {
	case reasonStopping:
		after = drainRetryAfter
	case reasonSoftwareUnknown, reasonNoSameSoftware, reasonEvacuated:
		after = c.gateway.announceInterval
	}
	return after
}

// abort ends a stream that has begun and cannot go on. The closed connection tells the
// client that it is not complete.
func (c *call) abort(s *stream, reason rejectReason) {
	g := c.gateway
	g.streams.flush()
	g.metrics.recordOutcome(c, "broken off")
	g.metrics.aborted.WithLabelValues(s.interruption).Inc()
	g.logger.Warn("stream aborted", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
		slog.String("cause", s.interruption), slog.String("reason", string(reason)), slog.String("last_event", s.lastEventID), slog.String("software", c.softwareVersion()), slog.Int("sends", c.attemptsSent),
		slog.Uint64("document", c.routing.table.Version), slog.Uint64("current_document", g.routing.Load().table.Version), slog.Duration("took", time.Since(c.startedAt)))
	panic(http.ErrAbortHandler)
}

// timeBudget returns the time allowed by the client and the route; 0 if the request was
// rejected before that was known.
func (c *call) timeBudget() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(c.startedAt)
}

// reject sends a response that the gateway generates itself.
func (g *Gateway) reject(rw http.ResponseWriter, c *call, status int, reason string, after time.Duration, err error) {
	g.metrics.recordOutcome(c, reason)
	c.rejected = rejectReason(reason)
	rs := g.routing.Load()
	route, servers, document, tokens := "", 0, rs.documentVersion(), 0
	if c.route != nil {
		route = c.route.Name
	}
	if c.service != nil {
		servers = len(rs.services[c.service.Name])
	}
	if c.prompt != nil {
		tokens = c.prompt.Tokens
	}
	g.logger.Info("request rejected", slog.String("request", c.request.ID), slog.String("route", route), slog.Int("status", status),
		slog.String("reason", reason), slog.Int("sends", c.attemptsSent), slog.String("software", c.softwareVersion()), slog.Bool("may_have_run", c.mayHaveRun), slog.Int("servers_known", servers), slog.Int("prompt_tokens", tokens),
		slog.String("quarantined_part", loggedPart(c.quarantined)), slog.String("quarantined_request", shortDigest(c.quarantined.Request)), slog.Uint64("document", document), slog.Duration("come_back", after), slog.Duration("in_turn", c.decision.Estimate.ArrivalOrderWait), slog.Duration("behind", c.decision.Estimate.DeferredWait), slog.Duration("held", c.queueTime), slog.Duration("patience", c.timeBudget()),
		slog.Duration("took", time.Since(c.startedAt)), slog.String("forwarded_by", c.forwardedBy()), slog.Any("error", err))
	c.responded = true
	g.dialect.SetErrorHeader(rw.Header(), c.request.ID, after)
	rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, reason+"\n") // the client may have left
}
