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

func store(address, zone string, capacity int) *Store {
	s := NewStore(address, zone)
	s.Capacity, s.Rate, s.FirstDelay = capacity, 250, time.Millisecond
	s.Take(&Changes{Epoch: 1, Next: 1}, start)
	return s
}

func holds(s *Store, part string, tokens int) {
	s.Take(&Changes{Epoch: 1, Next: s.next + 1, Changes: []Change{{Key: Key{"w1", part}, Tokens: tokens}}}, start)
}

func parts(list ...Part) []Part { return list }

func part(id string, tokens int) Part { return Part{Key: Key{"w1", id}, Tokens: tokens} }

var target = Target{Address: "e:1", Zone: "a", Allowed: 300 * time.Millisecond, ReadRate: 50}

func TestWhereAPartIsReadFromAndKept(t *testing.T) {
	tests := []struct {
		name        string
		stores      func() []*Store
		now         time.Time
		to          Target
		parts       []Part
		fetch, save []string
	}{
		{"held by none: saved where there is room", func() []*Store {
			return []*Store{store("s:1", "a", 900), store("s:2", "a", 20_000)}
		}, start, target, parts(part("p", 1000)), []string{""}, []string{"s:2"}},
		{"held: read, not saved again", func() []*Store {
			s := store("s:1", "a", 10_000)
			holds(s, "p", 1000)
			return []*Store{s}
		}, start, target, parts(part("p", 1000)), []string{"s:1"}, []string{""}},
		{"not whole: neither read nor written over", func() []*Store {
			s := store("s:1", "a", 10_000)
			holds(s, "p", 500)
			return []*Store{s}
		}, start, target, parts(part("p", 1000)), []string{""}, []string{""}},
		{"the nearer of two", func() []*Store {
			far, near := store("s:1", "b", 10_000), store("s:2", "a", 10_000)
			holds(far, "p", 1000)
			holds(near, "p", 1000)
			return []*Store{far, near}
		}, start, target, parts(part("p", 1000)), []string{"s:2"}, []string{""}},
		{"a store not heard of lately is not acted upon", func() []*Store {
			s := store("s:1", "a", 10_000)
			holds(s, "p", 1000)
			return []*Store{s}
		}, start.Add(FreshFor), target, parts(part("p", 1000)), []string{""}, []string{""}},
		{"nothing behind a part that is not to be had", func() []*Store {
			s := store("s:1", "a", 10_000)
			holds(s, "q", 1000)
			return []*Store{s}
		}, start, target, parts(part("p", 1000), part("q", 1000)), []string{"", ""}, []string{"s:1", ""}},
		{"from an engine, and saved since it may drop it", func() []*Store {
			e, s := store("e:2", "a", 0), store("s:1", "a", 10_000)
			e.Engine = true
			holds(e, "p", 1000)
			return []*Store{e, s}
		}, start, target, parts(part("p", 1000)), []string{"e:2"}, []string{"s:1"}},
		{"never from the server itself", func() []*Store {
			e := store("e:1", "a", 0)
			e.Engine = true
			holds(e, "p", 1000)
			return []*Store{e}
		}, start, target, parts(part("p", 1000)), []string{""}, []string{""}},
		{"no room", func() []*Store { return []*Store{store("s:1", "a", 900)} }, start, target, parts(part("p", 1000)), []string{""}, []string{""}},
		{"read again where transfers wait longer than a prompt may", func() []*Store {
			s := store("s:1", "a", 10_000)
			holds(s, "p", 1000)
			return []*Store{s}
		}, start, Target{Address: "e:1", Zone: "a", Bringing: time.Second, Allowed: 300 * time.Millisecond, ReadRate: 50}, parts(part("p", 1000)), []string{""}, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Plan(tt.stores(), tt.parts, tt.to, tt.now)
			require.Equal(t, tt.fetch, got.Fetch)
			require.Equal(t, tt.save, got.Save)
		})
	}
}

// TestInstancesKeepAPartInTheSameStore: instances that read a part at the same
// time, before either has heard of the other's save, order it kept in one place,
// and stores fill alike.
func TestInstancesKeepAPartInTheSameStore(t *testing.T) {
	instance := func() []*Store {
		return []*Store{store("s:1", "a", 1_000_000), store("s:2", "b", 3_000_000), store("s:3", "a", 2_000_000)}
	}
	one, other := instance(), instance()
	counts := make(map[string]float64)
	for n := range 600 {
		p := parts(part(fmt.Sprint("p", n), 1000))
		to := target
		saved := Plan(one, p, to, start).Save[0]
		to.Zone = "b"
		require.Equal(t, saved, Plan(other, p, to, start).Save[0])
		counts[saved]++
	}
	require.InDelta(t, 100, counts["s:1"], 40)
	require.InDelta(t, 300, counts["s:2"], 60)
	require.InDelta(t, 200, counts["s:3"], 60)
}

func TestSaveUnderWayIsNotRepeatedAndKeepsItsRoom(t *testing.T) {
	s := store("s:1", "a", 2000)
	require.Equal(t, "s:1", Plan([]*Store{s}, parts(part("p", 1200)), target, start).Save[0])
	require.Empty(t, Plan([]*Store{s}, parts(part("p", 1200)), target, start).Save[0])
	require.Empty(t, Plan([]*Store{s}, parts(part("q", 1200)), target, start).Save[0])
	later := start.Add(saveFor + time.Second)
	s.Take(&Changes{Epoch: 1, Next: 9}, later)
	require.Equal(t, "s:1", Plan([]*Store{s}, parts(part("q", 1200)), target, later).Save[0], "a lost save is given up")
}

func TestRestartedStoreIsEmptyAndNotWrittenToAtOnce(t *testing.T) {
	s := store("s:1", "a", 10_000)
	holds(s, "p", 1000)
	now := start.Add(time.Second)
	require.True(t, s.Take(&Changes{Epoch: 2, Next: 1}, now))
	require.Equal(t, uint64(0), s.Cursor(), "changes are asked for from the beginning of the new life")
	s.Take(&Changes{Epoch: 2, Next: 1}, now)
	require.False(t, s.Holds(Key{"w1", "p"}, 1000, now))
	require.Empty(t, Plan([]*Store{s}, parts(part("p", 1000)), target, now).Save[0], "others may still believe that it holds the part")
	now = now.Add(settleFor + time.Second)
	s.Take(&Changes{Epoch: 2, Next: 1}, now)
	require.Equal(t, "s:1", Plan([]*Store{s}, parts(part("p", 1000)), target, now).Save[0])
}

func TestGapIsRepairedByAListing(t *testing.T) {
	s := store("s:1", "a", 10_000)
	holds(s, "p", 1000)
	require.False(t, s.Take(&Changes{Epoch: 1, Next: 9, Gap: true}, start))
	require.False(t, s.Holds(Key{"w1", "p"}, 1000, start))
	s.Replace(&Changes{Epoch: 1, Next: 9, Changes: []Change{{Key{"w1", "q"}, 500}}}, start)
	require.True(t, s.Holds(Key{"w1", "q"}, 500, start))
	require.Equal(t, 500, s.used)
}

// feed answers with a gap and counts listings.
type feed struct{ lists map[string]int }

func (f *feed) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (*Changes, error) {
	return &Changes{Epoch: 1, Next: 5, Gap: after == 0}, nil
}

func (f *feed) List(_ context.Context, address string) (*Changes, error) {
	f.lists[address]++
	return &Changes{Epoch: 1, Next: 5, Changes: []Change{{Key{"w1", "p"}, 500}}}, nil
}

func TestEnginesAreNeverListed(t *testing.T) {
	f := &feed{lists: make(map[string]int)}
	w := NewWatch(f, slog.New(slog.DiscardHandler))
	engine, kept := NewStore("e:1", "a"), NewStore("s:1", "a")
	engine.Engine = true
	w.stores = map[string]*watched{"e:1": {Store: engine}, "s:1": {Store: kept}}
	for _, s := range []*Store{engine, kept} {
		require.NoError(t, w.ask(context.Background(), s))
	}
	require.Equal(t, map[string]int{"s:1": 1}, f.lists)
	tokens, known := w.Cached("e:1", parts(part("p", 500)))
	require.True(t, known)
	require.Zero(t, tokens, "what was before the gap is not counted on")
	require.True(t, kept.Holds(Key{"w1", "p"}, 500, w.Now()))
	require.Equal(t, uint64(5), engine.Cursor())
}

func TestSlowStoreIsSparedAndTriedAgain(t *testing.T) {
	s := store("s:1", "a", 10_000)
	holds(s, "p", 5000)
	for range 12 {
		tr := Plan([]*Store{s}, parts(part("p", 5000)), target, start)
		tr.end(900*time.Millisecond, start)
	}
	require.Empty(t, Plan([]*Store{s}, parts(part("p", 5000)), target, start).Fetch[0])
	later := start.Add(10 * time.Second)
	s.Take(&Changes{Epoch: 1, Next: 9}, later)
	require.Equal(t, "s:1", Plan([]*Store{s}, parts(part("p", 5000)), target, later).Fetch[0])
	require.Equal(t, s.nominal(5000, target.Zone), s.linkFree.Sub(later), "ended transfers are not counted")
}

func TestSaltNamesVersionAndIsolatedAccount(t *testing.T) {
	require.Equal(t, "w3", Salt(3, ""))
	require.NotEqual(t, Salt(3, "a"), Salt(3, "b"))
	for _, salt := range []string{Salt(3, ""), Salt(3, "a-b")} {
		v, ok := SaltVersion(salt)
		require.True(t, ok)
		require.Equal(t, uint64(3), v)
	}
	_, ok := SaltVersion("of another system")
	require.False(t, ok)
}

// TestNoOtherVersionsOrAccountsPartIsRead checks over random pictures that what
// is read was whole under the very salt of the request, at a store heard lately.
func TestNoOtherVersionsOrAccountsPartIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		salts := []string{Salt(1, ""), Salt(2, ""), Salt(2, "a"), Salt(2, "b")}
		var stores []*Store
		for i := range 3 {
			s := store(string(rune('a'+i))+":1", "a", 100_000)
			for range rapid.IntRange(0, 6).Draw(t, "parts") {
				k := Key{rapid.SampledFrom(salts).Draw(t, "salt"), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part")}
				s.Take(&Changes{Epoch: 1, Next: 2, Changes: []Change{{k, rapid.SampledFrom([]int{0, 400, 800}).Draw(t, "tokens")}}}, start)
			}
			if rapid.Bool().Draw(t, "lost") {
				s.Lose()
			}
			stores = append(stores, s)
		}
		salt := rapid.SampledFrom(salts).Draw(t, "asked")
		asked := []Part{{Key{salt, "p"}, 800}, {Key{salt, "q"}, 400}}
		got := Plan(stores, asked, target, start)
		for i, address := range got.Fetch {
			for _, s := range stores {
				if s.Address == address && (s.heard.IsZero() || s.held[asked[i].Key] < asked[i].Tokens) {
					t.Fatalf("part %v is read from %s", asked[i], address)
				}
			}
		}
	})
}

// TestBusyEnginesDoNotMakeAStoreSlow: load pattern, many callers at once. An answer
// that waited at its engine says nothing of the store that its context came from;
// a store that is slow is slow for all.
func TestBusyEnginesDoNotMakeAStoreSlow(t *testing.T) {
	const expected = 20 * time.Millisecond
	s := NewStore("s:1", "a")
	now := time.Unix(1000, 0)
	for _, took := range []time.Duration{expected, 50 * expected, 40 * expected, expected, 30 * expected, 50 * expected} {
		s.learn(took, expected, now)
		require.InDelta(t, 1, s.slowness(now), 0.01)
	}
	for range slowSamples {
		s.learn(4*expected, expected, now)
	}
	require.InDelta(t, 4, s.slowness(now), 0.01)
	require.InDelta(t, 2.5, s.slowness(now.Add(forgetAfter)), 0.01, "half forgotten")
}

// TestShortPartIsNotBroughtForMoreThanItSaves: load pattern, links turn slow. A
// short part that waits for a slow link makes its prompt late, and its reading
// would have taken a few milliseconds.
func TestShortPartIsNotBroughtForMoreThanItSaves(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := func(tokens int, slow float64) Transfers {
		s := NewStore("s:1", "a")
		s.describe(Place{Capacity: 1_000_000, Rate: 250, FirstDelay: 6 * time.Millisecond})
		s.Take(&Changes{Epoch: 1, Next: 1, Changes: []Change{change("p", tokens)}}, now)
		s.slow, s.slowAt = slow, now
		return Plan([]*Store{s}, parts(part("p", tokens)), Target{Address: "e:1", Zone: "a", Allowed: 160 * time.Millisecond, ReadRate: 40}, now)
	}
	require.Equal(t, 300, plan(300, 1).FetchTokens)
	require.Equal(t, 300, plan(300, 8).Dismissed)
	require.Equal(t, 4000, plan(4000, 3).FetchTokens, "a long one is worth a wait")
}

// TestShortPromptsAreReadWhereTheyAre: load pattern, many short questions beside
// few long prompts, whose parts are before theirs on every link.
func TestShortPromptsAreReadWhereTheyAre(t *testing.T) {
	require.False(t, WorthBringing(parts(part("first", 55), part("question", 246))))
	require.True(t, WorthBringing(parts(part("first", 341), part("quote", 1520))))
	require.False(t, WorthBringing(nil))
}
