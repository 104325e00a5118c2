package placement

import (
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// Namespace is the kernel namespace of modules that implement Scorer.
const Namespace = "placement.scorer"

// DefaultScorer is the scorer with the best measured results for clients.
const DefaultScorer = "expected-time"

// Scorer computes the cost of sending a request to a server. Pick chooses the server
// with the lowest cost.
type Scorer interface {
	Cost(s *Server, j *Job) time.Duration
}

// NewScorer returns the scorer with the given name, or an error if none is registered.
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

// ExpectedTime scores by the expected time to the response, or to the first event of
// a stream.
type ExpectedTime struct{}

// Cost implements Scorer.
func (ExpectedTime) Cost(s *Server, j *Job) time.Duration { return Cost(s, j) }

// LeastLoad is a baseline that scores by the share of slots in use.
type LeastLoad struct{}

// Cost implements Scorer.
func (LeastLoad) Cost(s *Server, _ *Job) time.Duration {
	cost := time.Duration((s.Running + s.Waiting) / float64(max(1, s.Slots)) * float64(time.Second))
	if !s.SameDomain {
		cost += crossDomainPenalty
	}
	return cost
}

// PrefixAffinity is a baseline that sends a prompt to the home of its shared prefix
// whatever the load there, and other requests by least load.
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
