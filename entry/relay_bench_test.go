package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/relay"
	"github.com/galenaarch/galenaarch/standin/engine"
)

// discardResponseWriter is a response writer that discards everything.
type discardResponseWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardResponseWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardResponseWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (d *discardResponseWriter) Flush() {}

// recordedTransport responds with a recorded stream.
type recordedTransport string

// RoundTrip implements http.RoundTripper.
func (r recordedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(r)))}, nil
}

// BenchmarkRelayWithoutSockets measures the CPU cost of relaying on one core;
// one event per operation.
func BenchmarkRelayWithoutSockets(b *testing.B) {
	const id, tokens = "0198c0de-0000-7000-8000-000000000000", 1000
	e := engine.New(engine.Settings{ServerName: "engine-1", DecodeSlots: 1, CacheBlocks: 1, PrefillTokensPerSecond: 1e9, TokenInterval: time.Nanosecond})
	w := httptest.NewRecorder()
	body := `{"model":"quote-model","prompt":"x","stream":true,"max_tokens":1000}`
	r := httptest.NewRequest(http.MethodPost, pathCompletions, strings.NewReader(body))
	r.Header.Set(headerRequestID, id)
	e.Handler().ServeHTTP(w, r)
	require.Equal(b, http.StatusOK, w.Code)
	client := &http.Client{Transport: recordedTransport(w.Body.String())}
	attempt := relay.Attempt{RequestID: id, Number: 1}
	timeouts := relay.Timeouts{FirstEvent: time.Minute, Idle: time.Minute}
	p := &prompt{stream: true, path: pathCompletions, request: requestInfo{requestID: id}}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n%tokens == 0 {
			b.StopTimer()
			out := newResponseWriter(&discardResponseWriter{header: make(http.Header)}, p)
			stream, err := relay.Open(context.Background(), client, relay.Target{URL: "http://127.0.0.1:1"}, nil, http.Header{}, attempt, timeouts)
			require.NoError(b, err)
			run := &run{prompt: p, out: out}
			b.StartTimer()
			_ = run
			for range tokens {
				event, err := stream.Next()
				if err != nil {
					b.Fatal(err)
				}
				if err := out.write(event, 1); err != nil {
					b.Fatal(err)
				}
			}
			stream.Close()
		}
		n++
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
}
