package services

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/fleet"
)

// Limits for updates of call records.
const (
	// recordTimeout limits the time for recording a call before it is sent, and
	// the time for which its response is delayed until the outcome is recorded.
	recordTimeout = 5 * time.Second
	// backgroundTimeout is the time limit for a record update that continues
	// after the client has its response.
	backgroundTimeout = time.Minute
	// maxBackgroundUpdates is the maximum number of concurrent record updates in
	// the background.
	maxBackgroundUpdates = 64
)

// doAtMostOnce commits a call record, sends the call and records the outcome. If
// the connection to a server fails, that server cannot have run the call, so the
// call may be sent to another.
func (d *Dispatcher) doAtMostOnce(ctx context.Context, r *Request, servers []*fleet.Server) (*Response, *refusal.Error) {
	tried := make(map[*fleet.Server]bool)
	for {
		server := leastLoaded(servers, tried)
		if server == nil || len(tried) >= maxAttempts {
			return nil, noServerError(r)
		}
		if len(tried) > 0 {
			if !d.budget.Spend() {
				return nil, noServerError(r)
			}
			d.onRetry("service")
		}
		tried[server] = true
		response, apiErr, retry := d.attemptRecorded(ctx, r, server)
		if !retry {
			return response, apiErr
		}
	}
}

// attemptRecorded makes one recorded attempt. It returns true if the attempt is
// recorded as not run and the call may be sent to another server.
func (d *Dispatcher) attemptRecorded(ctx context.Context, r *Request, server *fleet.Server) (*Response, *refusal.Error, bool) {
	beginReq := d.newBeginRequest(r, server)
	begun, err := d.beginCall(ctx, beginReq)
	if err != nil {
		// A call is never sent without a committed record.
		d.runInBackground(func(ctx context.Context) { d.releaseRecord(ctx, beginReq) })
		return nil, refusal.New(refusal.CodeControlUnavailable, "record call", "the call could not be recorded"), false
	}
	if begun.Outcome != controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH {
		response, apiErr := responseFromRecord(r, begun, time.Now())
		return response, apiErr, false
	}
	attempt := begun.Record.Attempt
	if ctx.Err() != nil || r.deadlinePassed() {
		d.recordOutcome(r, notRunOutcome(attempt))
		return nil, refusal.New(refusal.CodeDeadlineExceeded, "call service", "the caller's time ended before the call was sent").
			WithExecution(refusal.NotExecuted), false
	}
	// The call may run once it is sent, so it is not cancelled when the client
	// disconnects: its outcome must be recorded.
	response, err := d.send(context.WithoutCancel(ctx), r, server)
	return d.finishAttempt(r, server, attempt, response, err)
}

func (r *Request) deadlinePassed() bool { return !r.Deadline.IsZero() && time.Now().After(r.Deadline) }

// newBeginRequest returns the request that records the start of a call. The digest
// covers method, service, path, query and body, so that a reuse of the idempotency
// key for another request is detected.
func (d *Dispatcher) newBeginRequest(r *Request, server *fleet.Server) *controlv1.BeginCallRequest {
	digest := sha256.Sum256(append([]byte(r.Method+" "+r.Service+r.Path+"?"+r.Query+"\n"), r.Body...))
	return &controlv1.BeginCallRequest{
		ClientAccount: r.ClientAccount,
		Key:           r.IdempotencyKey,
		BodyDigest:    digest[:],
		Entry:         d.entry,
		Server:        server.Server,
		DispatchId:    uuid.NewString(),
	}
}

func (d *Dispatcher) beginCall(ctx context.Context, beginReq *controlv1.BeginCallRequest) (*controlv1.BeginCallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return d.control.BeginCall(ctx, beginReq)
}

// finishAttempt records the outcome of a call that was sent and returns the result
// for the client. It returns true if another server may be tried.
func (d *Dispatcher) finishAttempt(r *Request, server *fleet.Server, attempt uint32, response *Response, err error) (*Response, *refusal.Error, bool) {
	const step = "call service"
	switch {
	case err == nil:
		d.recordOutcome(r, finishedOutcome(attempt, response))
		return response, nil, false
	case errors.Is(err, errResponseTooLarge):
		d.recordOutcome(r, finishedOutcome(attempt, response))
		return nil, responseNotStoredError().WithPeer(server.Server), false
	case isDialError(err):
		if !d.recordOutcome(r, notRunOutcome(attempt)) {
			return nil, noServerError(r), false
		}
		return nil, nil, true
	}
	d.recordOutcome(r, &controlv1.FinishCallRequest{Attempt: attempt, State: controlv1.CallState_CALL_STATE_OUTCOME_UNKNOWN})
	return nil, refusal.New(refusal.CodeOutcomeUnknown, step, "the call was sent and no answer came").WithPeer(server.Server), false
}

func notRunOutcome(attempt uint32) *controlv1.FinishCallRequest {
	return &controlv1.FinishCallRequest{Attempt: attempt, State: controlv1.CallState_CALL_STATE_NOT_RUN}
}

// finishedOutcome returns the outcome of a completed call. It omits a response body
// that is too large for the call record.
func finishedOutcome(attempt uint32, response *Response) *controlv1.FinishCallRequest {
	finish := &controlv1.FinishCallRequest{
		Attempt:           attempt,
		State:             controlv1.CallState_CALL_STATE_FINISHED,
		StatusCode:        uint32(response.Status),
		AnswerContentType: response.ContentType,
		AnswerOmitted:     response.Body == nil || len(response.Body) > state.MaxAnswerBytes,
	}
	if !finish.AnswerOmitted {
		finish.Answer = response.Body
	}
	return finish
}

// recordOutcome records an outcome even if the client has disconnected. It returns
// false if the update was not confirmed in time; the update is then retried in the
// background.
func (d *Dispatcher) recordOutcome(r *Request, finish *controlv1.FinishCallRequest) bool {
	finish.ClientAccount, finish.Key = r.ClientAccount, r.IdempotencyKey
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := d.control.FinishCall(ctx, finish); err == nil {
		return true
	}
	// If this fails too, the record expires and the outcome is reported as unknown.
	d.runInBackground(func(ctx context.Context) { _, _ = d.control.FinishCall(ctx, finish) })
	return false
}

// runInBackground runs a record update that outlives its client's request. If
// maxBackgroundUpdates are running, the update is dropped: the record then expires
// and its outcome is reported as unknown.
func (d *Dispatcher) runInBackground(update func(context.Context)) {
	select {
	case d.backgroundSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.backgroundSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		update(ctx)
	}()
}

// releaseRecord releases the record of a call whose start was not confirmed. If
// the control plane has recorded the start, it grants the same dispatch again, and
// the call is then marked as not run.
func (d *Dispatcher) releaseRecord(ctx context.Context, beginReq *controlv1.BeginCallRequest) {
	begun, err := d.control.BeginCall(ctx, beginReq)
	if err != nil || begun.Outcome != controlv1.BeginOutcome_BEGIN_OUTCOME_DISPATCH {
		return
	}
	finish := notRunOutcome(begun.Record.Attempt)
	finish.ClientAccount, finish.Key = beginReq.ClientAccount, beginReq.Key
	_, _ = d.control.FinishCall(ctx, finish) // on failure the outcome is reported as unknown
}

// responseFromRecord returns the response or error for a call whose idempotency key
// is already recorded.
func responseFromRecord(r *Request, begun *controlv1.BeginCallResponse, now time.Time) (*Response, *refusal.Error) {
	const step = "record call"
	switch begun.Outcome {
	case controlv1.BeginOutcome_BEGIN_OUTCOME_FINISHED:
		return replayResponse(begun.Record)
	case controlv1.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS:
		// A call that began longer ago than its timeout plus the time to record
		// its start and outcome can no longer be in progress.
		if now.Sub(time.UnixMilli(begun.Record.BegunUnixMs)) > r.Call.Timeout.Std()+2*recordTimeout {
			return nil, refusal.New(refusal.CodeOutcomeUnknown, step, "a call with this idempotency key was begun and no outcome was recorded")
		}
		return nil, refusal.New(refusal.CodeInProgress, step, "a call with this idempotency key is under way")
	case controlv1.BeginOutcome_BEGIN_OUTCOME_BODY_MISMATCH:
		return nil, refusal.New(refusal.CodeIdempotencyKeyReused, step, "the idempotency key was used with another request")
	case controlv1.BeginOutcome_BEGIN_OUTCOME_FULL:
		return nil, refusal.New(refusal.CodeCallRecordsFull, step, "no space for another call record of this account")
	}
	return nil, refusal.New(refusal.CodeOutcomeUnknown, step, "a call with this idempotency key was sent and its outcome is not known")
}

// replayResponse returns the recorded response of a finished call.
func replayResponse(record *controlv1.CallRecord) (*Response, *refusal.Error) {
	if record.AnswerOmitted {
		return nil, responseNotStoredError().WithPeer(record.Server)
	}
	return &Response{
		Status:      int(record.StatusCode),
		ContentType: record.AnswerContentType,
		Body:        record.Answer,
		Replayed:    true,
	}, nil
}

func responseNotStoredError() *refusal.Error {
	return refusal.New(refusal.CodeResponseNotStored, "call service", "the call ran and its answer is too long to be kept")
}
