package steward

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a steward.
type Metrics struct {
	orders    *prometheus.CounterVec
	reconcile prometheus.Histogram
	setAside  *prometheus.GaugeVec
	onTarget  *prometheus.GaugeVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_steward_orders_total",
			Help: "Orders sent to backend servers by answer; count.",
		}, []string{"deployment", "answer"}),
		reconcile: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "galena_steward_reconcile_seconds",
			Help:    "Time of one look at all held deployments; seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		setAside: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galena_steward_servers_set_aside",
			Help: "Backend servers out of service after failed orders; count.",
		}, []string{"deployment"}),
		onTarget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galena_steward_servers_on_target",
			Help: "Backend servers that serve what is declared; count.",
		}, []string{"deployment"}),
	}
	registerer.MustRegister(m.orders, m.reconcile, m.setAside, m.onTarget)
	return m
}
