package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's Prometheus metrics.
type metrics struct {
	outcomes       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	unlogged       prometheus.Counter
	panics         prometheus.Counter
	queued         prometheus.Gauge
	// waitTime is how long requests wait for room, returnsTold counts the callers that were
	// given a place in the line of those that return, by service.
	waitTime    *prometheus.HistogramVec
	returnsTold *prometheus.CounterVec
	// document is the version of the site document in force.
	document       prometheus.Gauge
	estimateErrors *prometheus.HistogramVec
	directives     *prometheus.CounterVec
	rateLimits     *prometheus.GaugeVec
	coldServers    prometheus.Gauge
	coldPermits    *prometheus.CounterVec
	// brittle is the number of rejections that the servers of a brittle service survive;
	// roomRejections counts what they rejected.
	brittle        *prometheus.GaugeVec
	roomRejections *prometheus.CounterVec
	permitsIssued  prometheus.Counter
	permitRequests *prometheus.CounterVec
	// aborted counts streams that ended early, by why they left their server.
	aborted     *prometheus.CounterVec
	interrupted *prometheus.CounterVec
	// unanswered counts requests whose connection was closed before the response headers.
	unanswered   *prometheus.CounterVec
	serversEnded prometheus.Counter
	// begun counts streams by the software of the server that began them, resumed those that
	// clients resume, by how their software became known.
	begun, resumed *prometheus.CounterVec
	// unstored counts streams that left a server before their first event for want of a stored record.
	unstored prometheus.Counter
	// retries counts retries by service and outcome, retryBudget holds what a service's budget
	// allows and counts.
	retries     *prometheus.CounterVec
	retryBudget *prometheus.GaugeVec
	// quarantined counts what is quarantined by kind of cause.
	quarantined *prometheus.GaugeVec
	spread      spreadMetrics
	// forwards counts requests passed on to other instances by outcome, probes connections
	// opened to learn whether servers are reachable.
	forwards, probes *prometheus.CounterVec
	// evacuated is the number of failure domains that are emptied, evacuatedRequests the requests
	// in progress there by domain.
	evacuated         prometheus.Gauge
	evacuatedRequests *prometheus.GaugeVec
}

// Outcomes of passing a request on, as label values of a metric.
const (
	forwardServed   = "served"
	forwardRejected = "rejected"
	forwardNotRun   = "not run"
	forwardBroken   = "broken off"
	forwardCanceled = "caller left"
)

// outcomeRejectedByPeer is the outcome of a request that another instance has rejected.
const outcomeRejectedByPeer = "rejected by another instance"

// Causes of interrupted requests, as label values of a metric.
const (
	causeServerEnded = "server ended"
	causeConnection  = "connection broken"
)

// Kinds of what servers crash under, as label values of a metric.
const (
	causeKindPart    = "part"
	causeKindRequest = "request"
)

// Directives of servers, as label values of a metric.
const (
	directiveLeaving   = "leaving"
	directivePause     = "pause"
	directiveRateLimit = "rate limit"
	directiveBrittle   = "brittle"
	directiveUnknown   = "unknown"
)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		begun:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_streams_begun_total", Help: "Streams that clients may resume, by service and by software version of the server that sent the first event."}, []string{"service", "software"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_streams_resumed_total", Help: "Requests that resume a stream, by how the software that began it became known."}, []string{"source"}),
		queued:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "galena_gateway_waiting_requests", Help: "Requests that wait here for room at a server."}),
		estimateErrors: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galena_gateway_estimate_error_seconds", Help: "Time to the first byte from a server less the time expected, of prompts judged to be on time, by length.",
			Buckets: []float64{-1, -.5, -.2, -.1, -.05, 0, .05, .1, .2, .5, 1, 2}}, []string{"length"}),
		unlogged:       prometheus.NewCounter(prometheus.CounterOpts{Name: "galena_gateway_unlogged_requests_total", Help: "Served requests without a log line, beyond the bound on lines."}),
		panics:         prometheus.NewCounter(prometheus.CounterOpts{Name: "galena_gateway_faults_total", Help: "Requests that ended by an unexpected error in this process."}),
		outcomes:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_requests_total", Help: "Requests by kind of route and outcome."}, []string{"kind", "outcome"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_failed_sendings_total", Help: "Sendings to backend servers that brought no answer to relay, by kind of route."}, []string{"kind", "not_run"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galena_gateway_first_byte_seconds", Help: "Time from a request's arrival to the server's first byte.",
			Buckets: []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.5, 3, 10}}, []string{"kind"}),
	}
	m.unstored = prometheus.NewCounter(prometheus.CounterOpts{Name: "galena_gateway_streams_not_recorded_total", Help: "Streams that left the server of a newer software version before their first event, since no control instance had stored their record."})
	m.spread = newSpreadMetrics(r)
	m.waitTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "galena_gateway_wait_seconds", Help: "Time for which requests waited here for room at a server, by service.",
		Buckets: []float64{.005, .01, .025, .05, .1, .2, .5, 1, 3}}, []string{"service"})
	m.returnsTold = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_returns_told_total", Help: "Callers refused for want of room that were given a place in the line of those that return, by service."}, []string{"service"})
	m.document = prometheus.NewGauge(prometheus.GaugeOpts{Name: "galena_gateway_document_version", Help: "Version of the site document by which requests are routed; 0 before the first."})
	m.directives = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_server_directives_total", Help: "Responses by which a server directs how it is used, by directive."}, []string{"directive"})
	m.coldServers = prometheus.NewGauge(prometheus.GaugeOpts{Name: "galena_gateway_cold_servers", Help: "Servers whose requests are limited because they are cold."})
	m.coldPermits = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_cold_permits_total", Help: "Permits of this instance for cold servers, by outcome: used, expired."}, []string{"outcome"})
	m.rateLimits = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_server_rate_limit", Help: "Requests a second that a server takes from all instances together, while it states a limit."}, []string{"server"})
	m.brittle = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_service_brittle", Help: "Rejections for want of room in a second that a server of the service survives, while one states it."}, []string{"service"})
	m.roomRejections = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_room_rejections_total", Help: "Requests of this instance that servers rejected while their service was brittle."}, []string{"service"})
	m.permitsIssued = prometheus.NewCounter(prometheus.CounterOpts{Name: "galena_gateway_permits_issued_total", Help: "Permits for rate-limited servers that this instance issued to itself and others."})
	m.permitRequests = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_permit_requests_total", Help: "Requests for permits to other instances, by server and outcome."}, []string{"outcome"})
	m.aborted = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_streams_aborted_total", Help: "Streams that had begun and ended early, by why they left their server."}, []string{"cause"})
	m.unanswered = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_unanswered_requests_total", Help: "Requests that ended without a response, by cause and by how far they had got."}, []string{"cause", "stage"})
	m.interrupted = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_interrupted_requests_total", Help: "Requests whose connection to the server broke, by cause and by how far the response had got."}, []string{"cause", "stage"})
	m.serversEnded = prometheus.NewCounter(prometheus.CounterOpts{Name: "galena_gateway_servers_ended_under_requests_total", Help: "Incarnations of backend servers that ended while requests of this instance were in progress."})
	m.quarantined = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_quarantined", Help: "Parts of prompts, and requests, that are sent to no server because servers crash under them, by kind."}, []string{"kind"})
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_retries_total", Help: "Attempts after one that reached a server, by service and outcome: sent, sent while an attempt that was given up may still arrive, refused by the budget, or returned to it unused."}, []string{"service", "outcome"})
	m.retryBudget = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_retry_budget", Help: "Retries that this instance's budget for a service allows in a window, and those that count now."}, []string{"service", "value"})
	m.forwards = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_forwards_total", Help: "Requests passed on to other entry instances because servers are unreachable, by outcome."}, []string{"outcome"})
	m.probes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "galena_gateway_probes_total", Help: "Connections opened to learn whether servers are reachable, by outcome."}, []string{"outcome"})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{Name: "galena_gateway_evacuated_domains", Help: "Failure domains to whose servers nothing is sent, by operators' orders."})
	m.evacuatedRequests = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "galena_gateway_evacuated_requests", Help: "Requests of this instance in progress at servers of a failure domain that is emptied."}, []string{"domain"})
	r.MustRegister(m.unstored, m.waitTime, m.returnsTold, m.evacuated, m.evacuatedRequests, m.brittle, m.roomRejections, m.forwards, m.probes, m.retries, m.retryBudget, m.begun, m.resumed, m.aborted, m.unanswered, m.quarantined, m.interrupted, m.serversEnded, m.directives, m.rateLimits, m.coldServers, m.coldPermits, m.permitsIssued, m.permitRequests, m.outcomes, m.failedAttempts, m.firstByte, m.unlogged, m.panics, m.queued, m.estimateErrors, m.document)
	return m
}

// kindOf returns the kind of a request's route; "none" if no route was found.
func kindOf(c *call) string {
	if c.route == nil {
		return "none"
	}
	return c.route.Kind.String()
}

// recordOutcome counts a finished request by its outcome.
func (m *metrics) recordOutcome(c *call, outcome string) {
	if c.forwarded != nil {
		return // the instance that the client has asked counts it
	}
	m.outcomes.WithLabelValues(kindOf(c), outcome).Inc()
}

// recordFailedAttempt counts an attempt without a response to relay, by whether the server
// certainly did not run the request.
func (m *metrics) recordFailedAttempt(c *call, a *attempt) {
	label := "false"
	if a.result == notRun {
		label = "true"
	}
	m.failedAttempts.WithLabelValues(kindOf(c), label).Inc()
}

// recordServed counts a served request and its time to the first byte.
func (m *metrics) recordServed(c *call, a *attempt) {
	m.recordOutcome(c, "served")
	if c.prompt != nil && len(c.sharedParts()) > 0 {
		m.spread.recordPlace(&c.decision)
	}
	m.firstByte.WithLabelValues(kindOf(c)).Observe(a.headersAt.Sub(c.startedAt).Seconds())
}

// recordEstimateError records the actual minus the expected time to the first byte.
func (m *metrics) recordEstimateError(c *call, estimateError time.Duration) {
	m.estimateErrors.WithLabelValues(lengthClassNames[c.lengthClass()]).Observe(estimateError.Seconds())
}
