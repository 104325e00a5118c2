package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Where prompts with shared parts are placed, as label values of a metric.
const (
	placeHome      = "home"
	placeAlternate = "alternate"
	placeElsewhere = "elsewhere"
)

// spreadMetrics show how evenly the load is spread and how well it is known.
type spreadMetrics struct {
	// places counts prompts with shared parts by where they are placed.
	places *prometheus.CounterVec
	// bookings and accounts count the bookings of this instance and those that it decided on as
	// keeper, by outcome.
	bookings, accounts *prometheus.CounterVec
	// variation is the coefficient of variation of the prefill work at a service's servers.
	variation *prometheus.GaugeVec
	// beliefErrors are the numbers of requests that servers report less those that this
	// instance assumed to be there.
	beliefErrors *prometheus.HistogramVec
}

func newSpreadMetrics(r prometheus.Registerer) spreadMetrics {
	m := spreadMetrics{
		places:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_prompt_places_total", Help: "Prompts with shared parts, by whether they are sent to the home of the last one, to the server that is next in order, or elsewhere."}, []string{"place"}),
		bookings:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_bookings_total", Help: "Bookings of long prompts with the keepers of the servers' accounts, by outcome."}, []string{"outcome"}),
		accounts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_account_bookings_total", Help: "Bookings that this instance decided on as the keeper of a server's account, by outcome."}, []string{"outcome"}),
		variation: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_load_variation", Help: "Standard deviation of the prefill work at the servers of a service, as this instance knows it, by its mean."}, []string{"service"}),
		beliefErrors: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galena_gateway_belief_error_requests", Help: "Requests that a server reports less those that this instance assumed there, by whether the server is in its failure domain.",
			Buckets: []float64{-8, -4, -2, -1, -.5, .5, 1, 2, 4, 8}}, []string{"domain"}),
	}
	r.MustRegister(m.places, m.bookings, m.accounts, m.variation, m.beliefErrors)
	return m
}

// recordPlace counts a prompt that is sent to a server.
func (m *spreadMetrics) recordPlace(d *dispatch.Decision) {
	place := placeElsewhere
	switch {
	case d.Home:
		place = placeHome
	case d.Alternate > 0:
		place = placeAlternate
	}
	m.places.WithLabelValues(place).Inc()
}

// recordBelief records how far a report is from what was assumed of the server.
func (m *spreadMetrics) recordBelief(sameDomain bool, reported, assumed float64) {
	domain := "other"
	if sameDomain {
		domain = "own"
	}
	m.beliefErrors.WithLabelValues(domain).Observe(reported - assumed)
}

// observeSpread updates the metric of the spread of load over the servers of each service
// of engines.
func (g *Gateway) observeSpread(now time.Time) {
	rs, others := g.routing.Load(), g.peers.othersLoad()
	for name := range rs.cells {
		state := g.states.get(name)
		state.mu.Lock()
		work := make([]float64, 0, len(rs.services[name]))
		for _, b := range rs.services[name] {
			work = append(work, float64(b.tracker.SharedLoad(now).PrefillTokens+others[b.server].PrefillTokens))
		}
		state.mu.Unlock()
		g.metrics.spread.variation.WithLabelValues(name).Set(placement.Variation(work))
	}
}
