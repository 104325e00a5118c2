package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/config/site"
)

// errTimeUp ends a request whose caller's patience, or route's time, is over.
var errTimeUp = errors.New("the time for the request is over")

// serve sends the request until it has an answer, and relays that.
func (c *call) serve(rw http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errTimeUp)
	defer cancel()
	c.gateway.budget(c.service.Name).Request(c.began)
	s := &stream{call: c, rw: rw, lastEvent: c.request.LastEvent}
	for {
		a, final := c.next(ctx, r, s)
		if a == nil {
			c.giveUp(rw, r, s, final)
			return
		}
		if c.relayAndEnd(rw, r, s, a) {
			return
		}
	}
}

// relayAndEnd relays an answer and releases what the attempt holds, also when
// the caller's connection is broken off by a panic.
func (c *call) relayAndEnd(rw http.ResponseWriter, r *http.Request, s *stream, a *attempt) bool {
	defer a.release()
	return c.relay(rw, r, s, a)
}

// reason says why a request gets no answer of a server.
type reason string

const (
	noServer  reason = "no server"
	noBudget  reason = "no repeats left"
	noRepeats reason = "may not be sent again"
	timeUp    reason = "time is over"
	leftEarly reason = "caller left"
	noRoom    reason = "no answer in time"
	allPaused reason = "servers want nothing"
)

// next sends the request to servers until one answers. It returns nil and the
// reason when the request is to be given up.
func (c *call) next(ctx context.Context, r *http.Request, s *stream) (*attempt, reason) {
	for {
		if err := ctx.Err(); err != nil {
			if r.Context().Err() != nil {
				return nil, leftEarly
			}
			return nil, timeUp
		}
		now := time.Now()
		left := c.deadline.Sub(now)
		if left < leastLeft {
			return nil, timeUp
		}
		if why := c.mayRepeat(now); why != "" {
			return nil, why
		}
		got := c.gateway.place(ctx, c)
		if got.backend == nil {
			if r.Context().Err() != nil {
				return nil, leftEarly
			}
			return nil, c.reason(got.why)
		}
		a := c.send(ctx, r, got.backend, s.lastEvent, c.patience(time.Until(c.deadline)))
		switch a.verdict {
		case answered:
			if !c.worthRepeating(a) {
				return a, ""
			}
		case callerGone:
			a.release()
			return nil, leftEarly
		}
		a.release()
	}
}

// reason is why there is no server for the request.
func (c *call) reason(why reason) reason {
	if why == noServer && !c.pausedUntil.IsZero() {
		return allPaused
	}
	return why
}

// patience is how long one server may take to begin its answer.
func (c *call) patience(left time.Duration) time.Duration {
	if !c.repeatable() {
		return left
	}
	p := time.Duration(patienceShare * float64(left))
	if c.route.Kind == site.KindStream {
		p = min(p, firstPatience)
	}
	return p
}

// mayRepeat says why a request may not be sent (again), or nothing.
func (c *call) mayRepeat(now time.Time) reason {
	if len(c.tried) == 0 {
		return ""
	}
	if c.ran && (!c.repeatable() || c.sends >= max(1, c.route.MaxServers)) {
		return noRepeats
	}
	if len(c.tried) >= max(1, c.route.MaxServers)+extraSends {
		return noServer
	}
	if c.granted {
		c.granted = false
		return ""
	}
	if c.sends > 0 && !c.gateway.budget(c.service.Name).Take(now) {
		return noBudget
	}
	return ""
}

// worthRepeating reports whether a server's answer is a failure of its own that
// another server may not have.
func (c *call) worthRepeating(a *attempt) bool {
	return a.status >= http.StatusInternalServerError && c.repeatable() && c.sends < c.route.MaxServers &&
		time.Until(c.deadline) > 2*leastLeft
}

// giveUp gives the caller the final answer at once. 503 promises that the
// request has not run and never will.
func (c *call) giveUp(rw http.ResponseWriter, r *http.Request, s *stream, why reason) {
	if why == leftEarly {
		c.gateway.metrics.outcome(c, string(why))
		panic(http.ErrAbortHandler)
	}
	if s.begun {
		c.gateway.metrics.outcome(c, "broken off")
		c.gateway.logger.Warn("stream broken off", slog.String("request", c.request.ID), slog.String("route", c.route.Name),
			slog.String("reason", string(why)), slog.String("last_event", s.lastEvent), slog.Int("sends", c.sends))
		panic(http.ErrAbortHandler)
	}
	status, after := http.StatusServiceUnavailable, c.comeBack()
	switch {
	case c.ran && why == timeUp:
		status, after = http.StatusGatewayTimeout, 0
	case c.ran:
		status, after = http.StatusBadGateway, 0
	}
	c.gateway.refuse(rw, c, status, string(why), after, nil)
}

// patienceGiven is the time that the caller and the route left; 0 if the request
// was refused before that was known.
func (c *call) patienceGiven() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(c.began)
}

// refuse writes an answer of the gateway's own.
func (g *Gateway) refuse(rw http.ResponseWriter, c *call, status int, why string, after time.Duration, err error) {
	g.metrics.outcome(c, why)
	route, servers, document, tokens := "", 0, uint64(0), 0
	if c.route != nil {
		route = c.route.Name
	}
	if c.service != nil {
		w := g.world.Load()
		servers, document = len(w.services[c.service.Name]), w.table.Version
	}
	if c.prompt != nil {
		tokens = c.prompt.Tokens
	}
	g.logger.Info("request refused", slog.String("request", c.request.ID), slog.String("route", route), slog.Int("status", status),
		slog.String("reason", why), slog.Int("sends", c.sends), slog.Bool("may_have_run", c.ran), slog.Int("servers_known", servers), slog.Int("prompt_tokens", tokens),
		slog.Uint64("document", document), slog.Duration("come_back", after), slog.Duration("in_turn", c.decision.Outlook.InTurn), slog.Duration("behind", c.decision.Outlook.Behind), slog.Duration("held", c.held), slog.Duration("patience", c.patienceGiven()),
		slog.Duration("took", time.Since(c.began)), slog.Any("error", err))
	g.dialect.Refusal(rw.Header(), c.request.ID, after)
	rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, why+"\n") // the caller may have left
}
