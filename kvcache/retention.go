package kvcache

import (
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// KeepingNamespace is the module namespace of retention policies.
const KeepingNamespace = "kvcache.keeping"

func init() {
	kernel.Register(kernel.Module{ID: KeepingNamespace + ".saving", New: func() any { return &Saving{} }})
	kernel.Register(kernel.Module{ID: KeepingNamespace + ".recency", New: func() any { return &Recency{} }})
}

// Keeping is a retention policy: it values the blocks in the context stores. The
// block of the lowest value is freed first, and a block is stored only if it is
// worth more than the blocks that must be freed for it.
type Keeping interface {
	// Value returns the value of one byte of a block; higher is better. Values of
	// one policy are comparable, also across instances.
	Value(stats *Uses, record *Use, now time.Time) float64
}

// NewKeeping returns a new instance of the named retention policy.
func NewKeeping(name string) (Keeping, error) {
	return kernel.New[Keeping](kernel.ID(KeepingNamespace + "." + name))
}

// Interface guards.
var (
	_ Keeping = (*Saving)(nil)
	_ Keeping = (*Recency)(nil)
)

// Saving values a block by its expected saving per byte and second: the
// probability that its context is reused, weighted by its class and divided by
// the expected time until then.
type Saving struct{}

// Value implements the retention policy.
func (p *Saving) Value(stats *Uses, record *Use, now time.Time) float64 {
	probability, delay, weight := stats.Outlook(record, now)
	return weight * probability / max(delay, intervalUnit).Seconds()
}

// Recency gives the most recently accessed block the highest value. It is the
// baseline for comparisons.
type Recency struct{}

// Value implements the retention policy.
func (p *Recency) Value(stats *Uses, record *Use, now time.Time) float64 {
	return 1 / max(stats.Age(record, now), intervalUnit).Seconds()
}
