package gateway

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/dispatch"
)

// serverStatements are what servers state about themselves. They are kept by incarnation,
// outside the routing state, which is rebuilt with each document and announcement.
type serverStatements struct {
	leaving leavingServers
	pauses  serverPauses
	limits  rateLimits
	unknown unknownDirectives
}

// serverPauses are the pauses that servers have asked this instance for, by incarnation.
//
// Invariant: a pause outlives the backend that was asked for it: an incarnation that is
// listed again, under a new document or at another address, is still paused.
type serverPauses struct {
	mu       sync.Mutex
	until    map[incarnation]time.Time
	prunedAt time.Time
}

// pauseCleanupInterval is the time between removals of ended pauses.
const pauseCleanupInterval = time.Second

// maxServerPauses bounds the remembered pauses; it is above the number of servers that the
// control instances list.
const maxServerPauses = 65536

// record records a pause and forgets those that have ended.
func (p *serverPauses) record(id incarnation, until, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.prunedAt) >= pauseCleanupInterval {
		p.prunedAt = now
		maps.DeleteFunc(p.until, func(_ incarnation, end time.Time) bool { return !now.Before(end) })
	}
	if p.until == nil {
		p.until = make(map[incarnation]time.Time)
	}
	if _, known := p.until[id]; known || len(p.until) < maxServerPauses {
		p.until[id] = until
	}
}

// get returns when the pause of an incarnation ends; a time in the past for none.
func (p *serverPauses) get(id incarnation) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until[id]
}

// byAddress returns when the pauses of the listed backends end, by address.
func (p *serverPauses) byAddress(rs *routingState) map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	pauses := make(map[string]time.Time)
	for id, until := range p.until {
		if b := rs.backends[id.server]; b != nil && b.incarnation == id {
			pauses[b.address] = until
		}
	}
	return pauses
}

// pause records that a server asked for no requests for some time. request is the ID of
// the request that it rejected, empty if it was one of this process's own calls.
func (g *Gateway) pause(b *backend, asked time.Duration, request string) {
	g.metrics.directives.WithLabelValues(directivePause).Inc()
	now := time.Now()
	var until time.Time
	b.update(func(tracker *dispatch.BackendState) { until = tracker.Pause(asked, now, rand.Float64()) })
	g.pauses.record(b.incarnation, until, now)
	g.stores.PausePolling(b.address, until)
	g.logger.Info("server asked for a pause", slog.String("server", b.server), slog.String("request", request), slog.Duration("said", asked), slog.Duration("for", until.Sub(now)))
}

// unknownDirectives are the names of headers that were logged as unknown directives.
type unknownDirectives struct {
	mu     sync.Mutex
	logged map[string]bool
}

// maxUnknownDirectives bounds the remembered names.
const maxUnknownDirectives = 64

// add records a name and reports whether it is to be logged: once, unless maxUnknownDirectives is reached.
func (u *unknownDirectives) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[name] || len(u.logged) >= maxUnknownDirectives {
		return false
	}
	if u.logged == nil {
		u.logged = make(map[string]bool)
	}
	u.logged[name] = true
	return true
}

// reportUnknownDirectives counts the directives that this version does not support, and
// logs each header name once.
func (g *Gateway) reportUnknownDirectives(b *backend, request string, names []string) {
	for _, name := range names {
		g.metrics.directives.WithLabelValues(directiveUnknown).Inc()
		if g.unknown.add(name) {
			g.logger.Warn("server sent an unknown directive", slog.String("server", b.server), slog.String("header", name), slog.String("request", request))
		}
	}
}
