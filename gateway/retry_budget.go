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

// retryBudgetShare is the share of the retry limits that processes older than RetryWindow use;
// the rest is for younger ones.
//
// Invariant: within any window, the retries of the processes that an instance runs one after the
// other sum up to no more than its share of the limits. A process does not know what the one
// before it has sent, and instances may restart together.
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
		ratio, slack := g.retryShare(time.Now())
		b = &retryBudget{Window: retry.NewWindow(g.retryLimits.RetryWindow, ratio, slack)}
		g.retryBudgets[service] = b
	}
	return b
}

// retryShare returns the limits of this process: its part of the constant, and the ratio for
// the requests that it receives. Those of a young process are a share of the limits for all the
// processes that start within one window, so the constant part grows with age: a process that
// restarts in series gets the share once.
func (g *Gateway) retryShare(now time.Time) (ratio, slack float64) {
	age, share := now.Sub(g.started), retryBudgetShare
	if age < g.retryLimits.RetryWindow {
		share = 1 - retryBudgetShare
	}
	growth := min(1, float64(age)/float64(g.retryLimits.RetryWindow))
	return share * g.retryLimits.RetryRatio, share * growth * g.retryLimits.ExtraRetries / float64(g.routing.Load().entryCount)
}

// updateRetryBudgets sets the limits of all services' retry budgets to those of now, and reports
// the budgets that have refused retries since the last time.
func (g *Gateway) updateRetryBudgets(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ratio, slack := g.retryShare(now)
	for service, b := range g.retryBudgets {
		b.SetLimits(ratio, slack)
		u := b.Usage(now)
		g.metrics.retryBudget.WithLabelValues(service, "allowed").Set(u.Allowed)
		g.metrics.retryBudget.WithLabelValues(service, "counted").Set(float64(u.Retries))
		if refused := b.refused.Swap(0); refused > 0 {
			g.logger.Info("retry budget used up", slog.String("service", service), slog.Int64("refused", refused), slog.Int("requests", u.Requests), slog.Int("retries", u.Retries),
				slog.Float64("allowed", u.Allowed), slog.Float64("ratio", ratio), slog.Float64("constant", slack), slog.Int("instances", g.routing.Load().entryCount), slog.Duration("age", now.Sub(g.started)))
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
