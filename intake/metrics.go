package intake

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Descriptions of the metrics.
var (
	heldDesc        = prometheus.NewDesc("galena_intake_held_bytes", "Memory held for peers by kind.", []string{"kind"}, nil)
	limitDesc       = prometheus.NewDesc("galena_intake_limit_bytes", "Memory that may be held for peers; 0 for unlimited.", nil, nil)
	connectionsDesc = prometheus.NewDesc("galena_intake_connections", "Open connections by listener.", []string{"listener"}, nil)
	refusedDesc     = prometheus.NewDesc("galena_intake_refused_total", "Connections and requests refused or told to give way, by reason.", []string{"reason"}, nil)
	closedDesc      = prometheus.NewDesc("galena_intake_closed_unhandled_total", "Connections closed with bytes of a request that no handler has seen, by listener and cause.", []string{"listener", "cause"}, nil)
	halfClosedDesc  = prometheus.NewDesc("galena_intake_half_closed_total", "Peers that ended their sending side before the response to a whole request, by whether they had left.", []string{"left"}, nil)
	lagDesc         = prometheus.NewDesc("galena_intake_max_lag_seconds", "How far the slowest request that is being read is behind.", nil, nil)
)

// Interface guard.
var _ prometheus.Collector = (*Budget)(nil)

// Describe implements prometheus.Collector.
func (b *Budget) Describe(descs chan<- *prometheus.Desc) { prometheus.DescribeByCollect(b, descs) }

// Collect implements prometheus.Collector.
func (b *Budget) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for kind, name := range kindNames {
		gauge(heldDesc, float64(b.byKind[kind].Load()), name)
	}
	gauge(limitDesc, float64(b.limits.bytes))
	left := b.halfCloses.left.Load()
	for label, n := range map[string]uint64{"yes": left, "no": b.halfCloses.asked.Load() - left} {
		metrics <- prometheus.MustNewConstMetric(halfClosedDesc, prometheus.CounterValue, float64(n), label)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, count := range b.listeners {
		gauge(connectionsDesc, float64(count.total), name)
	}
	for why, r := range b.refused {
		metrics <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(r.total), string(why))
	}
	for key, r := range b.closed {
		metrics <- prometheus.MustNewConstMetric(closedDesc, prometheus.CounterValue, float64(r.total), key.listener, string(key.cause))
	}
	now, lag := time.Now(), time.Duration(0)
	for c := range b.open {
		if c.mayGiveWay() && c.heldBytes() > 0 {
			lag = max(lag, pace{time.Unix(0, c.pace.Load())}.lag(now))
		}
	}
	gauge(lagDesc, lag.Seconds())
}
