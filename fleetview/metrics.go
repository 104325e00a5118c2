package fleetview

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Descriptions of the view's metrics.
var (
	storedVersionDesc   = prometheus.NewDesc("galena_view_document_version", "Version of a document that this process holds.", []string{"document"}, nil)
	behindDesc          = prometheus.NewDesc("galena_view_document_behind_seconds", "Time since a control instance first reported a newer version of a document than this process holds; 0 if it holds the newest reported one.", []string{"document"}, nil)
	reportedVersionDesc = prometheus.NewDesc("galena_view_document_reported_version", "Newest version of a document that a control instance has reported since its start; stays while it does not respond.", []string{"document", "peer"}, nil)
	fetchesDesc         = prometheus.NewDesc("galena_view_document_fetches_total", "Fetches of documents by outcome.", []string{"outcome"}, nil)
	confirmationDesc    = prometheus.NewDesc("galena_view_confirmation_age_seconds", "Age of the state that more than half of the control instances have confirmed; absent before the first confirmation.", nil, nil)
)

// Outcomes of fetches, as label values of a metric.
const (
	fetchStored   = "stored"
	fetchNotNewer = "not newer"
	fetchTimedOut = "timed out"
	fetchFailed   = "failed"
)

// Interface guard.
var _ prometheus.Collector = (*View)(nil)

// Describe implements prometheus.Collector.
func (v *View) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- storedVersionDesc
	descriptions <- behindDesc
	descriptions <- reportedVersionDesc
	descriptions <- fetchesDesc
	descriptions <- confirmationDesc
}

// Collect implements prometheus.Collector.
func (v *View) Collect(metrics chan<- prometheus.Metric) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for name, fetch := range v.fetches {
		behind := time.Duration(0)
		if !fetch.behindSince.IsZero() {
			behind = now.Sub(fetch.behindSince)
		}
		metrics <- prometheus.MustNewConstMetric(storedVersionDesc, prometheus.GaugeValue, float64(v.documents[name].GetVersion()), name)
		metrics <- prometheus.MustNewConstMetric(behindDesc, prometheus.GaugeValue, behind.Seconds(), name)
	}
	for url, s := range v.sources {
		for name, version := range s.reportedVersions {
			metrics <- prometheus.MustNewConstMetric(reportedVersionDesc, prometheus.GaugeValue, float64(version), name, url)
		}
	}
	for outcome, count := range v.fetchOutcomes {
		metrics <- prometheus.MustNewConstMetric(fetchesDesc, prometheus.CounterValue, float64(count), outcome)
	}
	if at := v.confirmedAt(); !at.IsZero() {
		metrics <- prometheus.MustNewConstMetric(confirmationDesc, prometheus.GaugeValue, now.Sub(at).Seconds())
	}
}

// confirmedAt returns the time as of which the state of a majority of the control
// instances is known; zero if a majority has not responded yet. The caller holds the
// lock.
func (v *View) confirmedAt() time.Time {
	var completed []time.Time
	for _, s := range v.sources {
		completed = append(completed, s.confirmedAt)
	}
	if len(completed) == 0 {
		return time.Time{}
	}
	slices.SortFunc(completed, time.Time.Compare)
	return completed[(len(completed)-1)/2]
}
