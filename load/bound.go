package load

import (
	"container/heap"
	"math"
	"time"
)

// RecomputationBound is the lowest possible recomputation of a trace's prompts by one
// cache, see OptimalBound.
type RecomputationBound struct {
	// ReusableTokens were part of an earlier request of the context, RecomputedTokens are
	// those of them that the cache no longer held.
	ReusableTokens   int64
	RecomputedTokens int64
	// NewTokens is the number of prompt tokens that were not part of an earlier
	// request.
	NewTokens int64
}

// RecomputedShare returns the recomputed share of the reusable tokens, from 0 to 1; 0
// if no tokens are reusable.
func (b RecomputationBound) RecomputedShare() float64 {
	if b.ReusableTokens == 0 {
		return 0
	}
	return float64(b.RecomputedTokens) / float64(b.ReusableTokens)
}

// ComputedTokens returns the number of tokens that must be computed at least.
func (b RecomputationBound) ComputedTokens() float64 {
	return float64(b.NewTokens + b.RecomputedTokens)
}

// OptimalBound computes the bound for one cache that holds the given number of blocks.
// It evicts the tail of the context whose next use is furthest in the future (Bélády's
// algorithm), which is optimal for blocks of equal size. Transfers of blocks take no
// time, so no real system does better. Only requests after the warm-up are counted.
func OptimalBound(t *Trace, poolBlocks int) RecomputationBound {
	next := nextUses(t)
	cache := &contextPool{freeBlocks: poolBlocks, contexts: make(map[int]*cachedContext)}
	var bound RecomputationBound
	for i := range t.Requests {
		r := &t.Requests[i]
		cached := min(cache.cachedBlocks(r.ContextIndex), r.ReusableBlocks)
		if r.SendAt >= t.Warmup {
			bound.ReusableTokens += int64(r.ReusableBlocks) * BlockTokens
			bound.RecomputedTokens += int64(r.ReusableBlocks-cached) * BlockTokens
			bound.NewTokens += int64(r.Tokens() - r.ReusableBlocks*BlockTokens)
		}
		cache.put(r.ContextIndex, r.ContextBlocks, next[i])
	}
	return bound
}

// nextUses returns for each request the time of the next request with the same context;
// math.MaxInt64 if there is none.
func nextUses(t *Trace) []time.Duration {
	next := make([]time.Duration, len(t.Requests))
	following := make(map[int]time.Duration)
	for i := len(t.Requests) - 1; i >= 0; i-- {
		nextUse, ok := following[t.Requests[i].ContextIndex]
		if !ok {
			nextUse = math.MaxInt64
		}
		next[i] = nextUse
		following[t.Requests[i].ContextIndex] = t.Requests[i].SendAt
	}
	return next
}

// contextPool is a cache of leading blocks of contexts.
type contextPool struct {
	freeBlocks    int
	contexts      map[int]*cachedContext
	evictionOrder furthestNextUse
}

// cachedContext is a context of which the first blocks are cached.
type cachedContext struct {
	context   int
	blocks    int
	nextUse   time.Duration
	heapIndex int
}

// cachedBlocks returns the number of leading blocks of a context that are cached.
func (p *contextPool) cachedBlocks(context int) int {
	if h, ok := p.contexts[context]; ok {
		return h.blocks
	}
	return 0
}

// put caches the first blocks of a context that is next used at next, and evicts blocks
// of the contexts with the furthest next use while the capacity is exceeded.
func (p *contextPool) put(context, blocks int, next time.Duration) {
	h, ok := p.contexts[context]
	if !ok {
		h = &cachedContext{context: context}
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

// furthestNextUse is a heap of contexts with the furthest next use on top.
type furthestNextUse []*cachedContext

func (f furthestNextUse) Len() int           { return len(f) }
func (f furthestNextUse) Less(i, j int) bool { return f[i].nextUse > f[j].nextUse }
func (f furthestNextUse) Swap(i, j int) {
	f[i], f[j] = f[j], f[i]
	f[i].heapIndex, f[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (f *furthestNextUse) Push(x any) {
	h := x.(*cachedContext)
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

// bisectionSteps is the number of bisection steps in GenerateAtLoad.
const bisectionSteps = 24

// GenerateAtLoad generates the named trace at the scale at which the lower bound on its
// computed tokens per second, after the warm-up, is the given share of the engines'
// prefill rate; tokens per second. It searches scales from 0.01 to 64 and ignores the
// scale in the configuration. It returns an error if the trace is unknown.
func GenerateAtLoad(name string, cfg TraceConfig, poolBlocks int, tokensPerSecond, share float64) (*Trace, RecomputationBound, error) {
	low, high := 0.01, 64.0
	var best *Trace
	var bound RecomputationBound
	for range bisectionSteps {
		cfg.Scale = (low + high) / 2
		t, err := Generate(name, cfg)
		if err != nil {
			return nil, RecomputationBound{}, err
		}
		best, bound = t, OptimalBound(t, poolBlocks)
		if bound.ComputedTokens()/(cfg.Duration-cfg.Warmup).Seconds() > share*tokensPerSecond {
			high = cfg.Scale
		} else {
			low = cfg.Scale
		}
	}
	return best, bound, nil
}
