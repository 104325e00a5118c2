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

// A panic while handling a request ends only that request and is logged; the process
// goes on.
func TestPanicEndsOneRequest(t *testing.T) {
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	m := newMetrics(registry)
	g := New(Dependencies{Dialect: panickingDialect{}, Policy: &dispatch.Policy{}}, &Settings{Instance: "entry-1", FailureDomain: "zone-a"}, slog.New(slog.NewJSONHandler(&log, nil)), m)
	server := httptest.NewServer(g)
	defer server.Close()
	_, err := http.Get(server.URL + "/fault")
	require.Error(t, err)
	resp, err := http.Get(server.URL + "/other")
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
