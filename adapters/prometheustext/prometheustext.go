// Package prometheustext provides the adapter for backend servers that report
// their load in the Prometheus text format at /metrics.
package prometheustext

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/adapters"
	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kernel"
)

func init() {
	kernel.Register(kernel.Module{ID: adapters.Namespace + ".prometheus_text", New: func() any { return &Adapter{} }})
}

// Names of the engine's load metrics.
const (
	metricRunning       = "engine_requests_running"
	metricWaiting       = "engine_requests_waiting"
	metricWaitingTokens = "engine_waiting_prompt_tokens"
)

// maxCount is the largest plausible count; a report with a larger one is rejected.
const maxCount = 1 << 30

// Adapter fetches load from metrics in the Prometheus text format.
type Adapter struct{}

var _ adapters.Adapter = (*Adapter)(nil)

// FetchLoad implements adapters.Adapter.
func (a *Adapter) FetchLoad(ctx context.Context, client *http.Client, url string) (fleet.Load, error) {
	body, err := adapters.FetchReport(ctx, client, url+"/metrics")
	if err != nil {
		return fleet.Load{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return fleet.Load{}, eris.Wrapf(err, "decode metrics from %s", url)
	}
	load := fleet.Load{ReceivedAt: time.Now()}
	if load.Running, err = sumGauges(families[metricRunning]); err != nil {
		return fleet.Load{}, eris.Wrapf(err, "metric %s from %s", metricRunning, url)
	}
	if load.Waiting, err = sumGauges(families[metricWaiting]); err != nil {
		return fleet.Load{}, eris.Wrapf(err, "metric %s from %s", metricWaiting, url)
	}
	if f := families[metricWaitingTokens]; f != nil {
		if load.WaitingTokens, err = sumGauges(f); err != nil {
			return fleet.Load{}, eris.Wrapf(err, "metric %s from %s", metricWaitingTokens, url)
		}
	}
	return load, nil
}

// sumGauges returns the sum of a family's samples, which must be integer counts.
// It rejects fractions, which indicate another unit, and counters, which are
// cumulative instead of a current count.
func sumGauges(family *dto.MetricFamily) (int, error) {
	if family == nil || len(family.Metric) == 0 {
		return 0, eris.New("metric is missing")
	}
	var sum float64
	for _, sample := range family.Metric {
		if sample.Gauge == nil && sample.Untyped == nil {
			return 0, eris.Errorf("metric is a %s, not a gauge", family.GetType())
		}
		value := sample.GetGauge().GetValue() + sample.GetUntyped().GetValue()
		if math.IsNaN(value) || value < 0 || value > maxCount || value != math.Trunc(value) {
			return 0, eris.Errorf("value %v is not a valid count", value)
		}
		sum += value
	}
	if sum > maxCount {
		return 0, eris.Errorf("sum %v exceeds the largest valid count", sum)
	}
	return int(sum), nil
}

// FetchCacheEvents implements adapters.Adapter.
func (a *Adapter) FetchCacheEvents(ctx context.Context, client *http.Client, url string, after uint64, full bool) (*backend.CacheEvents, error) {
	return adapters.FetchCacheEvents(ctx, client, url, after, full)
}
