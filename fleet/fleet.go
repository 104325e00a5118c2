// Package fleet keeps an entry instance's table of backend servers: which
// servers are announced, the last load each one reported, and the runs that
// this entry has dispatched to it since. Readers on the request path load a
// snapshot with one atomic read.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/health"
	"github.com/galenaarch/galenaarch/kvcache"
)

// DefaultTTL is the time after its last announcement at which a silent backend
// server stops receiving new work.
const DefaultTTL = 2 * time.Second

// Load is one load report from a backend server.
type Load struct {
	// Running and Waiting count requests.
	Running int
	Waiting int
	// WaitingTokens counts prompt tokens not yet computed, if reported.
	WaitingTokens int
	ReceivedAt    time.Time
	// remote is the part of the report that is not this entry's own runs; see
	// SetLoad.
	remote remoteLoad
}

// Server is one incarnation of a backend server.
type Server struct {
	backend.Announcement
	// Cache is this entry's view of the server's prefix cache.
	Cache *kvcache.CacheView

	load  atomic.Pointer[Load]
	local localLoad
	// Health tracks whether this entry's calls to the server succeed.
	Health health.Server
	// lostCtx is canceled once the server is considered dead.
	lostCtx    context.Context
	cancelLost context.CancelFunc

	// peers and peerSum hold the load that other entries report. Writers hold
	// peerMu.
	peerMu  sync.Mutex
	peers   atomic.Pointer[map[string]PeerLoad]
	peerSum atomic.Pointer[PeerLoad]
}

// Load returns the last report, or the zero Load if there is none.
func (s *Server) Load() Load {
	if l := s.load.Load(); l != nil {
		return *l
	}
	return Load{}
}
