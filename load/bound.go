package load

import (
	"container/heap"
	"math"
	"time"
)

// RecomputationBound is the lowest possible recomputation of a trace, with all future requests
// known.
type RecomputationBound struct {
	ReusableTokens   int64
	RecomputedTokens int64
	// NewTokens were not part of an earlier request.
	NewTokens int64
}

// RecomputedShare is the recomputed share of the reusable tokens.
func (b RecomputationBound) RecomputedShare() float64 {
	if b.ReusableTokens == 0 {
		return 0
	}
	return float64(b.RecomputedTokens) / float64(b.ReusableTokens)
}

// ComputedTokens is the number of tokens that must be computed.
func (b RecomputationBound) ComputedTokens() float64 {
	return float64(b.NewTokens + b.RecomputedTokens)
}

// OptimalBound computes the bound for one cache of the given size; blocks. It
// evicts the tail of the context whose next use is furthest in the future (Bélády's
// algorithm), which is optimal for blocks of equal size. Moving a block takes no
// time here, so that no real system does better. Only requests after the warm-up
// are counted.
func OptimalBound(t *Trace, poolBlocks int) RecomputationBound {
	next := nextUses(t)
	cache := &contextPool{freeBlocks: poolBlocks, contexts: make(map[int]*heldContext)}
	var bound RecomputationBound
	for i := range t.Requests {
		r := &t.Requests[i]
		held := min(cache.heldBlocks(r.ContextIndex), r.ReusableBlocks)
		if r.SendAt >= t.Warmup {
			bound.ReusableTokens += int64(r.ReusableBlocks) * BlockTokens
			bound.RecomputedTokens += int64(r.ReusableBlocks-held) * BlockTokens
			bound.NewTokens += int64(r.Tokens() - r.ReusableBlocks*BlockTokens)
		}
		cache.put(r.ContextIndex, r.ContextBlocks, next[i])
	}
	return bound
}

// nextUses returns for each request when its context is used next.
func nextUses(t *Trace) []time.Duration {
	next := make([]time.Duration, len(t.Requests))
	following := make(map[int]time.Duration)
	for i := len(t.Requests) - 1; i >= 0; i-- {
		at, ok := following[t.Requests[i].ContextIndex]
		if !ok {
			at = math.MaxInt64
		}
		next[i] = at
		following[t.Requests[i].ContextIndex] = t.Requests[i].SendAt
	}
	return next
}

// contextPool caches leading blocks of contexts.
type contextPool struct {
	freeBlocks    int
	contexts      map[int]*heldContext
	evictionOrder furthestNextUse
}

type heldContext struct {
	context   int
	blocks    int
	nextUse   time.Duration
	heapIndex int
}

func (p *contextPool) heldBlocks(context int) int {
	if h, ok := p.contexts[context]; ok {
		return h.blocks
	}
	return 0
}

func (p *contextPool) put(context, blocks int, next time.Duration) {
	h, ok := p.contexts[context]
	if !ok {
		h = &heldContext{context: context}
		p.contexts[context] = h
		heap.Push(&p.evictionOrder, h)
	}
	p.freeBlocks -= blocks - h.blocks
	h.blocks, h.nextUse = blocks, next
	heap.Fix(&p.evictionOrder, h.heapIndex)
	for p.freeBlocks < 0 {
		furthest := p.evictionOrder[0]
		n := min(-p.freeBlocks, furthest.blocks)
		furthest.blocks -= n
		p.freeBlocks += n
		if furthest.blocks == 0 {
			heap.Pop(&p.evictionOrder)
			delete(p.contexts, furthest.context)
		}
	}
}

// furthestNextUse is a heap with the furthest next use on top.
type furthestNextUse []*heldContext

func (f furthestNextUse) Len() int           { return len(f) }
func (f furthestNextUse) Less(i, j int) bool { return f[i].nextUse > f[j].nextUse }
func (f furthestNextUse) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (f *furthestNextUse) Push(x any) {
	h := x.(*heldContext)
	h.heapIndex = len(*f)
	*f = append(*f, h)
}

// Pop implements heap.Interface.
func (f *furthestNextUse) Pop() any {
	old := *f
	h := old[len(old)-1]
	*f = old[:len(old)-1]
	return h
}

// bisectionSteps is the number of steps in the search for the scale of a trace.
const bisectionSteps = 24

// GenerateAtLoad searches the scale of a trace at which the lower bound of its computed
// tokens fills the given share of the engines' prefill rate; tokens a second.
func GenerateAtLoad(name string, shape TraceConfig, poolBlocks int, tokensPerSecond, share float64) (*Trace, RecomputationBound, error) {
	low, high := 0.01, 64.0
	var best *Trace
	var bound RecomputationBound
	for range bisectionSteps {
		shape.Scale = (low + high) / 2
		t, err := Generate(name, shape)
		if err != nil {
			return nil, RecomputationBound{}, err
		}
		best, bound = t, OptimalBound(t, poolBlocks)
		if bound.ComputedTokens()/(shape.Duration-shape.Warmup).Seconds() > share*tokensPerSecond {
			high = shape.Scale
		} else {
			low = shape.Scale
		}
	}
	return best, bound, nil
}
