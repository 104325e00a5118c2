package routing

import (
	"time"

	"github.com/galenaarch/galenaarch/fleet"
)

func init() {
	register(ScorerNamespace, "none", func() any { return &NoScore{} })
	register(ScorerNamespace, "load", func() any { return &LoadScore{} })
	register(ScorerNamespace, "prefix", func() any { return &PrefixScore{} })
}

// Interface guards.
var (
	_ Scorer = (*NoScore)(nil)
	_ Scorer = (*LoadScore)(nil)
	_ Scorer = (*PrefixScore)(nil)
)

// NoScore sets no score, so every candidate keeps 0.
type NoScore struct{}

// Score implements Scorer.
func (s *NoScore) Score(*Request, []Candidate, time.Time) {}

// LoadScore scores a candidate by its estimated number of outstanding requests;
// 0 is idle.
type LoadScore struct{}

// Score implements Scorer.
func (s *LoadScore) Score(_ *Request, candidates []Candidate, _ time.Time) {
	for i := range candidates {
		candidates[i].Score = float64(outstandingRequests(candidates[i].Server))
	}
}

// outstandingRequests combines the server's last report with this entry's
// dispatches since then.
func outstandingRequests(s *fleet.Server) int64 {
	l := s.Load()
	return max(int64(l.Running+l.Waiting)+s.SinceReport(), s.InFlight())
}

// PrefixScore prefers the longest cached prefix, then fewer outstanding
// requests: each cached block outweighs any number of requests. It imports all
// stored blocks that follow.
type PrefixScore struct{}

// maxOutstanding is above any number of outstanding requests on one server.
const maxOutstanding = 1 << 16

// Score implements Scorer.
func (s *PrefixScore) Score(r *Request, candidates []Candidate, _ time.Time) {
	for i := range candidates {
		c := &candidates[i]
		c.ImportBlocks = countStored(r, c.CachedBlocks)
		c.Score = float64(outstandingRequests(c.Server) - maxOutstanding*int64(c.CachedBlocks))
	}
}

// countStored counts the consecutive blocks from a position on that have a
// stored copy.
func countStored(r *Request, from int) int {
	n := 0
	for i := from; i < len(r.Kept) && len(r.Kept[i]) > 0; i++ {
		n++
	}
	return n
}
