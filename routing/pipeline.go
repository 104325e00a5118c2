package routing

import (
	"math/rand/v2"
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// Namespaces of the parts of a policy.
const (
	FilterNamespace = "routing.filter"
	ScorerNamespace = "routing.score"
	PickerNamespace = "routing.pick"
)

// Filter drops candidates that must not get the request. It may reuse the
// slice.
type Filter interface {
	Filter(r *Request, candidates []Candidate, now time.Time) []Candidate
}

// Scorer sets each candidate's Score, less being better, and how many blocks
// it would import.
type Scorer interface {
	Score(r *Request, candidates []Candidate, now time.Time)
}

// Picker chooses among scored candidates, of which there is at least one. It
// returns an index.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// Pipeline is a policy made of plug-ins.
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

// parts names the plug-ins of a policy.
type parts struct {
	filters []string
	scorer  string
	picker  string
}

// registerPolicy makes a policy of plug-ins known by name.
func registerPolicy(name string, p parts) {
	kernel.Register(kernel.Module{ID: kernel.ID(Namespace + "." + name), New: func() any { return p.build() }})
}

// build panics on an unknown plug-in, which is a programming error.
func (p parts) build() *Pipeline {
	pipeline := &Pipeline{
		scorer: must[Scorer](ScorerNamespace, p.scorer),
		picker: must[Picker](PickerNamespace, p.picker),
	}
	for _, name := range p.filters {
		pipeline.filters = append(pipeline.filters, must[Filter](FilterNamespace, name))
	}
	return pipeline
}

func must[T any](namespace, name string) T {
	part, err := kernel.New[T](kernel.ID(namespace + "." + name))
	if err != nil {
		panic(err)
	}
	return part
}

func register(namespace, name string, fresh func() any) {
	kernel.Register(kernel.Module{ID: kernel.ID(namespace + "." + name), New: fresh})
}
