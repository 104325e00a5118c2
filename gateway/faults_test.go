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
)

// faulty is a dialect with an error that nobody expected.
type faulty struct{ Dialect }

// Request implements Dialect.
func (faulty) Request(r *http.Request) (*Request, error) {
	if r.URL.Path == "/fault" {
		panic("unexpected")
	}
	return nil, http.ErrNotSupported
}

// Refusal implements Dialect.
func (faulty) Refusal(http.Header, string, time.Duration) {}

// TestFaultEndsOneRequest: an unexpected error in the handling of a request ends
// that request with a line in the log; the process goes on.
func TestFaultEndsOneRequest(t *testing.T) {
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	m := newMetrics(registry)
	g := New(Parts{Dialect: faulty{}, Policy: &dispatch.Policy{}}, &Settings{Instance: "entry-1", FailureDomain: "zone-a"}, slog.New(slog.NewJSONHandler(&log, nil)), m)
	server := httptest.NewServer(g)
	defer server.Close()
	_, err := http.Get(server.URL + "/fault")
	require.Error(t, err)
	answer, err := http.Get(server.URL + "/other")
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusBadRequest, answer.StatusCode)
	require.Contains(t, log.String(), "fault in a request")
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
