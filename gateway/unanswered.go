package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// requestStage is how far a request without a response has got, as a label value of a metric.
type requestStage string

const (
	stageHead     requestStage = "head"
	stageBody     requestStage = "body"
	stageLookUp   requestStage = "looking up the stream"
	stageChoosing requestStage = "choosing a server"
	stageSent     requestStage = "sent to a server"
	stageReading  requestStage = "reading the response"
)

// progress is how far a request has got.
type progress struct {
	stage requestStage
	// responded is set before the response headers are sent to the client.
	responded bool
	// lastServer is the server that the request was last sent to.
	lastServer string
}

// Causes of requests that end without a response, as label values of a metric.
const (
	causeClientLeft   = "client left"
	causeBodyNotRead  = "body not read"
	causePanic        = "panic"
	causeProcessStops = "process stops"
	causeAborted      = "aborted"
)

// unansweredLogRate and unansweredLogBurst limit the log lines for requests without a
// response whose clients have not left, per second and at once.
const (
	unansweredLogRate  = 20
	unansweredLogBurst = 50
)

func newUnansweredLogLimiter() *rate.Limiter {
	return rate.NewLimiter(unansweredLogRate, unansweredLogBurst)
}

// unansweredCause returns why a request ends without a response.
func (c *call) unansweredCause(r *http.Request, recovered any) string {
	left := r.Context().Err() != nil
	switch {
	case recovered != http.ErrAbortHandler:
		return causePanic
	case left && c.gateway.stopping.Err() != nil:
		return causeProcessStops
	case c.stage == stageBody:
		return causeBodyNotRead // the client left, or sent what is no body
	case left:
		return causeClientLeft
	}
	return causeAborted
}

// recordUnanswered counts and logs a request whose connection is closed before the response
// headers. The lines are bounded, the metric counts every request.
func (c *call) recordUnanswered(r *http.Request, recovered any) {
	g := c.gateway
	cause := c.unansweredCause(r, recovered)
	g.metrics.unanswered.WithLabelValues(cause, string(c.stage)).Inc()
	level, limiter := slog.LevelWarn, g.unansweredLogLimiter
	if cause == causeClientLeft {
		level, limiter = slog.LevelInfo, g.accessLogLimiter
	}
	if !limiter.Allow() {
		return
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	g.logger.LogAttrs(context.Background(), level, "request ended without a response", slog.String("request", c.request.ID), slog.String("route", route), slog.String("cause", cause),
		slog.String("stage", string(c.stage)), slog.String("server", c.lastServer), slog.Int("sends", c.attemptsSent), slog.Bool("may_have_run", c.mayHaveRun),
		slog.Uint64("document", c.routing.documentVersion()), slog.Uint64("current_document", g.routing.Load().documentVersion()),
		slog.Bool("draining", g.drain.started()), slog.Int64("content_length", r.ContentLength), slog.Duration("took", time.Since(c.startedAt)))
}

// documentVersion returns the version of the site document; 0 if there is none.
func (rs *routingState) documentVersion() uint64 {
	if rs.table == nil {
		return 0
	}
	return rs.table.Version
}
