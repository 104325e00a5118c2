package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/relay"
	"github.com/galenaarch/galenaarch/retry"
	"github.com/galenaarch/galenaarch/routing"
)

// Limits of a run. The total duration of a stream is not limited.
const (
	// maxAttempts bounds the servers tried since the last generated token.
	maxAttempts = 3
	// maxResumes bounds how often a response is resumed on another server.
	maxResumes = 4
	// maxResumeServerWait bounds how long a started stream waits for a server
	// to resume on.
	maxResumeServerWait = 5 * time.Second
	resumePollInterval  = 100 * time.Millisecond
	// defaultFirstTokenTimeout bounds the wait for the first token if the
	// client sets no deadline.
	defaultFirstTokenTimeout = 10 * time.Minute
	// resumedTokenTimeout bounds the wait for the next token after a resume.
	resumedTokenTimeout = 2 * time.Minute
	// maxTokenGap bounds the time between two tokens.
	maxTokenGap = 30 * time.Second
	// lostServerGrace is how long a stream from a server that stopped
	// announcing may go without an event. A server that merely fails to announce
	// still streams. A stream that cannot be continued elsewhere stays until
	// maxTokenGap.
	lostServerGrace = time.Second
	// minRetryBackoff and maxRetryBackoff bound the backoff before a retry.
	minRetryBackoff = 5 * time.Millisecond
	maxRetryBackoff = 100 * time.Millisecond
)

// run is the execution of one prompt over one or more attempts.
type run struct {
	entry *Entry
	// prompt is the client's request. currentPrompt is what the next attempt
	// sends: the same prompt, or its continuation after a resume.
	prompt        *prompt
	currentPrompt *prompt
	out           *responseWriter
	// tried names the servers that failed since the last generated token.
	tried         []string
	attemptNumber int
	resumes       int
	// tokensAtResume is the number of tokens at the last resume. resumeWaited
	// is the time spent waiting for a server to resume on.
	tokensAtResume int
	resumeWaited   time.Duration
	// mayHaveRun is true if some failed attempt may have run the prompt.
	mayHaveRun bool
	// overloaded is true if a server refused an attempt for lack of capacity.
	overloaded bool
}

// runAttempts runs a prompt until its response is complete or refused.
func (e *Entry) runAttempts(ctx context.Context, p *prompt, out *responseWriter) *refusal.Error {
	e.retryBudget.Earn()
	r := &run{entry: e, prompt: p, currentPrompt: p, out: out}
	refused := r.runUntilDone(ctx)
	if refused != nil && out.started && p.stream {
		out.streamError = refused
		out.sendError(refused)
		e.metrics.requests.WithLabelValues("broken", string(refused.Code)).Inc()
		return nil
	}
	return refused
}

// runUntilDone makes attempts until the response is complete or no further
// attempt is allowed.
func (r *run) runUntilDone(ctx context.Context) *refusal.Error {
	for {
		decision, refused := r.route(ctx)
		if refused != nil {
			return refused
		}
		err := r.attempt(ctx, decision)
		if err == nil {
			return nil
		}
		again, refused := r.handleFailure(ctx, decision.Server, err)
		if !again {
			return refused
		}
	}
}

// route picks the server of the next attempt. A started stream waits for a
// server to appear, because an entry resuming from a process pause knows no
// servers at first.
func (r *run) route(ctx context.Context) (routeDecision, *refusal.Error) {
	decision, refused := r.routeOnce(ctx)
	for refused != nil && r.out.started && r.resumeWaited < maxResumeServerWait && ctx.Err() == nil {
		r.resumeWaited += resumePollInterval
		sleep(ctx, resumePollInterval)
		r.tried = nil // a failed server may have recovered
		decision, refused = r.routeOnce(ctx)
	}
	if refused != nil && r.out.started {
		return decision, r.exhausted()
	}
	return decision, refused
}

// routeOnce makes one attempt to pick a server. It may wait for a prefill of the
// same prefix and for server capacity. The caller must call release on the
// decision unless an error is returned.
func (r *run) routeOnce(ctx context.Context) (routeDecision, *refusal.Error) {
	if len(r.tried) >= maxAttempts {
		return routeDecision{}, r.exhausted()
	}
	if refused := r.checkDispatch(); refused != nil {
		return routeDecision{}, refused
	}
	if !r.entry.hasEligibleServer(r.currentPrompt, r.tried, r.out.started) {
		return routeDecision{}, r.exhausted()
	}
	decision, refused := r.entry.selectServer(ctx, r.currentPrompt, r.tried, r.out.started)
	if refused != nil {
		return decision, refused.WithExecution(r.executionStatus())
	}
	// The routing lease may have expired while waiting for a server.
	if refused := r.checkDispatch(); refused != nil {
		decision.release()
		return routeDecision{}, refused
	}
	return decision, nil
}

// checkDispatch refuses an attempt if this entry's routing may be stale.
func (r *run) checkDispatch() *refusal.Error {
	refused := r.entry.checkDispatch(time.Now())
	switch {
	case refused == nil:
		return nil
	case r.out.started:
		return r.exhausted()
	}
	return refused.WithExecution(r.executionStatus())
}

// exhausted returns the error for a run that gets no further attempt.
func (r *run) exhausted() *refusal.Error {
	const step = "run prompt"
	switch {
	case r.out.started:
		return refusal.New(refusal.CodeStreamBroken, step, "the stream broke off and no backend server could continue it")
	case len(r.tried) == 0:
		return refusal.New(refusal.CodeNoBackendServer, "route prompt", "no backend server serves this model now")
	case r.mayHaveRun:
		return refusal.New(refusal.CodeBackendServerFailed, step, "%d backend servers failed", len(r.tried))
	case r.overloaded:
		return refusal.New(refusal.CodeOverloaded, step, "the backend servers take no more prompts now")
	}
	return refusal.New(refusal.CodeNoBackendServer, step, "no backend server could be reached")
}

// handleFailure decides how to proceed after a failed attempt.
func (r *run) handleFailure(ctx context.Context, server *fleet.Server, err error) (again bool, refused *refusal.Error) {
	const step = "run prompt"
	if errors.Is(context.Cause(ctx), errDrainEnded) {
		return false, refusal.New(refusal.CodeOutcomeUnknown, step, "this entry is shutting down").WithPeer(server.Server)
	}
	if ctx.Err() != nil || r.out.writeFailed {
		return false, refusal.New(refusal.CodeClientDisconnected, step, "the caller is gone").WithPeer(server.Server)
	}
	r.entry.logger.Warn("attempt failed", slog.String("request", r.prompt.request.requestID),
		slog.Int("attempt", r.attemptNumber), slog.String("server", server.Server), slog.Any("error", err))
	if r.out.transcript.FinishReason() != "" {
		// Only the end-of-stream event is missing; the response is complete.
		server.Health.Failed(time.Now(), false)
		r.complete(routing.Decision{Server: server})
		return false, nil
	}
	if refused := r.engineRejection(server, err); refused != nil {
		return false, refused
	}
	r.recordFailure(server, err)
	if time.Since(r.prompt.received) >= r.prompt.firstTokenTimeout && !r.out.started {
		return false, refusal.New(refusal.CodeDeadlineExceeded, step, "no token came in time").WithPeer(server.Server).WithExecution(r.executionStatus())
	}
	if r.out.started {
		return r.resume(server)
	}
	return r.retry(ctx, server)
}

// complete ends the response and records its usage.
func (r *run) complete(d routing.Decision) {
	if r.out.transcript.Usage() == nil {
		r.out.transcript.EstimateUsage(r.prompt.tokens)
		_ = r.out.usageEvent() // the client may have disconnected
	}
	r.out.finish()
	r.entry.recordRun(r.prompt, d, r.out.transcript.Usage())
}

// engineRejection returns the error for a request that the engine rejected as
// invalid, or nil for any other failure.
func (r *run) engineRejection(server *fleet.Server, err error) *refusal.Error {
	var status *relay.StatusError
	if !errors.As(err, &status) || r.out.started {
		return nil
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		message := "the engine refused the request"
		if status.Message != "" {
			message += ": " + status.Message
		}
		return refusal.New(refusal.CodeInvalidRequest, "run prompt", "%s", message).WithPeer(server.Server).WithExecution(r.executionStatus())
	}
	return nil
}

// recordFailure records a failed attempt: the server counts as tried, and its
// health is lowered unless it merely has no capacity or the client's first-token
// timeout has expired.
func (r *run) recordFailure(server *fleet.Server, err error) {
	notRun := relay.ProvesNotRun(err)
	r.mayHaveRun = r.mayHaveRun || !notRun
	r.tried = append(r.tried, server.Server)
	var status *relay.StatusError
	if errors.As(err, &status) && notRun {
		// The server responded but has no capacity; this does not count against
		// its health.
		r.overloaded = true
		return
	}
	if errors.Is(err, relay.ErrEventTimeout) && !r.out.started {
		// The first-token timeout is chosen by the client. A short one must not
		// eject the server for other clients.
		return
	}
	server.Health.Failed(time.Now(), notRun || errors.Is(err, relay.ErrServerUnresponsive))
}

// executionStatus returns what is known about whether a failed attempt ran the
// prompt.
func (r *run) executionStatus() refusal.ExecutionStatus {
	if r.mayHaveRun {
		return refusal.OutcomeUnknown
	}
	return refusal.NotExecuted
}

// retry backs off before the next attempt of a prompt without output.
// Generation has no side effects, so running a prompt again is safe.
func (r *run) retry(ctx context.Context, server *fleet.Server) (bool, *refusal.Error) {
	if !r.entry.retryBudget.Spend() {
		return false, refusal.New(refusal.CodeBackendServerFailed, "run prompt", "the backend server failed and the retry budget is spent").
			WithPeer(server.Server).WithExecution(r.executionStatus())
	}
	r.entry.metrics.retries.WithLabelValues("prompt").Inc()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	select {
	case <-time.After(retry.Backoff(len(r.tried)-1, minRetryBackoff, maxRetryBackoff, random)):
	case <-ctx.Done():
	}
	return true, nil
}

// resume prepares the next attempt to continue the response after the text
// generated so far.
func (r *run) resume(server *fleet.Server) (bool, *refusal.Error) {
	streamBroken := refusal.New(refusal.CodeStreamBroken, "relay stream", "the stream broke off and cannot be continued").WithPeer(server.Server)
	transcript := &r.out.transcript
	if r.resumes >= maxResumes || !transcript.TextOnly() {
		return false, streamBroken
	}
	next, err := r.prompt.continuation(transcript.Text(), transcript.Tokens())
	if errors.Is(err, errNoTokensLeft) {
		transcript.SetFinishReason(finishLength)
		if r.out.finishEvent() != nil {
			return false, nil // the client has disconnected
		}
		r.complete(routing.Decision{Server: server})
		return false, nil
	}
	if err != nil {
		return false, streamBroken
	}
	if transcript.Tokens() > r.tokensAtResume {
		r.resumes++
		r.tokensAtResume = transcript.Tokens()
		r.tried = []string{server.Server}
	}
	r.currentPrompt = next
	transcript.BeginAttempt()
	r.entry.metrics.retries.WithLabelValues("resume").Inc()
	return true, nil
}

// attempt runs the current prompt on one server. It returns nil once the response
// is complete.
func (r *run) attempt(ctx context.Context, d routeDecision) error {
	e, p := r.entry, r.currentPrompt
	defer d.release()
	r.attemptNumber++
	ctx, span := e.kernel.Tracer.Start(ctx, "entry.attempt")
	defer span.End()
	span.SetAttributes(attribute.String("server", d.Server.Server), attribute.Int("attempt", r.attemptNumber), attribute.Int("import_blocks", d.ImportBlocks))
	body, err := e.engineBody(p)
	if err != nil {
		return err
	}
	e.beginTransfers(p.importPlan)
	defer p.importPlan.cancel()
	e.prefills.start(p)
	defer e.prefills.finish(p)
	covered := (d.CachedBlocks + d.ImportBlocks) * p.deployment.BlockTokens
	clearPending, end := d.Server.StartRun(int64(max(0, p.tokens-covered)), p.priority == config.PriorityBatch)
	defer end()
	startedAt := time.Now()
	onFirstToken := sync.OnceFunc(func() {
		clearPending()
		e.admitter.recordStart(p.deployment.Name, time.Since(startedAt), time.Now())
		e.recordPrefill(p, d.Decision)
	})
	id := relay.Attempt{RequestID: p.request.requestID, Number: r.attemptNumber}
	header := http.Header{headerRequestID: {id.ID()}}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	started := r.out.started
	ctx, watch := watchServer(ctx, d.Server, func(events uint64) bool {
		return (!started && events == 0) || p.continuable()
	})
	defer watch.stop()
	target := relay.Target{Server: d.Server.Server, URL: d.Server.URL + p.path}
	stream, err := relay.Open(ctx, e.engineClient, target, body, header, id, r.timeouts())
	d.release()
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := r.relayEvents(stream, watch, onFirstToken); err != nil {
		return err
	}
	d.Server.Health.Succeeded()
	r.complete(d.Decision)
	return nil
}

// timeouts returns the timeouts of the next attempt.
func (r *run) timeouts() relay.Timeouts {
	left := max(0, r.prompt.firstTokenTimeout-time.Since(r.prompt.received))
	if r.out.started {
		left = resumedTokenTimeout
	}
	return relay.Timeouts{FirstEvent: left, Idle: maxTokenGap}
}

// relayEvents forwards events until the end of the stream. It reads the next
// event only after writing the previous one, so that a slow client applies
// backpressure to the engine.
func (r *run) relayEvents(stream *relay.Stream, watch *serverWatch, onFirstToken func()) error {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.checkComplete()
		}
		if err != nil {
			return err
		}
		watch.recordEvent()
		onFirstToken()
		if !r.out.started {
			p := r.prompt
			r.entry.metrics.firstToken.WithLabelValues(p.deployment.Name, string(p.priority)).Observe(time.Since(p.received).Seconds())
		}
		if err := r.out.write(event, r.attemptNumber); err != nil {
			return err
		}
	}
}

// checkComplete returns an error if the stream ended without a finish reason.
func (r *run) checkComplete() error {
	if r.out.transcript.FinishReason() == "" {
		return relay.ErrTruncated
	}
	return nil
}
