package placement

import (
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// Namespace holds the modules that implement Scorer.
const Namespace = "placement.scorer"

// DefaultScorer is what serves callers best of those measured.
const DefaultScorer = "expected-time"

// Scorer says what a server costs a request. Pick takes the cheapest one.
type Scorer interface {
	Cost(s *Server, j *Job) time.Duration
}

// NewScorer returns the scorer of a name.
func NewScorer(name string) (Scorer, error) {
	return kernel.New[Scorer](kernel.ID(Namespace + "." + name))
}

func init() {
	for name, s := range map[string]Scorer{
		DefaultScorer: ExpectedTime{}, "prefix-affinity": PrefixAffinity{}, "least-load": LeastLoad{},
	} {
		kernel.Register(kernel.Module{ID: kernel.ID(Namespace + "." + name), New: func() any { return s }})
	}
}

// ExpectedTime is the expected time to the answer, or to a stream's first event.
type ExpectedTime struct{}

// Cost implements Scorer.
func (ExpectedTime) Cost(s *Server, j *Job) time.Duration { return Cost(s, j) }

// LeastLoad is a baseline: the server with the smallest share of places taken.
type LeastLoad struct{}

// Cost implements Scorer.
func (LeastLoad) Cost(s *Server, _ *Job) time.Duration {
	cost := time.Duration((s.Running + s.Waiting) / float64(max(1, s.Slots)) * float64(time.Second))
	if !s.Near {
		cost += farPenalty
	}
	return cost
}

// PrefixAffinity is a baseline: a prompt goes to the home of its shared part
// whatever the load there, other requests by least load.
type PrefixAffinity struct{}

// Cost implements Scorer.
func (PrefixAffinity) Cost(s *Server, j *Job) time.Duration {
	if j.PromptTokens > 0 && s.Home {
		return 0
	}
	return time.Nanosecond + LeastLoad{}.Cost(s, j)
}

// Interface guards.
var (
	_ Scorer = ExpectedTime{}
	_ Scorer = LeastLoad{}
	_ Scorer = PrefixAffinity{}
)
