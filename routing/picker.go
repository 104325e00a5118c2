package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

func init() {
	register(PickerNamespace, "in_turn", func() any { return &RoundRobin{} })
	register(PickerNamespace, "least", func() any { return &LowestScore{} })
	register(PickerNamespace, "near_equal", func() any { return &RandomNearBest{} })
}

// Interface guards.
var (
	_ Picker = (*RoundRobin)(nil)
	_ Picker = (*LowestScore)(nil)
	_ Picker = (*RandomNearBest)(nil)
)

// RoundRobin picks the candidates in rotation.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Picker.
func (p *RoundRobin) Pick(candidates []Candidate, _ *rand.Rand) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

// LowestScore picks the candidate with the lowest score. The search starts at a
// random candidate, so that ties are not always resolved in favor of the same
// server.
type LowestScore struct{}

// Pick implements Picker.
func (p *LowestScore) Pick(candidates []Candidate, random *rand.Rand) int {
	offset := random.IntN(len(candidates))
	best := offset
	for i := range candidates {
		index := (i + offset) % len(candidates)
		if candidates[index].Score < candidates[best].Score {
			best = index
		}
	}
	return best
}

const (
	// Scores that exceed the lowest by at most nearBestFraction of it plus
	// nearBestSeconds count as equal to it.
	nearBestFraction = 0.05
	nearBestSeconds  = 0.005
)

// RandomNearBest picks at random among the candidates whose scores, in seconds, are
// close to the lowest, so that entries with the same outdated reports do not all pick
// the same server.
type RandomNearBest struct{}

// Pick implements Picker.
func (p *RandomNearBest) Pick(candidates []Candidate, random *rand.Rand) int {
	lowest := candidates[0].Score
	for i := range candidates {
		lowest = min(lowest, candidates[i].Score)
	}
	limit := lowest + nearBestSeconds + nearBestFraction*max(0, lowest)
	picked, nearBest := 0, 0
	for i := range candidates {
		if candidates[i].Score > limit {
			continue
		}
		nearBest++
		if random.IntN(nearBest) == 0 {
			picked = i
		}
	}
	return picked
}
