package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every term of the cost is named: an operator who adds up the terms gets the cost that decided.
func TestTermsAddUpToCost(t *testing.T) {
	r := rand.New(rand.NewPCG(61, 1))
	flip := func() bool { return r.IntN(2) == 0 }
	span := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	named := make(map[string]bool)
	for range 20_000 {
		s := Server{
			SameDomain: flip(), Slots: r.IntN(64), Running: 64 * r.Float64(), Waiting: 20 * r.Float64(), MeanTime: span(2 * time.Second), Slowdown: 3*r.Float64() - 0.5,
			PrefillTokens: r.IntN(20_000), DeferredTokens: r.IntN(20_000), MemoryTokens: r.IntN(100_000), UsedMemoryTokens: r.IntN(120_000), RunTime: span(5 * time.Second),
			Silence: span(2 * time.Second), FailureRate: max(0, r.Float64()-0.5), Cold: flip(), CachedTokens: r.IntN(500), FetchTokens: r.IntN(500), FetchTime: span(time.Second),
			Penalty: span(time.Second), Group: LengthGroup(r.IntN(3)), Home: flip(), Alternate: r.IntN(3),
		}
		j := Job{PromptTokens: r.IntN(2) * (500 + r.IntN(9000)), PrefillRate: 30, Overhead: span(100 * time.Millisecond), MemoryTokens: r.IntN(10_000), Long: flip(), Deferred: flip()}
		for _, scorer := range []Scorer{ExpectedTime{}, LeastLoad{}, PrefixAffinity{}} {
			sum := time.Duration(0)
			for _, term := range CostTerms(scorer, &s, &j) {
				sum += term.Cost
				named[term.Name] = true
			}
			require.Equal(t, scorer.Cost(&s, &j), sum)
		}
	}
	require.Len(t, named, 15, "each term occurs")
}
