package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// retryTraffic is the traffic of all instances to one service, as its servers see it.
type retryTraffic struct {
	requests, retries []time.Time
}

// requireBound checks every span that ends with a retry: the requests of the span, of the one
// before it or of the one half a span earlier count.
func (r *retryTraffic) requireBound(t *testing.T, l RetryLimits) {
	t.Helper()
	within := func(times []time.Time, from, to time.Time) (n int) {
		for _, at := range times {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	worst, excess := "", 0.0
	for _, end := range r.retries {
		from := end.Add(-l.RetryWindow)
		requests := max(within(r.requests, from, end), within(r.requests, from.Add(-l.RetryWindow), from), within(r.requests, from.Add(-l.RetryWindow/2), end.Add(-l.RetryWindow/2)))
		retries, bound := within(r.retries, from, end), l.RetryRatio*float64(requests)+l.ExtraRetries
		if over := float64(retries) - bound; over > excess {
			worst, excess = fmt.Sprintf("%d retries within a window, %.0f are allowed", retries, bound), over
		}
	}
	require.Empty(t, worst)
}

// budgetOf returns the budget of an instance, with the limits of its present age.
func budgetOf(h *testGateway) *retryBudget {
	h.updateRetryBudgets(time.Now())
	return h.retryBudget("desk")
}

// Instances that restart together, or one after the other, while retries are used to the full
// must not retry again what their predecessors have retried.
func TestRestartedInstancesKeepRetryBound(t *testing.T) {
	const (
		instances = 5
		interval  = 10 * time.Millisecond
		// failFrom to failTo is when each attempt fails.
		failFrom, failTo = 30 * time.Second, 50 * time.Second
	)
	limits := RetryLimits{RetryRatio: 0.2, ExtraRetries: 52, RetryWindow: 10 * time.Second}
	for name, gap := range map[string]time.Duration{"killed together": 0, "rolling restart": 1300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := func() *testGateway {
					h := newTestGateway(t, 0)
					h.routing.entryCount, h.retryLimits, h.logger = instances, limits, slog.New(slog.DiscardHandler)
					return h
				}
				var fleet [instances]*testGateway
				for i := range fleet {
					fleet[i] = start()
				}
				var traffic retryTraffic
				startedAt, restarted := time.Now(), 0
				for n := 0; time.Since(startedAt) < failTo+limits.RetryWindow; n++ {
					time.Sleep(interval)
					now := time.Now()
					elapsed := now.Sub(startedAt)
					for restarted < instances && elapsed >= failFrom+2*time.Second+time.Duration(restarted)*gap {
						fleet[restarted] = start()
						restarted++
					}
					budget := budgetOf(fleet[n%instances])
					budget.RecordRequest(now)
					traffic.requests = append(traffic.requests, now)
					if elapsed >= failFrom && elapsed < failTo && budget.TryRetry(now) {
						budget.Sent(now, now)

						traffic.retries = append(traffic.retries, now)
					}
				}
				require.NotEmpty(t, traffic.retries)
				traffic.requireBound(t, limits)
			})
		})
	}
}

// Each retry that a call takes from the budget is ended once, whatever becomes of its attempts: one
// that is neither sent nor returned would be missing for good, and one that is ended twice would be
// allowed again.
func TestHeldRetriesAreEndedOnce(t *testing.T) {
	h := newTestGateway(t, 0)
	h.setRetries(1000)
	rapid.Check(t, func(t *rapid.T) {
		h.retryBudgets = make(map[string]*retryBudget)
		budget := h.retryBudget("llm")
		arrivals := 0
		for range rapid.IntRange(1, 5).Draw(t, "calls") {
			c := h.call(500)
			c.route.MaxServers, c.route.Resumable = 100, true
			first := true
			for range rapid.IntRange(1, 8).Draw(t, "attempts") {
				if c.takeRetry(time.Now()) != "" {
					break
				}
				if rapid.IntRange(0, 3).Draw(t, "placement") == 0 { // there is no server
					c.keepRetry()
					c.leftSilent = true
					continue
				}
				a := &attempt{retry: c.retryInUse, abandoned: rapid.Bool().Draw(t, "abandoned")}
				if rapid.Bool().Draw(t, "replacement") && budget.TryRetries(time.Now(), c.missingRetries()) {
					c.retryGranted, c.spareRetry = true, true
				}
				reached := rapid.IntRange(0, 2).Draw(t, "reached") > 0
				c.triedServers["i"] = true
				if reached {
					c.attemptsSent++
				}
				c.endRetry(a, reached, time.Now())
				if reached && !first {
					arrivals++
				}
				first = first && !reached
				if rapid.Bool().Draw(t, "response") {
					c.refundSpareRetry()
				}
			}
			c.returnRetries()
		}
		u := budget.Usage(time.Now())
		require.Zero(t, u.Open, "retries held by no call")
		require.Equal(t, arrivals, u.Sent)
	})
}
