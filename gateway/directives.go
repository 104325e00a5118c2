package gateway

import "log/slog"

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
