package kvcache

import (
	"time"

	"github.com/galenaarch/galenaarch/kernel"
)

// RetentionNamespace is the module namespace of retention policies.
const RetentionNamespace = "kvcache.keeping"

func init() {
	kernel.Register(kernel.Module{ID: RetentionNamespace + ".saving", New: func() any { return &ExpectedSaving{} }})
	kernel.Register(kernel.Module{ID: RetentionNamespace + ".recency", New: func() any { return &Recency{} }})
}

// RetentionPolicy values the blocks in the context stores. The block of the lowest
// value is freed first, and a block is stored only if its value is higher than that
// of the blocks that must be freed for it.
type RetentionPolicy interface {
	// Value returns the value of one byte of a block; higher is better. Values of
	// one policy are comparable, also across instances.
	Value(stats *AccessStats, record *AccessRecord, now time.Time) float64
}

// NewRetentionPolicy returns the named retention policy, or an error if there is
// none of that name.
func NewRetentionPolicy(name string) (RetentionPolicy, error) {
	return kernel.New[RetentionPolicy](kernel.ID(RetentionNamespace + "." + name))
}

// Interface guards.
var (
	_ RetentionPolicy = (*ExpectedSaving)(nil)
	_ RetentionPolicy = (*Recency)(nil)
)

// ExpectedSaving values a block by its expected saving per byte and second: the
// probability that its context is reused, weighted by its class and divided by
// the expected time until then.
type ExpectedSaving struct{}

// Value implements RetentionPolicy.
func (p *ExpectedSaving) Value(stats *AccessStats, record *AccessRecord, now time.Time) float64 {
	probability, delay, weight := stats.PredictReuse(record, now)
	return weight * probability / max(delay, intervalUnit).Seconds()
}

// Recency gives the most recently accessed block the highest value. It is the
// baseline for comparisons.
type Recency struct{}

// Value implements RetentionPolicy.
func (p *Recency) Value(stats *AccessStats, record *AccessRecord, now time.Time) float64 {
	return 1 / max(stats.Age(record, now), intervalUnit).Seconds()
}
