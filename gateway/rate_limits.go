package gateway

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

const (
	// maxRateLimits bounds the number of incarnations whose rate limit is known. It is
	// above the number of servers that the control instances list.
	maxRateLimits = 65536
	// rateLimitRetention is how long the limit of an incarnation that is no longer
	// listed is remembered: it may be listed again, or at another address.
	rateLimitRetention = 15 * time.Minute
	// limitAnnounceTime is how long a changed limit is announced to other instances.
	limitAnnounceTime = 5 * time.Second
	// limitReportSpread is the time over which instances that learn of a limit at the
	// same moment report it to the control instances, so that most find it reported.
	limitReportSpread = 300 * time.Millisecond
	// limitReportRetry is the time after which a limit that the control instances do
	// not list yet is reported again.
	limitReportRetry = time.Second
)

// serverLimit is what one incarnation of a server states about the requests that it takes and
// rejects, this instance's permits
// for it, and its permit issuer if this instance is in charge.
type serverLimit struct {
	incarnation
	// copied is set for a copy, for which no permits are asked.
	copied bool

	// mu guards the fields below.
	mu      sync.Mutex
	stated  dispatch.StatedLimit
	cold    dispatch.ColdLimit
	permits dispatch.Permits
	issuer  dispatch.PermitIssuer
	role    dispatch.IssuerRole
	issuing bool
	// lastIssuer is the instance that last issued permits, first the one that ranks first
	// among the candidates of rankedVersion.
	lastIssuer, first string
	rankedVersion     uint64
	// changedAt is when the limit last changed here, seenAt when the incarnation was
	// last listed.
	changedAt, seenAt time.Time
	// reportedRevision is the newest revision that the control instances list; a newer
	// one is reported at reportAt.
	reportedRevision uint64
	reportAt         time.Time
	// coldNow is whether the server counted as cold when that was last examined.
	coldNow bool
	// coldUsed and coldExpired count this instance's permits in the cold time.
	coldUsed, coldExpired int
}

// limited reports whether a limit is in force.
func (l *serverLimit) limited(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce(now).Limited
}

// inForce returns the stricter of the limit that the server states and that of a cold server.
// The caller holds l.mu.
func (l *serverLimit) inForce(now time.Time) dispatch.RateLimit {
	return l.cold.Limit(l.stated.RateLimit, now)
}

func (l *serverLimit) current() dispatch.StatedLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stated
}

// change applies a change of the statement and reports the limits before and after it.
func (l *serverLimit) change(now time.Time, update func(*dispatch.StatedLimit) bool) (from, to dispatch.StatedLimit, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = l.stated
	if changed = update(&l.stated); !changed {
		return from, from, false
	}
	l.permits.LimitChanged(from.RateLimit, l.stated.RateLimit)
	l.changedAt = now
	if l.reportAt.IsZero() {
		l.reportAt = now.Add(rand.N(limitReportSpread))
	}
	return from, l.stated, true
}

// rateLimits are the known rate limits by incarnation.
//
// Invariant: a limit outlives the backend that it was stated to: an incarnation that is
// listed again, under a new document or at another address, is still limited.
type rateLimits struct {
	mu    sync.RWMutex
	known map[incarnation]*serverLimit
}

// get returns the limit of an incarnation, nil if it never stated one.
func (r *rateLimits) get(id incarnation) *serverLimit {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.known[id]
}

// getOrAdd returns the limit of an incarnation, a new one if there is none; nil if
// maxRateLimits is reached.
func (r *rateLimits) getOrAdd(id incarnation, now time.Time) *serverLimit {
	if l := r.get(id); l != nil {
		return l
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil {
		r.known = make(map[incarnation]*serverLimit)
	}
	l := r.known[id]
	if l == nil && len(r.known) < maxRateLimits {
		l = &serverLimit{incarnation: id, seenAt: now}
		r.known[id] = l
	}
	return l
}

// all lists the known limits.
func (r *rateLimits) all() []*serverLimit {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*serverLimit, 0, len(r.known))
	for _, l := range r.known {
		list = append(list, l)
	}
	return list
}

// removeOld forgets the incarnations that have not been listed for rateLimitRetention, and
// returns their servers.
func (r *rateLimits) removeOld(rs *routingState, now time.Time) (removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.known {
		l.mu.Lock()
		if b := rs.backends[id.server]; b != nil && b.incarnation == id {
			l.seenAt = now
		}
		if now.Sub(l.seenAt) > rateLimitRetention {
			delete(r.known, id)
			removed = append(removed, id.server)
		}
		l.mu.Unlock()
	}
	return removed
}

// announced lists the limits that changed recently, for other instances.
func (r *rateLimits) announced(now time.Time) []*fleetv1.ServerRateLimit {
	var list []*fleetv1.ServerRateLimit
	for _, l := range r.all() {
		l.mu.Lock()
		if now.Sub(l.changedAt) < limitAnnounceTime {
			list = append(list, l.encode())
		}
		l.mu.Unlock()
	}
	return list
}

// unreported lists the limits that are due to be reported to the control instances.
func (r *rateLimits) unreported(now time.Time) []*fleetv1.ServerRateLimit {
	var list []*fleetv1.ServerRateLimit
	for _, l := range r.all() {
		l.mu.Lock()
		switch {
		case l.stated.Revision <= l.reportedRevision:
			l.reportAt = time.Time{}
		case !l.reportAt.IsZero() && !now.Before(l.reportAt):
			l.reportAt = now.Add(limitReportRetry)
			list = append(list, l.encode())
		}
		l.mu.Unlock()
	}
	return list
}

// markReported records the revision of a limit that the control instances list.
func (r *rateLimits) markReported(id incarnation, revision uint64) {
	if l := r.get(id); l != nil {
		l.mu.Lock()
		l.reportedRevision = max(l.reportedRevision, revision)
		l.mu.Unlock()
	}
}

// encode encodes the limit; the caller holds l.mu.
func (l *serverLimit) encode() *fleetv1.ServerRateLimit {
	return &fleetv1.ServerRateLimit{Server: &fleetv1.ServerLife{Server: l.server, BornUnixMs: l.startedMs}, Limit: registry.EncodeRateLimit(l.stated)}
}

// observeLimits records what a response of a server states about the requests that it takes and
// rejects; nil for what it does not say. request is the ID of the request, empty if it was one
// of this process's own calls.
func (g *Gateway) observeLimits(b *backend, limit *dispatch.RateLimit, brittleness *dispatch.Brittleness, request string) {
	l := b.rateLimit.Load()
	if l == nil {
		if (limit == nil || !limit.Limited) && (brittleness == nil || !brittleness.Brittle) {
			return
		}
		if l = g.limits.getOrAdd(b.incarnation, time.Now()); l == nil {
			g.logger.Warn("server rate limit not stored: too many are known", slog.String("server", b.server), slog.Int("known", maxRateLimits))
			return
		}
		b.rateLimit.Store(l)
	}
	g.changeRateLimit(l, slog.String("request", request), func(s *dispatch.StatedLimit) bool {
		changed := limit != nil && s.Observe(*limit)
		return (brittleness != nil && s.ObserveBrittleness(*brittleness)) || changed
	})
}

// mergeRateLimit records a limit that another process reports.
func (g *Gateway) mergeRateLimit(id incarnation, limit dispatch.StatedLimit, from string) {
	if limit.Revision == 0 {
		return
	}
	l := g.limits.getOrAdd(id, time.Now())
	if l == nil {
		return
	}
	if b := g.routing.Load().backends[id.server]; b != nil && b.incarnation == id {
		b.rateLimit.Store(l)
	}
	g.changeRateLimit(l, slog.String("told_by", from), func(s *dispatch.StatedLimit) bool { return s.Merge(limit) })
}

// changeRateLimit applies a change of a limit, logs it and passes it on to the other
// instances.
func (g *Gateway) changeRateLimit(l *serverLimit, source slog.Attr, update func(*dispatch.StatedLimit) bool) {
	from, to, changed := l.change(time.Now(), update)
	if !changed {
		return
	}
	if from.Brittleness != to.Brittleness {
		g.applyBrittleness(time.Now())
	}
	g.peers.notify()
	if from.RateLimit == to.RateLimit {
		return
	}
	if to.Limited {
		g.metrics.rateLimits.WithLabelValues(l.server).Set(to.PerSecond)
	} else {
		g.metrics.rateLimits.DeleteLabelValues(l.server)
	}
	g.logger.Info("server rate limit changed", slog.String("server", l.server), slog.Bool("limited", to.Limited), slog.Float64("per_second", to.PerSecond),
		slog.Bool("was_limited", from.Limited), slog.Float64("was_per_second", from.PerSecond), slog.Uint64("revision", to.Revision), source)
	l.mu.Lock()
	inForce := l.inForce(time.Now())
	l.mu.Unlock()
	g.limitPolling(l, inForce)
	g.permits.notify()
}

// limitPolling adapts the polling of a server's context to its rate limit.
func (g *Gateway) limitPolling(l *serverLimit, limit dispatch.RateLimit) {
	rs := g.routing.Load()
	if b := rs.backends[l.server]; b != nil && b.incarnation == l.incarnation {
		g.stores.SetPollInterval(b.address, dispatch.PollInterval(limit, rs.entryCount))
	}
}

// attachRateLimits connects the backends of a new routing state with the known limits.
func (g *Gateway) attachRateLimits(rs *routingState) {
	for _, l := range g.limits.all() {
		b := rs.backends[l.server]
		if b == nil || b.incarnation != l.incarnation {
			continue
		}
		b.rateLimit.Store(l)
		l.mu.Lock()
		inForce := l.inForce(time.Now())
		l.mu.Unlock()
		g.limitPolling(l, inForce)
	}
	g.applyCold(rs, time.Now())
	g.applyBrittleness(time.Now())
}

// fallback returns the part of a limit that this instance may use without permits.
func (g *Gateway) fallback(l *serverLimit, now time.Time) dispatch.Fallback {
	return dispatch.Fallback{Limit: l.cold.FallbackLimit(l.stated.RateLimit, now), Instances: g.routing.Load().entryCount, Jitter: rand.Float64()}
}

// mayUse reports whether a server's rate limit allows a request of this instance now. If
// not, permits are asked for; those of cold servers only by askCold.
func (g *Gateway) mayUse(b *backend, now time.Time) bool {
	l := b.rateLimit.Load()
	if l == nil || !g.policy.Enabled(dispatch.RateLimits) {
		return true
	}
	available, ask := g.permitAvailable(l, now)
	if ask && !l.copied {
		g.permits.notify()
	}
	return available
}

// permitAvailable reports whether a server's rate limit allows a request now, and if not,
// whether permits are to be asked for.
func (g *Gateway) permitAvailable(l *serverLimit, now time.Time) (available, ask bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.inForce(now).Limited:
		return true, false
	case l.cold.Active(now):
		return l.permits.Usable(g.fallback(l, now), now), false
	}
	available = l.permits.Available(g.fallback(l, now), now)
	return available, !available
}

// takePermit uses up a permit for a request to a server; false if there is none.
func (g *Gateway) takePermit(b *backend, now time.Time) bool {
	l := b.rateLimit.Load()
	if l == nil || !g.policy.Enabled(dispatch.RateLimits) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inForce(now).Limited {
		return true
	}
	if !l.permits.Take(g.fallback(l, now), now) {
		return false
	}
	if l.cold.Active(now) {
		l.coldUsed++
		g.metrics.coldPermits.WithLabelValues("used").Inc()
	}
	return true
}

// returnRate returns this instance's share of the rate at which the rate-limited servers
// of a list take requests.
func (g *Gateway) returnRate(limited []*backend) float64 {
	total, now := 0.0, time.Now()
	for _, b := range limited {
		if l := b.rateLimit.Load(); l != nil {
			l.mu.Lock()
			total += l.inForce(now).PerSecond
			l.mu.Unlock()
		}
	}
	return total / float64(g.routing.Load().entryCount)
}
