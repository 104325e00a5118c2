package entry

import (
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/galenaarch/galenaarch/api/refusal"
)

// begunWriter records whether a response has begun.
type begunWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *begunWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *begunWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *begunWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic logs a panic while handling a request and sends a refusal, or aborts the
// connection if the response has begun. It must be deferred directly, or it recovers nothing.
func (e *Entry) answerPanic(w *begunWriter, kind, requestID string) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	e.logger.Error("panic while handling a request", slog.String("request", requestID), slog.Any("fault", recovered), slog.String("stack", string(debug.Stack())))
	e.metrics.requests.WithLabelValues(kind, string(refusal.CodeOutcomeUnknown)).Inc()
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	refusal.New(refusal.CodeOutcomeUnknown, "handle request", "internal error").Write(w, requestID)
}
