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

// Bounds that hold on patterns, from what the users ask.
const (
	// calmShare is the credit that each kind is to earn on a calm day.
	calmShare = 0.95
	// worseThanAffinity is how far a kind may stay behind what it earns under
	// prefix affinity when servers are lost: a twentieth, as the users' rules
	// count it between kinds.
	worseThanAffinity = 0.05
	// behindUrgent is how far a kind may stay behind a less urgent one.
	behindUrgent = 0.15
	// learnedShare is the least that a rule must gain on the load that it answers:
	// what counts as more than noise on the users' sheet.
	learnedShare = 0.03
)

func pattern(t testing.TB, name string) *Pattern {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("patterns", name+".json"))
	require.NoError(t, err)
	p, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, name, p.Name)
	return p
}

var (
	expected = Policy{Name: "expected-time", Scorer: placement.ExpectedTime{}}
	affinity = Baseline("prefix-affinity", placement.PrefixAffinity{})
	least    = Baseline("least-load", placement.LeastLoad{})
)

// without is the expected time without some mechanisms.
func without(t testing.TB, names string) Policy {
	t.Helper()
	p, err := dispatch.Without(names)
	require.NoError(t, err)
	return Policy{Name: "without " + names, Scorer: placement.ExpectedTime{}, Decisions: p}
}

func (k *KindResult) share() float64 { return k.Credit / k.Owed }

func TestCalmDayIsServed(t *testing.T) {
	r := Play(pattern(t, "calm"), expected)
	for i := range r.Kinds {
		require.Greater(t, r.Kinds[i].share(), calmShare, r.Kinds[i].Name)
	}
}

// TestNoPatternIsServedBetterByABaseline: on none of the recorded loads do
// callers get more from affinity alone or from the load alone.
func TestNoPatternIsServedBetterByABaseline(t *testing.T) {
	names, err := filepath.Glob("patterns/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, names)
	for _, path := range names {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			p := pattern(t, name)
			got := Play(p, expected).Share()
			require.GreaterOrEqual(t, got, Play(p, affinity).Share())
			require.GreaterOrEqual(t, got, Play(p, least).Share())
		})
	}
}

// TestNoPatternOfPromptsIsServedBetterByABaseline is the same for the loads with
// prompts, over several seeds and in their mean.
func TestNoPatternOfPromptsIsServedBetterByABaseline(t *testing.T) {
	const seeds = 4
	for _, name := range []string{"burst", "calm", "dark", "failing", "flood", "memory", "slow"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ours, byAffinity, byLoad float64
			for seed := range seeds {
				p := pattern(t, name)
				p.Seed = uint64(seed) + 1
				ours += Play(p, expected).Share()
				byAffinity += Play(p, affinity).Share()
				byLoad += Play(p, least).Share()
			}
			require.GreaterOrEqual(t, ours, byAffinity)
			require.GreaterOrEqual(t, ours, byLoad)
		})
	}
}

func TestNoKindSuffersFromALossMoreThanUnderAffinity(t *testing.T) {
	for _, name := range []string{"dark", "slow", "failing"} {
		ours, theirs := Play(pattern(t, name), expected), Play(pattern(t, name), affinity)
		for i := range ours.Kinds {
			require.Greater(t, ours.Kinds[i].share(), theirs.Kinds[i].share()-worseThanAffinity, "%s, %s", name, ours.Kinds[i].Name)
		}
	}
}

// TestShortPromptsAreNotPutBehindLongOnes replays many callers at once while
// little is cached. Before a long prompt was charged for the short ones behind
// it, both kinds had half of their credit and prefix affinity earned more.
func TestShortPromptsAreNotPutBehindLongOnes(t *testing.T) {
	r := Play(pattern(t, "burst"), expected)
	long, short := &r.Kinds[0], &r.Kinds[1]
	require.Greater(t, short.share(), long.share()-behindUrgent)
	require.Greater(t, r.Share(), Play(pattern(t, "burst"), affinity).Share())
}

// TestRunsAreSpreadByTheirMemory replays long answers to long prompts. Where
// nobody counts what runs hold, they meet at few servers and wait for room.
func TestRunsAreSpreadByTheirMemory(t *testing.T) {
	p := pattern(t, "memory")
	got := Play(p, expected)
	blind := Play(p, without(t, "run-memory"))
	require.Greater(t, got.Share(), blind.Share()+learnedShare)
}

// TestLateOnesGoBehind replays loads above what servers can do for seconds. In
// the order of coming, every answer is late by the length of the queue.
func TestLateOnesGoBehind(t *testing.T) {
	inOrder := without(t, "behind,turn-away")
	for _, name := range []string{"burst", "flood"} {
		p := pattern(t, name)
		ours, theirs := Play(p, expected), Play(p, inOrder)
		require.Greater(t, ours.Share(), theirs.Share()+learnedShare, name)
		for i := range ours.Kinds {
			require.Greater(t, ours.Kinds[i].share(), theirs.Kinds[i].share()-worseThanAffinity, "%s, %s", name, ours.Kinds[i].Name)
		}
	}
}

func TestRefusalsComeAtOnce(t *testing.T) {
	for _, name := range []string{"full", "failing"} {
		requireRefusalsAtOnce(t, name)
	}
}

// TestWhatIsTurnedAwayIsToldAtOnce: load patterns with more than can be served.
func TestWhatIsTurnedAwayIsToldAtOnce(t *testing.T) {
	for _, name := range []string{"full", "flood"} {
		requireRefusalsAtOnce(t, name)
	}
}

func requireRefusalsAtOnce(t *testing.T, name string) {
	t.Helper()
	r := Play(pattern(t, name), expected)
	refused := 0
	for i := range r.Kinds {
		k := &r.Kinds[i]
		refused += k.Refusals
		require.Less(t, k.RefusalP95, milliseconds(k.kind.ObjectiveMS), "%s, %s", name, k.Name)
	}
	require.Positive(t, refused, "the pattern %s has refusals", name)
}

func TestRunsRepeat(t *testing.T) {
	var first, second bytes.Buffer
	require.NoError(t, WriteTable(&first, []*Result{Play(pattern(t, "failing"), expected)}))
	require.NoError(t, WriteTable(&second, []*Result{Play(pattern(t, "failing"), expected)}))
	require.Equal(t, first.String(), second.String())
}

func TestAblationNamesEveryMechanism(t *testing.T) {
	p := pattern(t, "full")
	p.Seconds = 6
	var table bytes.Buffer
	require.NoError(t, WriteAblation(&table, p, 2))
	for _, name := range dispatch.MechanismNames() {
		require.Contains(t, table.String(), name)
	}
}

func TestPatternsAreChecked(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"not JSON", `{`, "decode pattern"},
		{"a field that is not known", `{"nmae":"x"}`, "unknown field"},
		{"nothing to play", `{"name":"x"}`, "required"},
		{"no servers", `{"seconds":1,"entries":1,"kinds":[{"name":"k","per_second":1,"deadline_ms":1}]}`, "no servers"},
		{"no engines for a prompt", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k","per_second":1,"deadline_ms":1,"own_tokens":5}]}`, "no engines"},
		{"a kind that never comes", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k"}]}`, "per_second"},
		{"an unknown trouble", `{"seconds":1,"entries":1,"plain":{"count":1},"kinds":[{"name":"k","per_second":1,"deadline_ms":1}],"troubles":[{"kind":"flood"}]}`, "flood"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(tt.content))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// TestEngineKeepsWhatWasUsedLast: parts yield to others and to runs, the least
// recently used one first.
func TestEngineKeepsWhatWasUsedLast(t *testing.T) {
	s := &server{engines: &Engines{MemoryTokens: 1000}}
	s.keep(cachedPart{1, 400}, 0)
	s.keep(cachedPart{2, 400}, 0)
	s.keep(cachedPart{1, 400}, 0)
	s.keep(cachedPart{3, 400}, 0)
	require.Equal(t, []int{400, 0, 400}, []int{s.held(1), s.held(2), s.held(3)})
	s.keep(cachedPart{3, 400}, 300)
	require.Equal(t, []int{0, 0, 400}, []int{s.held(1), s.held(2), s.held(3)})
}

func TestDarkServerAnswersAfterwards(t *testing.T) {
	k := &Kind{WorkMS: 10}
	s := &server{slots: 1, free: make([]time.Duration, 1), troubles: []Trouble{{Kind: "dark", AtSeconds: 1, ForSeconds: 2}}}
	require.Equal(t, 10*time.Millisecond, s.serve(k, 0, newRandom(1)).first)
	require.Equal(t, 3010*time.Millisecond, s.serve(k, 1500*time.Millisecond, newRandom(1)).first)
}

func BenchmarkPlay(b *testing.B) {
	p := pattern(b, "calm")
	for b.Loop() {
		Play(p, expected)
	}
}
