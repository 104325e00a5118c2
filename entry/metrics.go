package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the request-path metrics of an entry.
type metrics struct {
	requests         *prometheus.CounterVec
	firstToken       *prometheus.HistogramVec
	promptTokens     *prometheus.CounterVec
	recomputedTokens *prometheus.CounterVec
	linkBytes        *prometheus.CounterVec
	retries          *prometheus.CounterVec
	wrongVersion     *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_requests_total",
			Help: "Requests by outcome; count.",
		}, []string{"kind", "code"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "galena_entry_first_token_seconds",
			Help:    "Time from request to first token; seconds.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"deployment", "priority"}),
		promptTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_prompt_tokens_total",
			Help: "Prompt tokens of finished runs; tokens.",
		}, []string{"deployment"}),
		recomputedTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_recomputed_tokens_total",
			Help: "Prompt tokens that had been computed before and were computed again; tokens.",
		}, []string{"deployment"}),
		linkBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_link_bytes_total",
			Help: "Bytes moved over store links; bytes.",
		}, []string{"direction"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_retries_total",
			Help: "Attempts after the first, by kind: prompt, resume, service, hedge; count.",
		}, []string{"kind"}),
	}
	m.wrongVersion = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galena_entry_wrong_version_runs_total",
		Help: "Runs that an engine did on another weight version than they were sent for; count.",
	}, []string{"deployment"})
	registry.MustRegister(m.wrongVersion, m.retries, m.requests, m.firstToken, m.promptTokens, m.recomputedTokens, m.linkBytes)
	return m
}
