package routing

import (
	"time"

	"github.com/galenaarch/galenaarch/fleet"
)

func init() {
	register(ScorerNamespace, "none", func() any { return &NoScorer{} })
	register(ScorerNamespace, "load", func() any { return &LoadScorer{} })
	register(ScorerNamespace, "prefix", func() any { return &PrefixScorer{} })
}

// Interface guards.
var (
	_ Scorer = (*NoScorer)(nil)
	_ Scorer = (*LoadScorer)(nil)
	_ Scorer = (*PrefixScorer)(nil)
)

// NoScorer leaves every score at 0 and imports nothing.
type NoScorer struct{}

// Score implements Scorer.
func (s *NoScorer) Score(*Request, []Candidate, time.Time) {}

// LoadScorer scores a candidate by its estimated number of outstanding requests; 0 is
// an idle server. It imports nothing.
type LoadScorer struct{}

// Score implements Scorer.
func (s *LoadScorer) Score(_ *Request, candidates []Candidate, _ time.Time) {
	for i := range candidates {
		candidates[i].Score = float64(outstandingRequests(candidates[i].Server))
	}
}

// outstandingRequests estimates the runs and queued requests at the server: those of
// its last report plus this entry's dispatches since then, but at least this entry's
// requests in flight.
func outstandingRequests(s *fleet.Server) int64 {
	l := s.Load()
	return max(int64(l.Running+l.Waiting)+s.DispatchesSinceReport(), s.InFlight())
}

// PrefixScorer prefers the longest cached prefix, then fewer outstanding
// requests: each cached block outweighs any number of requests. It imports all
// stored blocks that follow.
type PrefixScorer struct{}

// maxOutstanding is above any number of outstanding requests on one server.
const maxOutstanding = 1 << 16

// Score implements Scorer.
func (s *PrefixScorer) Score(r *Request, candidates []Candidate, _ time.Time) {
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
	for i := from; i < len(r.StoredCopies) && len(r.StoredCopies[i]) > 0; i++ {
		n++
	}
	return n
}
