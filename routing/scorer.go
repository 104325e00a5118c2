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

// NoScore gives every candidate 0.
type NoScore struct{}

// Score implements Scorer.
func (s *NoScore) Score(*Request, []Candidate, time.Time) {}

// LoadScore gives the believed number of runs on the server; 0 is idle.
type LoadScore struct{}

// Score implements Scorer.
func (s *LoadScore) Score(_ *Request, candidates []Candidate, _ time.Time) {
	for i := range candidates {
		candidates[i].Score = float64(runs(candidates[i].Server))
	}
}

// runs is the last report and the own dispatches since.
func runs(s *fleet.Server) int64 {
	l := s.Load()
	return max(int64(l.Running+l.Waiting)+s.SinceReport(), s.InFlight())
}

// PrefixScore prefers the longest cached prefix, then fewer runs: each block
// of prefix outweighs any number of runs. All that is kept is imported.
type PrefixScore struct{}

// runsBound is above any number of runs on one server.
const runsBound = 1 << 16

// Score implements Scorer.
func (s *PrefixScore) Score(r *Request, candidates []Candidate, _ time.Time) {
	for i := range candidates {
		c := &candidates[i]
		c.ImportBlocks = keptRun(r, c.CachedBlocks)
		c.Score = float64(runs(c.Server) - runsBound*int64(c.CachedBlocks))
	}
}

// keptRun counts the blocks from a position on that have a kept copy.
func keptRun(r *Request, from int) int {
	n := 0
	for i := from; i < len(r.Kept) && len(r.Kept[i]) > 0; i++ {
		n++
	}
	return n
}
