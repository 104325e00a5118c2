package routing

import (
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
)

func init() {
	register(ScorerNamespace, "cost", func() any { return &CostScore{} })
}

// Interface guard.
var _ Scorer = (*CostScore)(nil)

const (
	// defaultPrefillRate is used for servers that report none; tokens a second.
	defaultPrefillRate = 10000
	// blockReadTime is the time of a block's read beside that on the link.
	blockReadTime = 1500 * time.Microsecond
	// chunkTokens is what an engine computes before a more urgent run may go
	// first; tokens.
	chunkTokens = 1024
)

// CostScore gives the estimated seconds to the first token, by the cheapest
// way of covering the prompt's context, plus the weighed recomputed tokens and
// link bytes: 0 is an idle server with the whole context cached. A cached
// prefix counts by the confidence in the server's view.
type CostScore struct {
	plans sync.Pool
}

// Score implements Scorer.
func (s *CostScore) Score(r *Request, candidates []Candidate, now time.Time) {
	p, ok := s.plans.Get().(*plan)
	if !ok {
		p = &plan{}
	}
	defer s.plans.Put(p)
	p.reset(r)
	for i := range candidates {
		p.score(r, &candidates[i], now)
	}
}

// cover is the cheapest way of covering the context from some block on.
type cover struct {
	// seconds is the cost from there on.
	seconds float64
	// end is the block before which imports end.
	end int
}

// plan holds what a prompt's covering costs, from each block on. It is made
// once for each rate of computing, of which a deployment has few.
type plan struct {
	// moved is the weighed time of moving all blocks before an index.
	moved []float64
	// queue is the wait for the link of an index's block.
	queue []float64
	rates []ratePlan
}

type ratePlan struct {
	rate   float64
	covers []cover
}

func (p *plan) reset(r *Request) {
	n := len(r.Blocks)
	p.moved = append(p.moved[:0], 0)
	p.queue = p.queue[:0]
	for i := range n {
		seconds, queue := 0.0, -1.0
		if at := Usable(r, i); at != nil {
			l := r.Links[at.Store]
			seconds = blockReadTime.Seconds() + float64(at.Bytes)*r.Objective.LinkByteSeconds
			if l.BytesPerSecond > 0 {
				seconds += float64(at.Bytes) / l.BytesPerSecond
			}
			queue = l.QueueSeconds()
		}
		p.moved = append(p.moved, p.moved[i]+seconds)
		p.queue = append(p.queue, queue)
	}
	p.rates = p.rates[:0]
}

// Usable returns the copy of a block on the link with the shortest wait, or
// nil if no copy's store is believed to be well.
func Usable(r *Request, i int) *kvcache.Location {
	if i >= len(r.Kept) {
		return nil
	}
	var best *kvcache.Location
	for j := range r.Kept[i] {
		at := &r.Kept[i][j]
		l, ok := r.Links[at.Store]
		if !ok || l.Down {
			continue
		}
		if best == nil || l.QueueSeconds() < r.Links[best.Store].QueueSeconds() {
			best = at
		}
	}
	return best
}

// covers returns the cheapest covers from each block on, without the wait for
// the link.
func (p *plan) covers(r *Request, rate float64) []cover {
	for i := range p.rates {
		if p.rates[i].rate == rate {
			return p.rates[i].covers
		}
	}
	perToken := 1/rate + r.Objective.RecomputedTokenSeconds
	p.rates = extendRates(p.rates)
	last := &p.rates[len(p.rates)-1]
	last.rate = rate
	n := len(r.Blocks)
	if cap(last.covers) < n+1 {
		last.covers = make([]cover, n+1)
	}
	last.covers = last.covers[:n+1]
	for i := n; i >= 0; i-- {
		best := cover{seconds: float64(max(0, r.PromptTokens-i*r.BlockTokens)) * perToken, end: i}
		if i < n && p.queue[i] >= 0 {
			next := last.covers[i+1]
			if read := p.moved[i+1] - p.moved[i] + next.seconds; read < best.seconds {
				best = cover{seconds: read, end: next.end}
			}
		}
		last.covers[i] = best
	}
	return last.covers
}

// extendRates lengthens the list by one and keeps the memory of earlier use.
func extendRates(rates []ratePlan) []ratePlan {
	if len(rates) < cap(rates) {
		return rates[:len(rates)+1]
	}
	return append(rates, ratePlan{})
}

// prefillRate is the server's rate of computing context; tokens a second.
func prefillRate(s *fleet.Server) float64 {
	if s.PrefillTokensPerSecond > 0 {
		return s.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}

func (p *plan) score(r *Request, c *Candidate, now time.Time) {
	rate := prefillRate(c.Server)
	covers := p.covers(r, rate)
	perToken := 1/rate + r.Objective.RecomputedTokenSeconds
	seconds, end := p.from(r, covers, c.CachedBlocks, perToken)
	if c.CachedBlocks > 0 {
		without, _ := p.from(r, covers, 0, perToken)
		confidence := c.Server.Cache.Confidence(now)
		seconds = confidence*seconds + (1-confidence)*without
	}
	c.ImportBlocks = end - c.CachedBlocks
	c.Score = wait(r, c, rate, now) + seconds
}

// from returns the cost of covering from a block on, with the wait for the
// link, and the end of imports.
func (p *plan) from(r *Request, covers []cover, at int, perToken float64) (float64, int) {
	recompute := float64(max(0, r.PromptTokens-at*r.BlockTokens)) * perToken
	best := covers[at]
	if best.end == at {
		return recompute, at
	}
	if seconds := best.seconds + p.queue[at]; seconds < recompute {
		return seconds, best.end
	}
	return recompute, at
}

// wait is the estimated time until the server begins with the prompt.
func wait(r *Request, c *Candidate, rate float64, now time.Time) float64 {
	b := c.Server.Backlog(now)
	ahead := b.Tokens
	if r.Priority != config.PriorityBatch {
		ahead = b.Interactive
		if b.Tokens > b.Interactive {
			ahead += chunkTokens / 2
		}
	}
	seconds := float64(ahead) / rate
	if slots := int64(c.Server.Slots); slots > 0 && b.Runs >= slots {
		seconds += b.RunSeconds * float64(b.Runs-slots+1) / float64(slots)
	}
	return seconds
}
