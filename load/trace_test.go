package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testConfig = TraceConfig{Seed: 7, Duration: 20 * time.Second, Warmup: 5 * time.Second, GapCompression: 8640, Scale: 1}

func TestTracesAreReproducible(t *testing.T) {
	for _, name := range []string{"order", "history"} {
		first, err := Generate(name, testConfig)
		require.NoError(t, err)
		second, err := Generate(name, testConfig)
		require.NoError(t, err)
		require.Equal(t, first, second, name)
		require.NotEmpty(t, first.Requests)

		other := testConfig
		other.Seed++
		third, err := Generate(name, other)
		require.NoError(t, err)
		require.NotEqual(t, first.Requests, third.Requests, name)
	}
	_, err := Generate("no-such-trace", testConfig)
	require.Error(t, err)
}

// TestLaterRequestsShareContextPrefix checks that a later request of a context begins
// with the text of the earlier one.
func TestLaterRequestsShareContextPrefix(t *testing.T) {
	for _, name := range []string{"order", "history"} {
		trace, err := Generate(name, testConfig)
		require.NoError(t, err)
		latest := make(map[int]*Request)
		for i := range trace.Requests {
			r := &trace.Requests[i]
			if previous := latest[r.ContextIndex]; previous != nil {
				require.Equal(t, previous.ContextBlocks, r.ReusableBlocks)
				require.Equal(t, previous.AccountIndex, r.AccountIndex)
				require.Equal(t, previous.Prompt()[:r.ReusableBlocks*blockTextBytes], r.Prompt()[:r.ReusableBlocks*blockTextBytes])
				require.GreaterOrEqual(t, r.SendAt, previous.SendAt)
			} else {
				require.Zero(t, r.ReusableBlocks)
			}
			latest[r.ContextIndex] = r
		}
	}
}

func traceOfContexts(contexts ...int) *Trace {
	t := &Trace{}
	seen := make(map[int]bool)
	for i, c := range contexts {
		r := Request{SendAt: time.Duration(i) * time.Second, ContextIndex: c, ContextBlocks: 1}
		if seen[c] {
			r.ReusableBlocks = 1
		}
		seen[c] = true
		t.Requests = append(t.Requests, r)
	}
	return t
}

func TestOptimalBound(t *testing.T) {
	cases := []struct {
		name     string
		pool     int
		contexts []int
		want     int64
	}{
		{"all fit", 3, []int{1, 2, 3, 1, 2, 3}, 0},
		{"no cache", 0, []int{1, 1, 1}, 2},
		{"a context without a later request is evicted", 1, []int{1, 2, 1}, 0},
		{"the furthest next use is evicted", 2, []int{1, 2, 3, 1, 2, 3}, 1},
		{"one block, two contexts in turn", 1, []int{1, 2, 1, 2}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want*BlockTokens, OptimalBound(traceOfContexts(c.contexts...), c.pool).RecomputedTokens)
		})
	}
}

func TestGenerateAtLoadFillsGivenShare(t *testing.T) {
	const rate = 40000.0
	trace, bound, err := GenerateAtLoad("order", testConfig, 500, rate, 0.8)
	require.NoError(t, err)
	require.NotEmpty(t, trace.Requests)
	require.InDelta(t, 0.8*rate, bound.ComputedTokens()/15, 0.2*rate)
}
