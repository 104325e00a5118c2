package load

import (
	"container/heap"
	"math"
	"time"
)

// Bound is the lowest possible recomputation of a trace, with all future requests
// known.
type Bound struct {
	ReturnedTokens   int64
	RecomputedTokens int64
	// NewTokens were not part of an earlier request.
	NewTokens int64
}

// Share is the recomputed share of the reusable tokens.
func (b Bound) Share() float64 {
	if b.ReturnedTokens == 0 {
		return 0
	}
	return float64(b.RecomputedTokens) / float64(b.ReturnedTokens)
}

// Work is the number of tokens that must be computed.
func (b Bound) Work() float64 { return float64(b.NewTokens + b.RecomputedTokens) }

// KnownReturns computes the bound for one cache of the given size; blocks. It
// evicts the tail of the context whose next use is furthest in the future (Bélády's
// algorithm), which is optimal for blocks of equal size. Moving a block takes no
// time here, so that no real system does better. Only requests after the warm-up
// are counted.
func KnownReturns(t *Trace, poolBlocks int) Bound {
	next := nextUses(t)
	cache := &contextPool{freeBlocks: poolBlocks, contexts: make(map[int]*heldContext)}
	var bound Bound
	for i := range t.Requests {
		r := &t.Requests[i]
		held := min(cache.heldBlocks(r.Context), r.Returned)
		if r.At >= t.Warmup {
			bound.ReturnedTokens += int64(r.Returned) * BlockTokens
			bound.RecomputedTokens += int64(r.Returned-held) * BlockTokens
			bound.NewTokens += int64(r.Tokens() - r.Returned*BlockTokens)
		}
		cache.put(r.Context, r.Blocks, next[i])
	}
	return bound
}

// nextUses returns for each request when its context is used next.
func nextUses(t *Trace) []time.Duration {
	next := make([]time.Duration, len(t.Requests))
	following := make(map[int]time.Duration)
	for i := len(t.Requests) - 1; i >= 0; i-- {
		at, ok := following[t.Requests[i].Context]
		if !ok {
			at = math.MaxInt64
		}
		next[i] = at
		following[t.Requests[i].Context] = t.Requests[i].At
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

// AtLoad searches the scale of a trace at which the lower bound of its computed
// tokens fills the given share of the engines' prefill rate; tokens a second.
func AtLoad(name string, shape Shape, poolBlocks int, tokensPerSecond, share float64) (*Trace, Bound, error) {
	low, high := 0.01, 64.0
	var best *Trace
	var bound Bound
	for range bisectionSteps {
		shape.Scale = (low + high) / 2
		t, err := Generate(name, shape)
		if err != nil {
			return nil, Bound{}, err
		}
		best, bound = t, KnownReturns(t, poolBlocks)
		if bound.Work()/(shape.Duration-shape.Warmup).Seconds() > share*tokensPerSecond {
			high = shape.Scale
		} else {
			low = shape.Scale
		}
	}
	return best, bound, nil
}
