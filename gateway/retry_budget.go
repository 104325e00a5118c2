package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/retry"
)

// RetryLimits limit retries across all entry instances of a deployment.
type RetryLimits struct {
	// The retries that arrive at a service within any span of RetryWindow are limited to
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
		g.metrics.retryBudget.WithLabelValues(service, "counted").Set(float64(u.Sent + u.Open))
		if refused := b.refused.Swap(0); refused > 0 {
			g.logger.Info("retry budget used up", slog.String("service", service), slog.Int64("refused", refused), slog.Int("requests", u.Requests), slog.Int("sent", u.Sent), slog.Int("open", u.Open),
				slog.Float64("allowed", u.Allowed), slog.Float64("ratio", ratio), slog.Float64("constant", slack), slog.Int("instances", g.routing.Load().entryCount), slog.Duration("age", now.Sub(g.started)))
		}
	}
}

// Outcomes of retries, as label values of a metric.
const (
	retryRefused  = "refused"
	retryReturned = "returned"
	retrySent     = "sent"
	// retryUncertain is a retry that was sent while an attempt may still arrive that this
	// instance gave up.
	retryUncertain = "sent, may arrive late"
)

// heldRetries are the retries that a call has taken from the budget and that are not yet known
// to have arrived. Each is ended once: sent, or returned.
type heldRetries struct {
	// retryGranted is set if the call holds a retry for its next attempt, spareRetry if it holds
	// another one for the attempt after it.
	retryGranted, spareRetry bool
	// retryInUse is set from the choice of a server for a retry until its outcome is known.
	retryInUse bool
	// arrivesBy is when the attempts that were given up have arrived at the latest; zero if
	// none was.
	arrivesBy time.Time
}

// missingRetries is how many of the two retries that a request needs to leave a silent server
// it does not hold.
func (h *heldRetries) missingRetries() (n int) {
	for _, held := range []bool{h.retryGranted, h.spareRetry} {
		if !held {
			n++
		}
	}
	return n
}

// useRetry provides the retry for the next attempt: one that the call holds, or one from the
// budget. It returns false if there is none.
func (c *call) useRetry(now time.Time) bool {
	switch {
	case c.retryGranted:
		c.retryGranted = false
	case c.spareRetry:
		c.spareRetry = false
	default:
		if b := c.gateway.retryBudget(c.service.Name); !b.TryRetry(now) {
			b.refused.Add(1)
			c.countRetry(retryRefused)
			return false
		}
	}
	c.retryInUse = true
	return true
}

// keepRetry keeps the retry of an attempt that was not sent for the next one.
func (c *call) keepRetry() {
	if !c.retryInUse {
		return
	}
	c.retryInUse = false
	if c.retryGranted {
		c.returnRetry()
	}
	c.retryGranted = true
}

// endRetry ends the retry that an attempt uses, if it does. reached is set if the attempt may have
// reached its server.
//
// Invariant: an attempt that was given up without a response counts for one window longer. Its
// server may stand still, and read it from its kernel's buffer when it goes on.
func (c *call) endRetry(a *attempt, reached bool, now time.Time) {
	if reached && a.abandoned {
		c.arrivesBy = now.Add(c.gateway.retryLimits.RetryWindow)
	}
	switch {
	case !a.retry:
	case !reached:
		c.keepRetry()
	default:
		c.retryInUse = false
		c.gateway.retryBudget(c.service.Name).Sent(now, c.arrivesBy)
		outcome := retrySent
		if c.arrivesBy.After(now) {
			outcome = retryUncertain
		}
		c.countRetry(outcome)
	}
}

// refundSpareRetry returns the spare retry to the budget once the request has a response.
func (c *call) refundSpareRetry() {
	if c.spareRetry {
		c.spareRetry = false
		c.returnRetry()
	}
}

// returnRetries returns all retries that the call still holds at its end.
func (c *call) returnRetries() {
	c.keepRetry()
	c.refundSpareRetry()
	if c.retryGranted {
		c.retryGranted = false
		c.returnRetry()
	}
}

// returnRetry returns one retry to the budget.
func (c *call) returnRetry() {
	c.gateway.retryBudget(c.service.Name).Return(1)
	c.countRetry(retryReturned)
}

func (c *call) countRetry(outcome string) {
	c.gateway.metrics.retries.WithLabelValues(c.service.Name, outcome).Inc()
}
