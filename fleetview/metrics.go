package fleetview

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Descriptions of the view's metrics.
var (
	storedVersionDesc = prometheus.NewDesc("galena_view_document_version", "Version of a document that this process holds.", []string{"document"}, nil)
	behindDesc        = prometheus.NewDesc("galena_view_document_behind_seconds", "Time since a control instance first reported a newer version of a document than this process holds; 0 if it holds the newest reported one.", []string{"document"}, nil)
	confirmationDesc  = prometheus.NewDesc("galena_view_confirmation_age_seconds", "Age of the state that more than half of the control instances have confirmed; absent before the first confirmation.", nil, nil)
)

// Interface guard.
var _ prometheus.Collector = (*View)(nil)

// Describe implements prometheus.Collector.
func (v *View) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- storedVersionDesc
	descriptions <- behindDesc
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
