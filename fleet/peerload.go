package fleet

import (
	"maps"
	"time"
)

// PeerLoadTTL is the age above which another entry's load report is ignored.
const PeerLoadTTL = 3 * time.Second

// PeerLoad is another entry's load on a backend server.
type PeerLoad struct {
	// InFlight counts that entry's runs on the server.
	InFlight int64
	// PendingTokens counts the prompt tokens of its runs that have not produced
	// their first token.
	PendingTokens int64
	// ReceivedAt is the time at which the report was received.
	ReceivedAt time.Time
}

// SetPeerLoad stores the load that the named entry reports for its own runs on
// the server.
func (s *Server) SetPeerLoad(entry string, l PeerLoad) {
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	next := make(map[string]PeerLoad)
	if previous := s.peers.Load(); previous != nil {
		maps.Copy(next, *previous)
	}
	// Remove stale entries, so that the map does not grow without bound.
	maps.DeleteFunc(next, func(_ string, p PeerLoad) bool { return l.ReceivedAt.Sub(p.ReceivedAt) > PeerLoadTTL })
	next[entry] = l
	sum := PeerLoad{}
	for _, p := range next {
		sum.InFlight += p.InFlight
		sum.PendingTokens += p.PendingTokens
		if p.ReceivedAt.After(sum.ReceivedAt) {
			sum.ReceivedAt = p.ReceivedAt
		}
	}
	s.peers.Store(&next)
	s.peerSum.Store(&sum)
}

// PeerLoad returns the sum over the other entries. ReceivedAt is the time of
// the newest report, zero if there is none.
func (s *Server) PeerLoad() PeerLoad {
	if sum := s.peerSum.Load(); sum != nil {
		return *sum
	}
	return PeerLoad{}
}
