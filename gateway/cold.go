package gateway

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// applyCold limits the servers that announce that they are cold, in services that state what
// a cold server bears.
func (g *Gateway) applyCold(rs *routingState, now time.Time) {
	if rs.table == nil || !g.policy.Enabled(dispatch.ColdLimits) || !g.policy.Enabled(dispatch.RateLimits) {
		return
	}
	for _, b := range rs.backends {
		service := rs.table.Service(b.service.Name)
		if service == nil {
			continue
		}
		cold := dispatch.NewColdLimit(service.ColdPerSecond, b.coldUntil())
		l := g.limits.get(b.incarnation)
		if l == nil {
			if !cold.Active(now) {
				continue
			}
			if l = g.limits.getOrAdd(b.incarnation, now); l == nil {
				continue
			}
		}
		b.rateLimit.Store(l)
		if began, limit := g.setCold(l, cold, now); began {
			g.limitPolling(l, limit)
			g.logger.Info("server is cold", slog.String("server", b.server), slog.Int64("born_unix_ms", b.startedMs),
				slog.Float64("per_second", service.ColdPerSecond), slog.Duration("for", cold.Until().Sub(now)))
			g.permits.notify()
		}
	}
}

// coldUntil returns until when the server announces to be cold.
func (b *backend) coldUntil() time.Time {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	return b.tracker.ColdUntil
}

// setCold records what a server announces. It reports whether the server has turned cold, and
// the limit in force.
func (g *Gateway) setCold(l *serverLimit, cold dispatch.ColdLimit, now time.Time) (began bool, limit dispatch.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.inForce(now)
	l.cold = cold
	if !cold.Active(now) || l.coldNow {
		return false, limit // endCold notes its end
	}
	l.coldNow, l.coldUsed, l.coldExpired = true, 0, 0
	g.metrics.coldServers.Inc()
	limit = l.inForce(now)
	if from.Limited {
		l.permits.LimitChanged(from, limit)
	} else {
		l.permits, l.issuer = dispatch.Permits{}, dispatch.PermitIssuer{}
	}
	return true, limit
}

// endCold notes that a server is no longer cold, and reports whether it just ended.
func (g *Gateway) endCold(l *serverLimit, now time.Time) bool {
	l.mu.Lock()
	var expired int
	if l.coldNow {
		expired = l.permits.TakeExpired(now)
		l.coldExpired += expired
	}
	ended := l.coldNow && !l.cold.Active(now)
	l.coldNow = l.coldNow && !ended
	limit, used, allExpired := l.inForce(now), l.coldUsed, l.coldExpired
	l.mu.Unlock()
	g.metrics.coldPermits.WithLabelValues("expired").Add(float64(expired))
	if !ended {
		return false
	}
	g.metrics.coldServers.Dec()
	g.limitPolling(l, limit)
	g.logger.Info("server is warm", slog.String("server", l.server), slog.Int64("born_unix_ms", l.startedMs), slog.Int("permits_used", used), slog.Int("permits_expired", allExpired))
	return true
}

// askCold asks for a permit of the cold server that a request would have been sent to, if its
// cost is below that of the chosen one, nil for none. Servers outside a cell that is not nil are
// left out. The caller holds the state's lock.
func (g *Gateway) askCold(rs *routingState, c *call, cell map[string]bool, chosen *placement.Server, now time.Time) {
	var cold []*backend
	for _, b := range c.rateLimited {
		if b.limitedByCold(now) && (cell == nil || cell[b.server]) {
			cold = append(cold, b)
		}
	}
	if len(cold) == 0 {
		return
	}
	set, job := &c.state.coldScratch, c.job()
	set.reset(cold)
	g.describeServers(rs, c, set, now)
	best := placement.Pick(g.scorer, set.servers, job, func(int) bool { return false }, rand.Float64())
	if best < 0 || (chosen != nil && g.scorer.Cost(&set.servers[best], &job) >= g.scorer.Cost(chosen, &job)) {
		return
	}
	l := cold[best].rateLimit.Load()
	l.mu.Lock()
	l.permits.Lack(now)
	l.mu.Unlock()
	if !l.copied {
		g.permits.notify()
	}
}

// limitedByCold reports whether the server's requests are limited because it is cold.
func (b *backend) limitedByCold(now time.Time) bool {
	l := b.rateLimit.Load()
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Active(now)
}
