package fleet

import (
	"context"
	"slices"
	"time"
)

// LostContext returns a context that is canceled once the server has been
// silent for the TTL, or another incarnation of it was announced. A server that
// leaves gracefully or loads other weights is not lost.
func (s *Server) LostContext() context.Context { return s.lostCtx }

// Usable returns the servers that are not ejected, or all servers if every one
// is ejected: trying one is better than rejecting the request. The result may
// share the given slice and must not be modified.
func Usable(servers []*Server, now time.Time) []*Server {
	ejected := func(s *Server) bool { return !s.Health.Usable(now) }
	if !slices.ContainsFunc(servers, ejected) {
		return servers
	}
	usable := slices.DeleteFunc(slices.Clone(servers), ejected)
	if len(usable) == 0 {
		return servers
	}
	return usable
}
