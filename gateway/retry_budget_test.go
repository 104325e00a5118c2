package gateway

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// metricValue returns the value of the counter or gauge of a service with another label value.
func metricValue(t *testing.T, r *prometheus.Registry, name, service, label string) float64 {
	t.Helper()
	families, err := r.Gather()
	require.NoError(t, err)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			values := make(map[string]bool)
			for _, l := range m.GetLabel() {
				values[l.GetValue()] = true
			}
			if family.GetName() == name && values[service] && values[label] {
				return m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return 0
}

// A budget that refuses retries says so once in each interval, with what its limit depends on.
func TestRefusedRetriesAreReported(t *testing.T) {
	var log bytes.Buffer
	h := newTestGateway(t, 0)
	metrics := prometheus.NewRegistry()
	h.metrics = newMetrics(metrics)
	h.logger = slog.New(slog.NewTextHandler(&log, nil))
	h.setRetries(1)
	c := h.call(500)
	c.attemptsSent, c.triedServers = 1, map[string]bool{"i-0": true}
	require.Empty(t, c.takeRetry(time.Now()))
	require.Equal(t, reasonNoBudget, c.takeRetry(time.Now()))
	require.Equal(t, reasonNoBudget, c.takeRetry(time.Now()))
	require.Equal(t, 2.0, metricValue(t, metrics, "galena_gateway_retries_total", "llm", retryRefused))
	h.updateRetryBudgets(time.Now())
	require.Contains(t, log.String(), "service=llm refused=2")
	require.Contains(t, log.String(), "instances=6")
	require.Equal(t, 1.0, metricValue(t, metrics, "galena_gateway_retry_budget", "llm", "counted"))
	log.Reset()
	h.updateRetryBudgets(time.Now())
	require.Empty(t, log.String())
}
