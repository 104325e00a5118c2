package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

func init() {
	register(PickerNamespace, "in_turn", func() any { return &InTurn{} })
	register(PickerNamespace, "least", func() any { return &Least{} })
	register(PickerNamespace, "near_equal", func() any { return &NearEqual{} })
}

// Interface guards.
var (
	_ Picker = (*InTurn)(nil)
	_ Picker = (*Least)(nil)
	_ Picker = (*NearEqual)(nil)
)

// InTurn picks the candidates one after the other.
type InTurn struct {
	next atomic.Uint64
}

// Pick implements Picker.
func (p *InTurn) Pick(candidates []Candidate, _ *rand.Rand) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

// Least picks the least score, the first of equals from a random place on.
type Least struct{}

// Pick implements Picker.
func (p *Least) Pick(candidates []Candidate, random *rand.Rand) int {
	offset := random.IntN(len(candidates))
	best := offset
	for i := range candidates {
		at := (i + offset) % len(candidates)
		if candidates[at].Score < candidates[best].Score {
			best = at
		}
	}
	return best
}

const (
	// nearPart and nearSeconds say which scores count as equal to the least.
	nearPart    = 0.05
	nearSeconds = 0.005
)

// NearEqual picks at random among the scores, in seconds, that are near the
// least, so that entries with the same late reports do not all pick the same
// server.
type NearEqual struct{}

// Pick implements Picker.
func (p *NearEqual) Pick(candidates []Candidate, random *rand.Rand) int {
	least := candidates[0].Score
	for i := range candidates {
		least = min(least, candidates[i].Score)
	}
	limit := least + nearSeconds + nearPart*max(0, least)
	picked, near := 0, 0
	for i := range candidates {
		if candidates[i].Score > limit {
			continue
		}
		near++
		if random.IntN(near) == 0 {
			picked = i
		}
	}
	return picked
}
