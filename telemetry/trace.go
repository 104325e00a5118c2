package telemetry

import (
	"net/http"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
)

// TraceHandler wraps h with tracing. A request that carries a Traceparent header
// gets a server span with the given name in the client's trace.
func TraceHandler(spanName string, h http.Handler) http.Handler {
	return otelhttp.NewHandler(h, spanName, otelhttp.WithFilter(shouldTrace), otelhttp.WithSpanNameFormatter(
		func(name string, _ *http.Request) string { return name }))
}

// TraceRoundTripper wraps rt with tracing. Each request gets a client span and
// carries the trace headers.
func TraceRoundTripper(rt http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(rt, otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string {
		return "call " + r.URL.Path
	}))
}

// shouldTrace excludes polled endpoints, whose spans would outnumber those of
// requests, and requests that are not part of a trace.
func shouldTrace(r *http.Request) bool {
	switch r.URL.Path {
	case "/metrics", "/status", "/kv/events", "/livez", "/readyz":
		return false
	}
	return r.Header.Get("Traceparent") != ""
}
