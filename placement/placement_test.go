package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func none(int) bool { return false }

func servers(n int, edit ...func(list []Server)) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{SameDomain: true, Slots: 8, MeanTime: 100 * time.Millisecond}
	}
	for _, e := range edit {
		e(list)
	}
	return list
}

func TestPick(t *testing.T) {
	plain, prompt := Job{Retryable: true}, Job{PromptTokens: 10_000, PrefillRate: 50, Long: true}
	tests := []struct {
		name    string
		servers []Server
		job     Job
		skip    func(int) bool
		want    int
	}{
		{"no servers", nil, plain, none, -1},
		{"fewer requests", servers(3, func(l []Server) { l[0].Running, l[1].Running, l[2].Running = 8, 2, 8 }), plain, none, 1},
		{"own failure domain", servers(2, func(l []Server) { l[0].SameDomain = false }), plain, none, 1},
		{"skips excluded servers", servers(2), plain, func(i int) bool { return i == 0 }, 1},
		{"avoids a server in cooldown", servers(3, func(l []Server) { l[0].CoolingDown = true; l[1].Running = 7; l[2].Running = 8 }), plain, none, 1},
		{"uses a server in cooldown if it is the only one", servers(2, func(l []Server) { l[0].CoolingDown = true }), plain, func(i int) bool { return i == 1 }, 0},
		{"ignores cooldowns when most servers are in one", servers(3, func(l []Server) { l[0].CoolingDown, l[1].CoolingDown = true, true; l[2].Running, l[2].Waiting = 8, 60 }), Job{}, func(i int) bool { return i == 1 }, 0},
		{"avoids a silent server", servers(2, func(l []Server) { l[0].Silence = 800 * time.Millisecond; l[1].Running = 7 }), plain, none, 1},
		{"avoids a server that fails some requests", servers(2, func(l []Server) { l[0].FailureRate = 0.4; l[1].Running = 8; l[1].Waiting = 2 }), plain, none, 1},
		{"prefers the server with the cached prefix", servers(3, func(l []Server) { l[2].CachedTokens = 8000 }), prompt, none, 2},
		{"prefers a transfer over prefill", servers(2, func(l []Server) { l[1].FetchTokens, l[1].FetchTime = 8000, 40*time.Millisecond }), prompt, none, 1},
		{"avoids a server without free memory", servers(2, func(l []Server) {
			for i := range l {
				l[i].MemoryTokens, l[i].RunTime = 90_000, 3*time.Second
			}
			l[0].UsedMemoryTokens, l[1].PrefillTokens = 85_000, 5000
		}), Job{PromptTokens: 10_000, MemoryTokens: 10_500, PrefillRate: 50, Long: true}, none, 1},
		{"deferred work delays a deferred prompt", servers(2, func(l []Server) { l[0].DeferredTokens = 50_000; l[1].PrefillTokens = 10_000 }), Job{PromptTokens: 10_000, PrefillRate: 50, Deferred: true}, none, 1},
		{"deferred work does not delay other prompts", servers(2, func(l []Server) { l[0].DeferredTokens = 50_000; l[1].PrefillTokens = 10_000 }), Job{PromptTokens: 10_000, PrefillRate: 50}, none, 0},
		{"avoids a backlog that outweighs the cached prefix", servers(2, func(l []Server) { l[0].CachedTokens, l[0].PrefillTokens = 8000, 20_000 }), prompt, none, 1},
		{"probes only with retryable requests", servers(2, func(l []Server) { l[0].Probing = true; l[1].Running, l[1].Waiting = 8, 60 }), Job{}, none, 1},
		{"probes with one request at a time", servers(2, func(l []Server) { l[0].Probing, l[0].Running = true, 1; l[1].Running, l[1].Waiting = 8, 60 }), plain, none, 1},
		{"avoids a server with a penalty", servers(2, func(l []Server) { l[0].Penalty = 60 * time.Millisecond }), plain, none, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, tieBreak := range []float64{0, 0.4, 0.99} {
				require.Equal(t, tt.want, Pick(ExpectedTime{}, tt.servers, tt.job, tt.skip, tieBreak))
			}
		})
	}
}

func TestTieBreakSpreadsLoad(t *testing.T) {
	seen := make(map[int]bool)
	for i := range 10 {
		seen[Pick(ExpectedTime{}, servers(5), Job{}, none, float64(i)/10)] = true
	}
	require.Len(t, seen, 5)
}

func TestSplitByLengthWithOverflow(t *testing.T) {
	list := servers(12)
	id := func(i int) string { return fmt.Sprint("s", i) }
	AssignGroups(list, 1.0/3, id)
	shortCount := 0
	for i := range list {
		if list[i].Group == GroupShort {
			shortCount++
		}
	}
	require.Equal(t, 4, shortCount)
	again := servers(12)
	AssignGroups(again, 1.0/3, id)
	require.Equal(t, list, again, "same groups at every instance")

	shortPrompt, longPrompt := Job{PromptTokens: 300, PrefillRate: 50}, Job{PromptTokens: 15_000, PrefillRate: 50, Long: true}
	require.Equal(t, GroupShort, list[Pick(ExpectedTime{}, list, shortPrompt, none, 0.3)].Group)
	require.Equal(t, GroupLong, list[Pick(ExpectedTime{}, list, longPrompt, none, 0.3)].Group)
	for i := range list {
		if list[i].Group == GroupLong {
			list[i].PrefillTokens = 40_000
		}
	}
	require.Equal(t, GroupShort, list[Pick(ExpectedTime{}, list, longPrompt, none, 0.3)].Group, "a backlog of 800 ms outweighs the delay of short prompts")
	two := servers(2)
	AssignGroups(two, 1.0/3, id)
	require.Equal(t, GroupAny, two[0].Group)
}

func TestRankIsStableOnServerLoss(t *testing.T) {
	home := func(key string, servers int) int {
		best := 0
		for i := range servers {
			if Rank(key, fmt.Sprint("s", i)) > Rank(key, fmt.Sprint("s", best)) {
				best = i
			}
		}
		return best
	}
	counts := make(map[int]int)
	for k := range 2000 {
		key := fmt.Sprint("key", k)
		before := home(key, 10)
		counts[before]++
		if before != 9 {
			require.Equal(t, before, home(key, 9))
		}
	}
	for i := range 10 {
		require.InDelta(t, 200, counts[i], 80)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 89, 986} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := servers(n)
			job := Job{PromptTokens: 10_000, PrefillRate: 50, Long: true}
			for range b.N {
				Pick(ExpectedTime{}, list, job, none, 0.5)
			}
		})
	}
}
