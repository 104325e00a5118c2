package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestScorerSelection(t *testing.T) {
	prompt := Job{PromptTokens: 10_000, PrefillRate: 50, Long: true}
	list := servers(4, func(l []Server) {
		l[0].Running = 1
		l[1].Home, l[1].Running, l[1].PrefillTokens = true, 7, 60_000
		l[2].CachedTokens, l[2].Running = 9000, 2
		l[3].Running = 8
	})
	for name, want := range map[string]int{"expected-time": 2, "prefix-affinity": 1, "least-load": 0} {
		s, err := NewScorer(name)
		require.NoError(t, err)
		require.Equal(t, want, Pick(s, list, prompt, none, 0.5), name)
	}
	affinity, err := NewScorer("prefix-affinity")
	require.NoError(t, err)
	require.Equal(t, 0, Pick(affinity, list, Job{}, none, 0.5), "requests without a prompt go by load")
	_, err = NewScorer("unknown")
	require.Error(t, err)
}

func TestBaselinesPreferLocalDomainOnTies(t *testing.T) {
	list := servers(2, func(l []Server) { l[0].SameDomain = false })
	require.Equal(t, 1, Pick(LeastLoad{}, list, Job{}, none, 0))
	list[1].Running = 1
	require.Equal(t, 0, Pick(LeastLoad{}, list, Job{}, none, 0))
	require.Less(t, crossDomainPenalty, time.Second/8, "one slot of eight outweighs the penalty")
}
