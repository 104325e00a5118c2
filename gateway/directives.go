package gateway

import (
	"log/slog"

	"github.com/galenaarch/galenaarch/dispatch"
)

// recordRateLimit records what a response states about the server's request rate.
// request is the ID of the request.
func (g *Gateway) recordRateLimit(b *backend, limit dispatch.RateLimit, request string) {
	b.state.mu.Lock()
	changed := b.rateLimit != limit
	b.rateLimit = limit
	b.state.mu.Unlock()
	if !changed {
		return
	}
	if limit.Limited {
		g.metrics.rateLimits.WithLabelValues(b.server).Set(limit.PerSecond)
	} else {
		g.metrics.rateLimits.DeleteLabelValues(b.server)
	}
	g.logger.Info("server rate limit changed", slog.String("server", b.server), slog.Bool("limited", limit.Limited), slog.Float64("per_second", limit.PerSecond), slog.String("request", request))
}

// maxUnknownDirectives bounds the remembered header names that were logged.
const maxUnknownDirectives = 64

// reportUnknownDirectives counts the directives that this version does not support, and
// logs each header name once.
func (g *Gateway) reportUnknownDirectives(b *backend, request string, names []string) {
	for _, name := range names {
		g.metrics.directives.WithLabelValues(directiveUnknown).Inc()
		g.mu.Lock()
		logged := g.unknownDirectives[name] || len(g.unknownDirectives) >= maxUnknownDirectives
		if !logged {
			g.unknownDirectives[name] = true
		}
		g.mu.Unlock()
		if !logged {
			g.logger.Warn("server sent an unknown directive", slog.String("server", b.server), slog.String("header", name), slog.String("request", request))
		}
	}
}
