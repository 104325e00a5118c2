package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/retry"
)

// RetryLimits limit retries across all entry instances of a deployment.
type RetryLimits struct {
	// The retries to a service within any span of RetryWindow are limited to
	// RetryRatio times its requests plus ExtraRetries.
	RetryRatio, ExtraRetries float64
	RetryWindow              time.Duration
}

// retryBudgetShare is the share of the retry limit that is used; the rest covers
// restarted instances, which do not know what they spent before.
const retryBudgetShare = 0.8

// retryBudget is this instance's share of the retries to one service.
type retryBudget struct {
	*retry.Window
	// refused counts the retries that the budget did not allow since the last log line.
	refused atomic.Int64
}

// retryBudget returns the budget of a service, and creates it if there is none.
func (g *Gateway) retryBudget(service string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = &retryBudget{Window: retry.NewWindow(g.retryLimits.RetryWindow, retryBudgetShare*g.retryLimits.RetryRatio, g.retryAllowance(time.Now()))}
		g.retryBudgets[service] = b
	}
	return b
}

// retryAllowance returns this instance's share of the constant part of the limit. It
// grows with the age of the process, because the process that ran here before a restart
// may just have spent the whole share.
func (g *Gateway) retryAllowance(now time.Time) float64 {
	growth := min(1, float64(now.Sub(g.started))/float64(g.retryLimits.RetryWindow))
	return retryBudgetShare * g.retryLimits.ExtraRetries * growth / float64(g.routing.Load().entryCount)
}

// updateRetryBudgets sets the constant part of all services' retry budgets to the current
// allowance, and reports the budgets that have refused retries since the last time.
func (g *Gateway) updateRetryBudgets(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slack := g.retryAllowance(now)
	for service, b := range g.retryBudgets {
		b.SetSlack(slack)
		u := b.Usage(now)
		g.metrics.retryBudget.WithLabelValues(service, "allowed").Set(u.Allowed)
		g.metrics.retryBudget.WithLabelValues(service, "counted").Set(float64(u.Retries))
		if refused := b.refused.Swap(0); refused > 0 {
			g.logger.Info("retry budget used up", slog.String("service", service), slog.Int64("refused", refused), slog.Int("requests", u.Requests), slog.Int("retries", u.Retries),
				slog.Float64("allowed", u.Allowed), slog.Float64("constant", slack), slog.Int("instances", g.routing.Load().entryCount), slog.Duration("age", now.Sub(g.started)))
		}
	}
}

// Outcomes of retries, as label values of a metric.
const (
	retryGranted  = "granted"
	retryRefused  = "refused"
	retryReturned = "returned"
)

// tryRetry takes a retry from the budget, and reports whether it allows one.
func (c *call) tryRetry(now time.Time) bool {
	b := c.gateway.retryBudget(c.service.Name)
	if !b.TryRetry(now) {
		b.refused.Add(1)
		c.countRetries(retryRefused, 1)
		return false
	}
	c.countRetries(retryGranted, 1)
	return true
}

func (c *call) countRetries(outcome string, n int) {
	c.gateway.metrics.retries.WithLabelValues(c.service.Name, outcome).Add(float64(n))
}
