package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Limits on what clients get.
const (
	// minCalmShare is the share on time that each kind must exceed in the pattern calm.
	minCalmShare = 0.95
	// minCalmServedShare is the share that must be served at all there.
	minCalmServedShare = 0.99
	// maxServedLoss is how far the share of served requests may fall below that under a baseline
	// policy, which refuses nobody.
	maxServedLoss = 0.05
	// maxOnTimeLoss is how far the share on time of a kind may fall below its share
	// under the baseline policy: no kind pays for the others.
	maxOnTimeLoss = 0.05
	// maxUrgencyInversion is how far the share on time of a kind may fall below that of
	// a less urgent kind.
	maxUrgencyInversion = 0.05
	// minMechanismGain is the share on time that a mechanism must add on the load that
	// it is meant for. Smaller differences come with the seed as well.
	minMechanismGain = 0.03
)

func readPattern(t testing.TB, name string) *Pattern {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("patterns", name+".json"))
	require.NoError(t, err)
	p, err := DecodePattern(raw)
	require.NoError(t, err)
	require.Equal(t, name, p.Name)
	return p
}

var (
	expectedTime   = Policy{Name: "expected-time", Scorer: placement.ExpectedTime{}}
	prefixAffinity = BaselinePolicy("prefix-affinity", placement.PrefixAffinity{})
	leastLoad      = BaselinePolicy("least-load", placement.LeastLoad{})
)

// expectedTimeWithout returns the expected-time policy with the named mechanisms
// disabled; comma-separated.
func expectedTimeWithout(t testing.TB, names string) Policy {
	t.Helper()
	p, err := dispatch.Without(names)
	require.NoError(t, err)
	return Policy{Name: "without " + names, Scorer: placement.ExpectedTime{}, Mechanisms: p}
}

func TestEachKindIsOnTimeUnderCalmLoad(t *testing.T) {
	r := Simulate(readPattern(t, "calm"), expectedTime)
	for i := range r.Kinds {
		require.Greater(t, r.Kinds[i].OnTimeShare(), minCalmShare, r.Kinds[i].Name)
		require.Greater(t, r.Kinds[i].ServedShare(), minCalmServedShare, r.Kinds[i].Name)
	}
}

// TestExpectedTimeIsNotWorseThanBaselines checks that neither prefix affinity nor
// least load alone serves more on time in any of the patterns.
func TestExpectedTimeIsNotWorseThanBaselines(t *testing.T) {
	paths, err := filepath.Glob("patterns/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			p := readPattern(t, name)
			got := Simulate(p, expectedTime).OnTimeShare()
			require.GreaterOrEqual(t, got, Simulate(p, prefixAffinity).OnTimeShare())
			require.GreaterOrEqual(t, got, Simulate(p, leastLoad).OnTimeShare())
		})
	}
}

// TestExpectedTimeIsNotWorseThanBaselinesOverSeeds compares the sum over several
// seeds, on patterns with prompts.
func TestExpectedTimeIsNotWorseThanBaselinesOverSeeds(t *testing.T) {
	const seeds = 4
	for _, name := range []string{"burst", "calm", "dark", "failing", "flood", "memory", "slow"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ours, byAffinity, byLoad, served, servedByAffinity, servedByLoad float64
			for seed := range seeds {
				p := readPattern(t, name)
				p.Seed = uint64(seed) + 1
				add := func(onTime, served *float64, policy Policy) {
					r := Simulate(p, policy)
					*onTime, *served = *onTime+r.OnTimeShare(), *served+r.ServedShare()
				}
				add(&ours, &served, expectedTime)
				add(&byAffinity, &servedByAffinity, prefixAffinity)
				add(&byLoad, &servedByLoad, leastLoad)
			}
			require.GreaterOrEqual(t, served, max(servedByAffinity, servedByLoad)-seeds*maxServedLoss)
			require.GreaterOrEqual(t, ours, byAffinity)
			require.GreaterOrEqual(t, ours, byLoad)
		})
	}
}

func TestServerLossCostsNoKindMoreThanUnderAffinity(t *testing.T) {
	for _, name := range []string{"dark", "slow", "failing"} {
		ours, baseline := Simulate(readPattern(t, name), expectedTime), Simulate(readPattern(t, name), prefixAffinity)
		for i := range ours.Kinds {
			require.Greater(t, ours.Kinds[i].OnTimeShare(), baseline.Kinds[i].OnTimeShare()-maxOnTimeLoss, "%s, %s", name, ours.Kinds[i].Name)
		}
	}
}

// TestShortPromptsAreNotStarvedByLongOnes sends a burst while few prefixes are cached.
// Unless the placement cost of a long prompt includes the delay of the short prompts
// queued behind it, both kinds are on time half as often, less than under prefix
// affinity.
func TestShortPromptsAreNotStarvedByLongOnes(t *testing.T) {
	t.Parallel()
	r := Simulate(readPattern(t, "burst"), expectedTime)
	long, short := &r.Kinds[0], &r.Kinds[1]
	require.Greater(t, short.OnTimeShare(), long.OnTimeShare()-maxUrgencyInversion)
	require.Greater(t, r.OnTimeShare(), Simulate(readPattern(t, "burst"), prefixAffinity).OnTimeShare())
}

// TestMemoryAwarePlacementServesMoreOnTime sends long prompts with long outputs. If
// placement ignores the memory of running requests, they accumulate on a few servers
// and wait for memory there.
func TestMemoryAwarePlacementServesMoreOnTime(t *testing.T) {
	t.Parallel()
	p := readPattern(t, "memory")
	got := Simulate(p, expectedTime)
	withoutMemory := Simulate(p, expectedTimeWithout(t, "run-memory"))
	require.Greater(t, got.OnTimeShare(), withoutMemory.OnTimeShare()+minMechanismGain)
}

// TestDeferringLateRequestsServesMoreOnTime overloads the servers for some seconds.
// If requests are served in order of arrival, each response is late by the queueing
// delay.
func TestDeferringLateRequestsServesMoreOnTime(t *testing.T) {
	t.Parallel()
	firstComeFirstServed := expectedTimeWithout(t, "behind,turn-away")
	for _, name := range []string{"burst", "flood"} {
		p := readPattern(t, name)
		ours, baseline := Simulate(p, expectedTime), Simulate(p, firstComeFirstServed)
		require.Greater(t, ours.OnTimeShare(), baseline.OnTimeShare()+minMechanismGain, name)
		for i := range ours.Kinds {
			require.Greater(t, ours.Kinds[i].OnTimeShare(), baseline.Kinds[i].OnTimeShare()-maxOnTimeLoss, "%s, %s", name, ours.Kinds[i].Name)
		}
	}
}

func TestRefusalsAreFastOnFullOrFailingServers(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"full", "failing"} {
		requireFastRefusals(t, name)
	}
}

// TestRefusalsAreFastUnderOverload checks that requests beyond capacity are refused
// within their objective.
func TestRefusalsAreFastUnderOverload(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"full", "flood"} {
		requireFastRefusals(t, name)
	}
}

func requireFastRefusals(t *testing.T, name string) {
	t.Helper()
	r := Simulate(readPattern(t, name), expectedTime)
	refused := 0
	for i := range r.Kinds {
		k := &r.Kinds[i]
		refused += k.Refusals
		require.Less(t, k.RefusalP95, milliseconds(k.kind.ObjectiveMS), "%s, %s", name, k.Name)
	}
	require.Positive(t, refused, "pattern %s causes no refusals", name)
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	var first, second bytes.Buffer
	require.NoError(t, WriteTable(&first, []*Result{Simulate(readPattern(t, "failing"), expectedTime)}))
	require.NoError(t, WriteTable(&second, []*Result{Simulate(readPattern(t, "failing"), expectedTime)}))
	require.Equal(t, first.String(), second.String())
}

func TestAblationListsEveryMechanism(t *testing.T) {
	p := readPattern(t, "full")
	p.Seconds = 6
	var table bytes.Buffer
	require.NoError(t, WriteAblation(&table, p, 2))
	for _, name := range dispatch.MechanismNames() {
		require.Contains(t, table.String(), name)
	}
}

func TestDecodeRejectsInvalidPatterns(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"invalid JSON", `{`, "decode pattern"},
		{"unknown field", `{"nmae":"x"}`, "unknown field"},
		{"no load", `{"name":"x"}`, "required"},
		{"no servers", `{"seconds":1,"entries":1,"kinds":[{"name":"k","per_second":1,"deadline_ms":1}]}`, "no servers"},
		{"no engines for a prompt", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k","per_second":1,"deadline_ms":1,"own_tokens":5}]}`, "no engines"},
		{"kind without a rate", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k"}]}`, "per_second"},
		{"unknown trouble", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k","per_second":1,"deadline_ms":1}],"troubles":[{"kind":"flood"}]}`, "flood"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodePattern([]byte(tt.content))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// TestCacheEvictsLeastRecentlyUsedPrefix checks that prefixes are evicted for newer
// ones and for running requests, least recently used first.
func TestCacheEvictsLeastRecentlyUsedPrefix(t *testing.T) {
	s := &server{engineConfig: &Engines{MemoryTokens: 1000}}
	s.cachePrefix(cachedPrefix{1, 400}, 0)
	s.cachePrefix(cachedPrefix{2, 400}, 0)
	s.cachePrefix(cachedPrefix{1, 400}, 0)
	s.cachePrefix(cachedPrefix{3, 400}, 0)
	require.Equal(t, []int{400, 0, 400}, []int{s.cachedTokens(1), s.cachedTokens(2), s.cachedTokens(3)})
	s.cachePrefix(cachedPrefix{3, 400}, 300)
	require.Equal(t, []int{0, 0, 400}, []int{s.cachedTokens(1), s.cachedTokens(2), s.cachedTokens(3)})
}

func TestUnresponsiveServerRespondsAfterRecovery(t *testing.T) {
	k := &RequestKind{ServiceTimeMS: 10}
	s := &server{slots: 1, slotFreeAt: make([]time.Duration, 1), faults: []Fault{{Kind: "dark", StartSeconds: 1, DurationSeconds: 2}}}
	require.Equal(t, 10*time.Millisecond, s.serve(k, 0, newRandom(1)).responseAt)
	require.Equal(t, 3010*time.Millisecond, s.serve(k, 1500*time.Millisecond, newRandom(1)).responseAt)
}

func BenchmarkSimulation(b *testing.B) {
	p := readPattern(b, "calm")
	for b.Loop() {
		Simulate(p, expectedTime)
	}
}
