// Package refusal defines the error responses returned to clients. Each code has
// an HTTP status, states whether the request was executed, and states when to
// retry.
package refusal

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Code identifies the cause of a refusal.
type Code string

// ExecutionStatus states what is known about the execution of the request.
type ExecutionStatus string

// Values for the execution of a request. They apply only to the attempt being
// answered: an earlier attempt with the same idempotency key may have been
// executed.
const (
	// NotExecuted: the request is known not to have been dispatched.
	NotExecuted ExecutionStatus = "not_run"
	// OutcomeUnknown: the request was dispatched but its outcome is not known.
	OutcomeUnknown ExecutionStatus = "outcome_unknown"
	// Executed: the request was executed partly or completely.
	Executed ExecutionStatus = "ran"
)

// Refusal codes.
const (
	CodeInvalidRequest       Code = "invalid_request"
	CodeUnauthorized         Code = "unauthorized"
	CodeNotFound             Code = "not_found"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeInProgress           Code = "in_progress"
	CodeRateLimited          Code = "rate_limited"
	CodeOverloaded           Code = "overloaded"
	CodeDraining             Code = "draining"
	CodeNoBackendServer      Code = "no_backend_server"
	CodeControlUnavailable   Code = "control_unavailable"
	CodeConfigNotCurrent     Code = "configuration_not_current"
	CodeCallRecordsFull      Code = "call_records_full"
	CodeBackendServerFailed  Code = "backend_server_failed"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeStreamBroken         Code = "stream_broken"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeServiceRejected      Code = "service_rejected"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeUnsupportedOption    Code = "unsupported_option"
	CodeClientDisconnected   Code = "caller_gone"
	CodeResponseNotStored    Code = "answer_not_kept"
)

// statusClientClosedRequest is the nonstandard status that servers commonly log
// when the client disconnects before the response.
const statusClientClosedRequest = 499

// codeSpec holds the default response attributes of a code.
type codeSpec struct {
	status    int
	execution ExecutionStatus
	// retryAfter is 0 if retrying the same request cannot succeed.
	retryAfter time.Duration
	errorType  string
}

var codeSpecs = map[Code]codeSpec{
	CodeInvalidRequest:       {http.StatusBadRequest, NotExecuted, 0, "invalid_request_error"},
	CodeUnsupportedOption:    {http.StatusBadRequest, NotExecuted, 0, "invalid_request_error"},
	CodeUnauthorized:         {http.StatusUnauthorized, NotExecuted, 0, "authentication_error"},
	CodeNotFound:             {http.StatusNotFound, NotExecuted, 0, "invalid_request_error"},
	CodeMethodNotAllowed:     {http.StatusMethodNotAllowed, NotExecuted, 0, "invalid_request_error"},
	CodeBodyTooLarge:         {http.StatusRequestEntityTooLarge, NotExecuted, 0, "invalid_request_error"},
	CodeIdempotencyKeyReused: {http.StatusUnprocessableEntity, NotExecuted, 0, "invalid_request_error"},
	CodeInProgress:           {http.StatusConflict, OutcomeUnknown, time.Second, "conflict_error"},
	CodeRateLimited:          {http.StatusTooManyRequests, NotExecuted, time.Second, "rate_limit_error"},
	CodeOverloaded:           {http.StatusServiceUnavailable, NotExecuted, time.Second, "overloaded_error"},
	CodeDraining:             {http.StatusServiceUnavailable, NotExecuted, 100 * time.Millisecond, "overloaded_error"},
	CodeNoBackendServer:      {http.StatusServiceUnavailable, NotExecuted, time.Second, "overloaded_error"},
	CodeControlUnavailable:   {http.StatusServiceUnavailable, NotExecuted, time.Second, "overloaded_error"},
	CodeConfigNotCurrent:     {http.StatusServiceUnavailable, NotExecuted, time.Second, "overloaded_error"},
	CodeCallRecordsFull:      {http.StatusServiceUnavailable, NotExecuted, 30 * time.Second, "overloaded_error"},
	CodeBackendServerFailed:  {http.StatusBadGateway, OutcomeUnknown, time.Second, "server_error"},
	CodeOutcomeUnknown:       {http.StatusBadGateway, OutcomeUnknown, 0, "server_error"},
	CodeStreamBroken:         {http.StatusBadGateway, Executed, time.Second, "server_error"},
	CodeDeadlineExceeded:     {http.StatusGatewayTimeout, OutcomeUnknown, 0, "server_error"},
	CodeClientDisconnected:   {statusClientClosedRequest, OutcomeUnknown, 0, "server_error"},
	CodeResponseNotStored:    {http.StatusBadGateway, Executed, 0, "server_error"},
	CodeServiceRejected:      {http.StatusBadGateway, Executed, 0, "server_error"},
}

// Error is a refusal to be sent to the client.
type Error struct {
	Code Code
	// Message is shown to the client. It must not contain a prompt or a key.
	Message string
	// Execution defaults to the value for the code and is overridden if the code
	// alone does not determine it.
	Execution ExecutionStatus
	// RetryAfter defaults to the value for the code; 0 means no retry hint.
	RetryAfter time.Duration
	// Step and Peer identify the processing step and the peer that failed.
	Step string
	Peer string
	// Entries lists alternative entry addresses, most preferred first.
	Entries []string
}

// New returns a refusal with the default attributes of code.
func New(code Code, step, format string, args ...any) *Error {
	spec := codeSpecs[code]
	return &Error{
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		Execution:  spec.execution,
		RetryAfter: spec.retryAfter,
		Step:       step,
	}
}

// WithPeer sets the peer that failed and returns the refusal.
func (e *Error) WithPeer(peer string) *Error {
	e.Peer = peer
	return e
}

// WithExecution overrides the execution status and returns the refusal.
func (e *Error) WithExecution(execution ExecutionStatus) *Error {
	e.Execution = execution
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s (%s)", e.Step, e.Message, e.Code)
	}
	return fmt.Sprintf("%s at %s: %s (%s)", e.Step, e.Peer, e.Message, e.Code)
}

// Status returns the HTTP status code of the refusal, or 500 for an unknown code.
func (e *Error) Status() int {
	if spec, ok := codeSpecs[e.Code]; ok {
		return spec.status
	}
	return http.StatusInternalServerError
}

// Body is the JSON encoding of a refusal. It follows the error format that common
// client libraries parse and adds the fields ran, retry_after_ms, request_id and
// entries.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in a Body.
type BodyError struct {
	Message      string          `json:"message"`
	Type         string          `json:"type"`
	Code         Code            `json:"code"`
	Execution    ExecutionStatus `json:"ran"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	RequestID    string          `json:"request_id,omitempty"`
	Entries      []string        `json:"entries,omitempty"`
}

// Body returns the JSON body of the response to the request with the given ID.
func (e *Error) Body(requestID string) Body {
	return Body{Error: BodyError{
		Message:      e.Message,
		Type:         codeSpecs[e.Code].errorType,
		Code:         e.Code,
		Execution:    e.Execution,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
		Entries:      e.Entries,
	}}
}

// autoRetryAllowed reports whether a client library may retry the request
// automatically: if it is known not to have been executed, or if a call with the
// same idempotency key is in progress, since the retry then does not start a
// second one.
func (e *Error) autoRetryAllowed() bool {
	return e.RetryAfter > 0 && (e.Execution == NotExecuted || e.Code == CodeInProgress)
}

// Write sends the refusal as a complete HTTP response.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Galena-Ran", string(e.Execution))
	h.Set("X-Should-Retry", strconv.FormatBool(e.autoRetryAllowed()))
	if e.RetryAfter > 0 {
		h.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
		h.Set("Retry-After", strconv.FormatInt(int64((e.RetryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(e.Body(requestID)) // the client may have disconnected
}

// Codes returns all codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeSpecs))
	for c := range codeSpecs {
		codes = append(codes, c)
	}
	return codes
}
