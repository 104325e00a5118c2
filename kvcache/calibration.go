package kvcache

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// calibrationWeight is the smoothing factor of a ratio's moving average.
	calibrationWeight = 0.05
	// minRatio and maxRatio clamp a sample, so that one outlier cannot skew the
	// average.
	minRatio = 0.1
	maxRatio = 10.0
)

// Calibration estimates, from the token counts that engines report, how many real
// tokens a deployment's prompts have per estimated token. It does not affect block
// boundaries, which are part of the blocks' identity. It is safe for concurrent
// use.
type Calibration struct {
	// ratios maps a deployment to an *atomic.Uint64 that holds the bits of a
	// float64.
	ratios sync.Map
}

// Ratio returns the counted tokens per estimated token; 1 if nothing was observed.
func (c *Calibration) Ratio(deployment string) float64 {
	if r, ok := c.ratios.Load(deployment); ok {
		return math.Float64frombits(r.(*atomic.Uint64).Load())
	}
	return 1
}

// Observe records the estimated and the counted tokens of one prompt. A value
// that is not positive is ignored.
func (c *Calibration) Observe(deployment string, estimated, counted int) {
	if estimated <= 0 || counted <= 0 {
		return
	}
	initial := &atomic.Uint64{}
	initial.Store(math.Float64bits(1))
	stored, _ := c.ratios.LoadOrStore(deployment, initial)
	ratio := stored.(*atomic.Uint64)
	sample := min(max(float64(counted)/float64(estimated), minRatio), maxRatio)
	for {
		oldBits := ratio.Load()
		current := math.Float64frombits(oldBits)
		next := current + calibrationWeight*(sample-current)
		if ratio.CompareAndSwap(oldBits, math.Float64bits(next)) {
			return
		}
	}
}
