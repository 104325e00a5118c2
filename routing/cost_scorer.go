package routing

import (
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
)

func init() {
	register(ScorerNamespace, "cost", func() any { return &CostScorer{} })
}

// Interface guard.
var _ Scorer = (*CostScorer)(nil)

const (
	// defaultPrefillRate is assumed for servers that report none; tokens per
	// second.
	defaultPrefillRate = 10000
	// blockReadOverhead is the time to read a block, in addition to the transfer
	// time on the link.
	blockReadOverhead = 1500 * time.Microsecond
	// prefillChunkTokens is the number of tokens that an engine computes before a
	// request of a higher priority can preempt, which waits for half a chunk on
	// average.
	prefillChunkTokens = 1024
)

// CostScorer scores a candidate by the estimated seconds to the first token, with
// the cheapest combination of importing and recomputing the context, plus the
// weighted cost of recomputed tokens and of bytes on the links. The score of an idle
// server that caches the whole context is 0. The benefit of a cached prefix is
// weighted by the confidence in the server's cache view.
type CostScorer struct {
	tables sync.Pool
}

// Score implements Scorer.
func (s *CostScorer) Score(r *Request, candidates []Candidate, now time.Time) {
	t, ok := s.tables.Get().(*costTable)
	if !ok {
		t = &costTable{}
	}
	defer s.tables.Put(t)
	t.reset(r)
	for i := range candidates {
		t.score(r, &candidates[i], now)
	}
}

// importPlan is the cheapest way to provide the context from a block on: import the
// blocks before end, then recompute the rest.
type importPlan struct {
	// seconds is the total cost from that block on.
	seconds float64
	// end is the index of the first block that is not imported.
	end int
}

// costTable holds the costs of providing a prompt's context from each block on.
// The plans are computed once per prefill rate, of which a deployment has few.
type costTable struct {
	// readSeconds[i] is the weighted time to read all blocks before block i.
	readSeconds []float64
	// queueSeconds[i] is the wait for the link of block i's best copy; -1 if the
	// block has no usable copy.
	queueSeconds []float64
	rates        []rateCosts
}

// rateCosts holds the plans from each block on for a prefill rate in tokens per
// second.
type rateCosts struct {
	rate  float64
	plans []importPlan
}

// reset prepares the table for a request.
func (t *costTable) reset(r *Request) {
	n := len(r.Blocks)
	t.readSeconds = append(t.readSeconds[:0], 0)
	t.queueSeconds = t.queueSeconds[:0]
	for i := range n {
		seconds, queueSeconds := 0.0, -1.0
		if loc := BestCopy(r, i); loc != nil {
			l := r.Links[loc.Store]
			seconds = blockReadOverhead.Seconds() + float64(loc.Bytes)*r.Objective.LinkByteSeconds
			if l.BytesPerSecond > 0 {
				seconds += float64(loc.Bytes) / l.BytesPerSecond
			}
			queueSeconds = l.QueueSeconds()
		}
		t.readSeconds = append(t.readSeconds, t.readSeconds[i]+seconds)
		t.queueSeconds = append(t.queueSeconds, queueSeconds)
	}
	t.rates = t.rates[:0]
}

// BestCopy returns the copy of block i whose link has the shortest queue, or nil if
// no copy is in a store with a usable link.
func BestCopy(r *Request, i int) *kvcache.Location {
	if i >= len(r.StoredCopies) {
		return nil
	}
	var best *kvcache.Location
	for j := range r.StoredCopies[i] {
		loc := &r.StoredCopies[i][j]
		l, ok := r.Links[loc.Store]
		if !ok || l.Down {
			continue
		}
		if best == nil || l.QueueSeconds() < r.Links[best.Store].QueueSeconds() {
			best = loc
		}
	}
	return best
}

// plansFor returns the cheapest plan from each block on for a prefill rate, without
// the wait for the link.
func (t *costTable) plansFor(r *Request, rate float64) []importPlan {
	for i := range t.rates {
		if t.rates[i].rate == rate {
			return t.rates[i].plans
		}
	}
	secondsPerToken := 1/rate + r.Objective.RecomputedTokenSeconds
	t.rates = growRates(t.rates)
	costs := &t.rates[len(t.rates)-1]
	costs.rate = rate
	n := len(r.Blocks)
	if cap(costs.plans) < n+1 {
		costs.plans = make([]importPlan, n+1)
	}
	costs.plans = costs.plans[:n+1]
	for i := n; i >= 0; i-- {
		best := importPlan{seconds: float64(max(0, r.PromptTokens-i*r.BlockTokens)) * secondsPerToken, end: i}
		if i < n && t.queueSeconds[i] >= 0 {
			next := costs.plans[i+1]
			if importSeconds := t.readSeconds[i+1] - t.readSeconds[i] + next.seconds; importSeconds < best.seconds {
				best = importPlan{seconds: importSeconds, end: next.end}
			}
		}
		costs.plans[i] = best
	}
	return costs.plans
}

// growRates extends the list by one element, and reuses the memory that an earlier
// request left in it.
func growRates(rates []rateCosts) []rateCosts {
	if len(rates) < cap(rates) {
		return rates[:len(rates)+1]
	}
	return append(rates, rateCosts{})
}

// prefillRate returns the server's prefill throughput in tokens per second.
func prefillRate(s *fleet.Server) float64 {
	if s.PrefillTokensPerSecond > 0 {
		return s.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}

// score sets a candidate's score and number of imported blocks.
func (t *costTable) score(r *Request, c *Candidate, now time.Time) {
	rate := prefillRate(c.Server)
	plans := t.plansFor(r, rate)
	secondsPerToken := 1/rate + r.Objective.RecomputedTokenSeconds
	seconds, end := t.costFrom(r, plans, c.CachedBlocks, secondsPerToken)
	if c.CachedBlocks > 0 {
		uncached, _ := t.costFrom(r, plans, 0, secondsPerToken)
		confidence := c.Server.Cache.Confidence(now)
		seconds = confidence*seconds + (1-confidence)*uncached
	}
	c.ImportBlocks = end - c.CachedBlocks
	c.Score = queueDelay(r, c, rate, now) + seconds
}

// costFrom returns the cost of providing the context from a block on, with the wait
// for the link, and the index of the first block that is not imported.
func (t *costTable) costFrom(r *Request, plans []importPlan, block int, secondsPerToken float64) (float64, int) {
	recompute := float64(max(0, r.PromptTokens-block*r.BlockTokens)) * secondsPerToken
	best := plans[block]
	if best.end == block {
		return recompute, block
	}
	if seconds := best.seconds + t.queueSeconds[block]; seconds < recompute {
		return seconds, best.end
	}
	return recompute, block
}

// queueDelay estimates the seconds until the server starts the prompt's prefill.
func queueDelay(r *Request, c *Candidate, rate float64, now time.Time) float64 {
	b := c.Server.Backlog(now)
	tokensAhead := b.Tokens
	if r.Priority != config.PriorityBatch {
		tokensAhead = b.InteractiveTokens
		if b.Tokens > b.InteractiveTokens {
			tokensAhead += prefillChunkTokens / 2
		}
	}
	seconds := float64(tokensAhead) / rate
	if slots := int64(c.Server.Slots); slots > 0 && b.Runs >= slots {
		seconds += b.MeanRunSeconds * float64(b.Runs-slots+1) / float64(slots)
	}
	return seconds
}
