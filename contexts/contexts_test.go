package contexts

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func store(address, zone string, capacity int) *HolderState {
	s := NewHolderState(address, zone)
	s.Capacity, s.Rate, s.FirstDelay = capacity, 250, time.Millisecond
	s.ApplyChanges(&Changes{Epoch: 1, Next: 1}, start)
	return s
}

func addPart(s *HolderState, part string, tokens int) {
	s.ApplyChanges(&Changes{Epoch: 1, Next: s.next + 1, Changes: []Change{{Key: Key{"w1", part}, Tokens: tokens}}}, start)
}

func partList(parts ...Part) []Part { return parts }

func part(id string, tokens int) Part { return Part{Key: Key{"w1", id}, Tokens: tokens} }

var target = Target{Address: "e:1", Zone: "a", MaxTransferWait: 300 * time.Millisecond, PrefillRate: 50}

func TestPlanFetchAndSave(t *testing.T) {
	tests := []struct {
		name        string
		stores      func() []*HolderState
		now         time.Time
		to          Target
		parts       []Part
		fetch, save []string
	}{
		{"not held: saved at the store with space", func() []*HolderState {
			return []*HolderState{store("s:1", "a", 900), store("s:2", "a", 20_000)}
		}, start, target, partList(part("p", 1000)), []string{""}, []string{"s:2"}},
		{"held: fetched, not saved again", func() []*HolderState {
			s := store("s:1", "a", 10_000)
			addPart(s, "p", 1000)
			return []*HolderState{s}
		}, start, target, partList(part("p", 1000)), []string{"s:1"}, []string{""}},
		{"incomplete: neither fetched nor overwritten", func() []*HolderState {
			s := store("s:1", "a", 10_000)
			addPart(s, "p", 500)
			return []*HolderState{s}
		}, start, target, partList(part("p", 1000)), []string{""}, []string{""}},
		{"fetched from the holder in the same failure domain", func() []*HolderState {
			far, near := store("s:1", "b", 10_000), store("s:2", "a", 10_000)
			addPart(far, "p", 1000)
			addPart(near, "p", 1000)
			return []*HolderState{far, near}
		}, start, target, partList(part("p", 1000)), []string{"s:2"}, []string{""}},
		{"stale store is not used", func() []*HolderState {
			s := store("s:1", "a", 10_000)
			addPart(s, "p", 1000)
			return []*HolderState{s}
		}, start.Add(MaxStateAge), target, partList(part("p", 1000)), []string{""}, []string{""}},
		{"no fetch behind an unavailable part", func() []*HolderState {
			s := store("s:1", "a", 10_000)
			addPart(s, "q", 1000)
			return []*HolderState{s}
		}, start, target, partList(part("p", 1000), part("q", 1000)), []string{"", ""}, []string{"s:1", ""}},
		{"fetched from an engine, and saved since the engine may evict it", func() []*HolderState {
			e, s := store("e:2", "a", 0), store("s:1", "a", 10_000)
			e.Engine = true
			addPart(e, "p", 1000)
			return []*HolderState{e, s}
		}, start, target, partList(part("p", 1000)), []string{"e:2"}, []string{"s:1"}},
		{"never fetched from the target itself", func() []*HolderState {
			e := store("e:1", "a", 0)
			e.Engine = true
			addPart(e, "p", 1000)
			return []*HolderState{e}
		}, start, target, partList(part("p", 1000)), []string{""}, []string{""}},
		{"no space", func() []*HolderState { return []*HolderState{store("s:1", "a", 900)} }, start, target, partList(part("p", 1000)), []string{""}, []string{""}},
		{"prefilled if pending transfers exceed the wait budget", func() []*HolderState {
			s := store("s:1", "a", 10_000)
			addPart(s, "p", 1000)
			return []*HolderState{s}
		}, start, Target{Address: "e:1", Zone: "a", PendingTransferTime: time.Second, MaxTransferWait: 300 * time.Millisecond, PrefillRate: 50}, partList(part("p", 1000)), []string{""}, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Plan(tt.stores(), tt.parts, tt.to, tt.now)
			require.Equal(t, tt.fetch, got.Fetch)
			require.Equal(t, tt.save, got.Save)
		})
	}
}

// TestInstancesChooseSameStoreForPart: instances that prefill the same part at the
// same time, before either knows of the other's save, save it at the same store,
// and stores fill in proportion to their capacity.
func TestInstancesChooseSameStoreForPart(t *testing.T) {
	instance := func() []*HolderState {
		return []*HolderState{store("s:1", "a", 1_000_000), store("s:2", "b", 3_000_000), store("s:3", "a", 2_000_000)}
	}
	first, second := instance(), instance()
	counts := make(map[string]float64)
	for n := range 600 {
		p := partList(part(fmt.Sprint("p", n), 1000))
		to := target
		saved := Plan(first, p, to, start).Save[0]
		to.Zone = "b"
		require.Equal(t, saved, Plan(second, p, to, start).Save[0])
		counts[saved]++
	}
	require.InDelta(t, 100, counts["s:1"], 40)
	require.InDelta(t, 300, counts["s:2"], 60)
	require.InDelta(t, 200, counts["s:3"], 60)
}

func TestPendingSaveIsNotRepeatedAndReservesSpace(t *testing.T) {
	s := store("s:1", "a", 2000)
	require.Equal(t, "s:1", Plan([]*HolderState{s}, partList(part("p", 1200)), target, start).Save[0])
	require.Empty(t, Plan([]*HolderState{s}, partList(part("p", 1200)), target, start).Save[0])
	require.Empty(t, Plan([]*HolderState{s}, partList(part("q", 1200)), target, start).Save[0])
	later := start.Add(saveTimeout + time.Second)
	s.ApplyChanges(&Changes{Epoch: 1, Next: 9}, later)
	require.Equal(t, "s:1", Plan([]*HolderState{s}, partList(part("q", 1200)), target, later).Save[0], "a lost save expires")
}

func TestRestartedStoreIsEmptyAndNotWrittenImmediately(t *testing.T) {
	s := store("s:1", "a", 10_000)
	addPart(s, "p", 1000)
	now := start.Add(time.Second)
	require.True(t, s.ApplyChanges(&Changes{Epoch: 2, Next: 1}, now))
	require.Equal(t, uint64(0), s.Cursor(), "polling restarts from the beginning of the new incarnation")
	s.ApplyChanges(&Changes{Epoch: 2, Next: 1}, now)
	require.False(t, s.Holds(Key{"w1", "p"}, 1000, now))
	require.Empty(t, Plan([]*HolderState{s}, partList(part("p", 1000)), target, now).Save[0], "other instances may still assume that it holds the part")
	now = now.Add(restartWriteDelay + time.Second)
	s.ApplyChanges(&Changes{Epoch: 2, Next: 1}, now)
	require.Equal(t, "s:1", Plan([]*HolderState{s}, partList(part("p", 1000)), target, now).Save[0])
}

func TestListingRepairsGap(t *testing.T) {
	s := store("s:1", "a", 10_000)
	addPart(s, "p", 1000)
	require.False(t, s.ApplyChanges(&Changes{Epoch: 1, Next: 9, Gap: true}, start))
	require.False(t, s.Holds(Key{"w1", "p"}, 1000, start))
	s.Replace(&Changes{Epoch: 1, Next: 9, Changes: []Change{{Key{"w1", "q"}, 500}}}, start)
	require.True(t, s.Holds(Key{"w1", "q"}, 500, start))
	require.Equal(t, 500, s.used)
}

// feed reports a gap to a poll without a cursor, and counts listings.
type feed struct{ lists map[string]int }

func (f *feed) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (*Changes, error) {
	return &Changes{Epoch: 1, Next: 5, Gap: after == 0}, nil
}

func (f *feed) List(_ context.Context, address string) (*Changes, error) {
	f.lists[address]++
	return &Changes{Epoch: 1, Next: 5, Changes: []Change{{Key{"w1", "p"}, 500}}}, nil
}

func TestEngineGapDoesNotRequestListing(t *testing.T) {
	f := &feed{lists: make(map[string]int)}
	w := NewWatcher(f, slog.New(slog.DiscardHandler))
	engine, contextStore := NewHolderState("e:1", "a"), NewHolderState("s:1", "a")
	engine.Engine = true
	w.polled = map[string]*polledHolder{"e:1": {HolderState: engine}, "s:1": {HolderState: contextStore}}
	for _, s := range []*HolderState{engine, contextStore} {
		require.NoError(t, w.poll(context.Background(), s))
	}
	require.Equal(t, map[string]int{"s:1": 1}, f.lists)
	tokens, known := w.CachedTokens("e:1", partList(part("p", 500)))
	require.True(t, known)
	require.Zero(t, tokens, "content from before the gap is discarded")
	require.True(t, contextStore.Holds(Key{"w1", "p"}, 500, w.Now()))
	require.Equal(t, uint64(5), engine.Cursor())
}

func TestSlowStoreIsAvoidedAndRetried(t *testing.T) {
	s := store("s:1", "a", 10_000)
	addPart(s, "p", 5000)
	for range 12 {
		transfers := Plan([]*HolderState{s}, partList(part("p", 5000)), target, start)
		transfers.finish(900*time.Millisecond, start)
	}
	require.Empty(t, Plan([]*HolderState{s}, partList(part("p", 5000)), target, start).Fetch[0])
	later := start.Add(10 * time.Second)
	s.ApplyChanges(&Changes{Epoch: 1, Next: 9}, later)
	require.Equal(t, "s:1", Plan([]*HolderState{s}, partList(part("p", 5000)), target, later).Fetch[0])
	require.Equal(t, s.nominal(5000, target.Zone), s.linkFreeAt.Sub(later), "finished transfers do not occupy the link")
}

func TestSaltSeparatesVersionsAndScopes(t *testing.T) {
	require.Equal(t, "w3", Salt(3, Scope{}))
	seen := make(map[string]bool)
	for _, scope := range []Scope{{}, {Isolated: "a"}, {Isolated: "b"}, {Isolated: "a-b"}, {Isolated: "a+b"}, {Isolated: "+a"}, {Group: "a"}, {Group: "b"}} {
		for _, version := range []uint64{3, 31} {
			salt := Salt(version, scope)
			require.False(t, seen[salt], salt)
			seen[salt] = true
			parsed, parsedScope, ok := ParseSalt(salt)
			require.True(t, ok)
			require.Equal(t, version, parsed)
			require.Equal(t, scope, parsedScope)
		}
	}
	for _, salt := range []string{"unrelated", "", "w", "w-a", "3"} {
		_, _, ok := ParseSalt(salt)
		require.False(t, ok, salt)
	}
}

// TestNeverFetchesAcrossSaltsOrIncompleteParts checks over random states that every
// fetched part is complete under the request's own salt, at a store with fresh
// state.
func TestNeverFetchesAcrossSaltsOrIncompleteParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		salts := []string{Salt(1, Scope{}), Salt(2, Scope{}), Salt(2, Scope{Isolated: "a"}), Salt(2, Scope{Isolated: "b"}), Salt(2, Scope{Group: "g"})}
		var stores []*HolderState
		for i := range 3 {
			s := store(string(rune('a'+i))+":1", "a", 100_000)
			for range rapid.IntRange(0, 6).Draw(t, "parts") {
				k := Key{rapid.SampledFrom(salts).Draw(t, "salt"), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part")}
				s.ApplyChanges(&Changes{Epoch: 1, Next: 2, Changes: []Change{{k, rapid.SampledFrom([]int{0, 400, 800}).Draw(t, "tokens")}}}, start)
			}
			if rapid.Bool().Draw(t, "lost") {
				s.Invalidate()
			}
			stores = append(stores, s)
		}
		salt := rapid.SampledFrom(salts).Draw(t, "requested salt")
		requested := []Part{{Key{salt, "p"}, 800}, {Key{salt, "q"}, 400}}
		got := Plan(stores, requested, target, start)
		for i, address := range got.Fetch {
			for _, s := range stores {
				if s.Address == address && (s.asOf.IsZero() || s.held[requested[i].Key] < requested[i].Tokens) {
					t.Fatalf("part %v is fetched from %s", requested[i], address)
				}
			}
		}
	})
}

// TestEngineWaitsDoNotRaiseStoreSlowness: with many concurrent requests a prompt
// may wait at its engine, which says nothing about the store that its context came
// from. A slow store is slow for all transfers.
func TestEngineWaitsDoNotRaiseStoreSlowness(t *testing.T) {
	const expected = 20 * time.Millisecond
	s := NewHolderState("s:1", "a")
	now := time.Unix(1000, 0)
	for _, elapsed := range []time.Duration{expected, 50 * expected, 40 * expected, expected, 30 * expected, 50 * expected} {
		s.observeTransfer(elapsed, expected, now)
		require.InDelta(t, 1, s.slowness(now), 0.01)
	}
	for range slownessSamples {
		s.observeTransfer(4*expected, expected, now)
	}
	require.InDelta(t, 4, s.slowness(now), 0.01)
	require.InDelta(t, 2.5, s.slowness(now.Add(slownessHalfLife)), 0.01, "half decayed")
}

// TestShortPartIsNotFetchedOverSlowLink: when links turn slow, waiting for a short
// part makes its prompt late, although its prefill takes only a few milliseconds.
func TestShortPartIsNotFetchedOverSlowLink(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := func(tokens int, slowness float64) Transfers {
		s := NewHolderState("s:1", "a")
		s.configure(HolderSpec{Capacity: 1_000_000, Rate: 250, FirstDelay: 6 * time.Millisecond})
		s.ApplyChanges(&Changes{Epoch: 1, Next: 1, Changes: []Change{change("p", tokens)}}, now)
		s.measuredSlowness, s.measuredAt = slowness, now
		return Plan([]*HolderState{s}, partList(part("p", tokens)), Target{Address: "e:1", Zone: "a", MaxTransferWait: 160 * time.Millisecond, PrefillRate: 40}, now)
	}
	require.Equal(t, 300, plan(300, 1).FetchTokens)
	require.Equal(t, 300, plan(300, 8).DeclinedTokens)
	require.Equal(t, 4000, plan(4000, 3).FetchTokens, "a long part justifies the wait")
}

// TestShortSharedPromptIsNotTransferred: in a load with many short questions and few
// long prompts, the short parts would queue behind the long ones on every link.
func TestShortSharedPromptIsNotTransferred(t *testing.T) {
	require.False(t, ShouldTransfer(partList(part("first", 55), part("question", 246))))
	require.True(t, ShouldTransfer(partList(part("first", 341), part("quote", 1520))))
	require.False(t, ShouldTransfer(nil))
}

// A document may state any rate and delay: a very slow link must not look fast because its
// transfer time is beyond the range of a duration.
func TestExtremeLinksAreNotUsed(t *testing.T) {
	for name, edit := range map[string]func(s *HolderState){
		"rate near 0":     func(s *HolderState) { s.Rate = 5e-324 },
		"negative rate":   func(s *HolderState) { s.Rate = -1 },
		"very long delay": func(s *HolderState) { s.FirstDelay = 1e18 },
	} {
		extreme, ordinary := store("s:1", "b", 10_000), store("s:2", "b", 10_000)
		edit(extreme)
		addPart(extreme, "p", 1000)
		require.Empty(t, Plan([]*HolderState{extreme}, partList(part("p", 1000)), target, start).Fetch[0], name)
		addPart(ordinary, "p", 1000)
		for range 3 {
			extreme.observeTransfer(time.Hour, time.Second, start)
			plan := Plan([]*HolderState{extreme, ordinary}, partList(part("p", 1000)), target, start)
			require.Equal(t, "s:2", plan.Fetch[0], name)
		}
	}
}
