package gateway

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// panickingDialect panics on one path.
type panickingDialect struct{ Dialect }

// DecodeRequest implements Dialect.
func (panickingDialect) DecodeRequest(r *http.Request) (*Request, error) {
	if r.URL.Path == "/fault" {
		panic("unexpected")
	}
	return nil, http.ErrNotSupported
}

// SetErrorHeader implements Dialect.
func (panickingDialect) SetErrorHeader(http.Header, string, time.Duration) {}

// A panic while handling a request before its response is answered with 502, which promises
// nothing, and is logged; the process goes on.
func TestPanicEndsOneRequest(t *testing.T) {
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	m := newMetrics(registry)
	g := New(Dependencies{Dialect: panickingDialect{}, Policy: &dispatch.Policy{}}, &Settings{Instance: "entry-1", FailureDomain: "zone-a"}, slog.New(slog.NewJSONHandler(&log, nil)), m)
	server := httptest.NewServer(g)
	defer server.Close()
	resp, err := http.Get(server.URL + "/fault")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.True(t, resp.Close)
	resp, err = http.Get(server.URL + "/other")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Contains(t, log.String(), "panic while handling a request")
	families, err := registry.Gather()
	require.NoError(t, err)
	counted := 0.0
	for _, f := range families {
		if f.GetName() == "galena_gateway_faults_total" {
			counted = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	require.InDelta(t, 1, counted, 0)
}

// panickingScorer panics on its first use.
type panickingScorer struct{ used bool }

// Cost implements placement.Scorer.
func (s *panickingScorer) Cost(server *placement.Server, job *placement.Job) time.Duration {
	if !s.used {
		s.used = true
		panic("unexpected")
	}
	return placement.Cost(server, job)
}

// A panic in a decision must not leave the service locked for all later requests.
func TestPanicInDecisionLeavesServiceUsable(t *testing.T) {
	h := newTestGateway(t, 2)
	h.scorer = &panickingScorer{}
	require.Panics(t, func() { h.place(t.Context(), h.call(500)) })
	placed := make(chan placementResult, 1)
	go func() { placed <- h.place(t.Context(), h.call(500)) }()
	select {
	case result := <-placed:
		require.NotNil(t, result.backend)
	case <-time.After(5 * time.Second):
		t.Fatal("the next request waits for the lock of the service")
	}
}

// A panic in a timer of a request, which no handler recovers, must not end the process.
func TestPanicInTimerOfRequestDoesNotEndProcess(t *testing.T) {
	h := newTestGateway(t, 2)
	h.setRetries(4)
	scorer := &panickingScorer{}
	h.scorer = scorer
	c, silent := h.silentCall()
	w := &stallWatch{call: c, stream: &stream{call: c}, attempt: &attempt{gateway: h.Gateway, backend: silent}, ctx: t.Context()}
	w.lastEventAt.Store(monotonic(time.Now().Add(-w.fraction(failoverShare))))
	require.NotPanics(t, w.check)
	require.True(t, scorer.used)
}
