package routing

import (
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// Module namespaces of the plug-ins of a policy.
const (
	FilterNamespace = "routing.filter"
	ScorerNamespace = "routing.score"
	PickerNamespace = "routing.pick"
)

// Filter removes candidates that must not receive the request. It may modify the
// slice in place.
type Filter interface {
	Filter(r *Request, candidates []Candidate, now time.Time) []Candidate
}

// Scorer sets each candidate's Score, where lower is better, and ImportBlocks.
type Scorer interface {
	Score(r *Request, candidates []Candidate, now time.Time)
}

// Picker chooses one of the scored candidates and returns its index. There is at
// least one candidate.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// Pipeline is a policy composed of filters, a scorer and a picker.
type Pipeline struct {
	filters []Filter
	scorer  Scorer
	picker  Picker
}

// Interface guard.
var _ Policy = (*Pipeline)(nil)

// Pick implements Policy.
func (p *Pipeline) Pick(r *Request, candidates []Candidate, now time.Time, random *rand.Rand) Decision {
	for _, f := range p.filters {
		candidates = f.Filter(r, candidates, now)
	}
	if len(candidates) == 0 {
		return Decision{}
	}
	p.scorer.Score(r, candidates, now)
	c := &candidates[p.picker.Pick(candidates, random)]
	return Decision{Server: c.Server, CachedBlocks: c.CachedBlocks, ImportBlocks: c.ImportBlocks, Cost: c.Score}
}

// pipelineSpec names the plug-ins of a policy.
type pipelineSpec struct {
	filters []string
	scorer  string
	picker  string
}

// registerPolicy registers a policy composed of plug-ins.
func registerPolicy(name string, spec pipelineSpec) {
	kernel.Register(kernel.Module{ID: kernel.ID(Namespace + "." + name), New: func() any { return spec.build() }})
}

// build creates the policy. It panics on an unknown plug-in, which is a programming
// error.
func (spec pipelineSpec) build() *Pipeline {
	pipeline := &Pipeline{
		scorer: mustNew[Scorer](ScorerNamespace, spec.scorer),
		picker: mustNew[Picker](PickerNamespace, spec.picker),
	}
	for _, name := range spec.filters {
		pipeline.filters = append(pipeline.filters, mustNew[Filter](FilterNamespace, name))
	}
	return pipeline
}

// mustNew creates a plug-in, and panics if the name is unknown.
func mustNew[T any](namespace, name string) T {
	plugin, err := kernel.New[T](kernel.ID(namespace + "." + name))
	if err != nil {
		panic(err)
	}
	return plugin
}

func register(namespace, name string, newPlugin func() any) {
	kernel.Register(kernel.Module{ID: kernel.ID(namespace + "." + name), New: newPlugin})
}
