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

var quiet = slog.New(slog.DiscardHandler)

// teller returns a watch that tells of the given holders, without asking them.
func teller(addresses ...string) *Watch {
	w := NewTeller(nil, quiet)
	for _, a := range addresses {
		s := NewStore(a, "a")
		s.journal = w.journal
		w.stores[a] = &watched{Store: s, cancel: func() {}}
	}
	return w
}

// hear gives a teller a holder's word.
func (w *Watch) hear(address string, epoch, next uint64, changes ...Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stores[address].Take(&Changes{Epoch: epoch, Next: next, Changes: changes}, w.Now())
}

func change(part string, tokens int) Change { return Change{Key{"w1", part}, tokens} }

func listener(addresses ...string) *Watch {
	w := NewWatch(nil, quiet)
	var places []Place
	for _, a := range addresses {
		places = append(places, Place{Address: a, Zone: "a", Capacity: 100_000, Rate: 250})
	}
	w.Set(context.Background(), nil, places)
	return w
}

// TestShortFirstPartOfAStoreIsTold: prompts begin with a short part in common;
// unless that is told of, nothing behind it can be brought, and nobody keeps it
// (load pattern: many entry instances before many engines).
func TestShortFirstPartOfAStoreIsTold(t *testing.T) {
	from, to := teller("s:1"), listener("s:1")
	from.hear("s:1", 1, 1, change("first", leastKept), change("long", 2000))
	a, _ := from.Tell(0)
	to.Take("control-1", a, to.Now())
	tokens, _ := to.Held(parts(part("first", leastKept), part("long", 2000)))
	require.Equal(t, leastKept+2000, tokens)

	from.hear("s:1", 1, 2, change("first", 0))
	a, _ = from.Tell(a.Cursor)
	to.Take("control-1", a, to.Now())
	tokens, _ = to.Held(parts(part("first", leastKept), part("long", 2000)))
	require.Zero(t, tokens, "its loss is told too")

	to.mu.Lock()
	defer to.mu.Unlock()
	s := to.told["s:1"].current
	s.began = time.Time{}
	require.Same(t, s, keeperOf([]*Store{s}, part("other", leastKept), to.Now()), "short parts are kept")
}

func TestListenerLearnsWhatATellerHears(t *testing.T) {
	from, to := teller("s:1"), listener("s:1")
	from.stores["s:1"].Engine = true
	from.hear("s:1", 1, 1, change("p", 2000), change("short", LeastTold-1))
	a, _ := from.Tell(0)
	require.True(t, a.Whole)
	to.Take("control-1", a, to.Now())
	tokens, _ := to.Held(parts(part("p", 2000)))
	require.Equal(t, 2000, tokens)
	_, known := to.Cached("s:1", parts(part("short", LeastTold-1)))
	require.False(t, known, "nothing is told of an engine's short parts")

	from.hear("s:1", 1, 2, change("p", 0), change("q", 3000))
	a, _ = from.Tell(a.Cursor)
	require.False(t, a.Whole)
	to.Take("control-1", a, to.Now())
	tokens, known = to.Cached("s:1", parts(part("p", 2000)))
	require.True(t, known)
	require.Zero(t, tokens)
	tokens, _ = to.Held(parts(part("q", 3000)))
	require.Equal(t, 3000, tokens)
}

func TestWhatWasHeardTooLongAgoIsNotUsed(t *testing.T) {
	from, to := teller("s:1"), listener("s:1")
	from.hear("s:1", 1, 1, change("p", 2000))
	a, _ := from.Tell(0)
	to.Take("control-1", a, to.Now().Add(-FreshFor))
	tokens, _ := to.Held(parts(part("p", 2000)))
	require.Zero(t, tokens)

	from.mu.Lock()
	from.stores["s:1"].heard = from.Now().Add(-2 * toldFresh)
	from.mu.Unlock()
	a, _ = from.Tell(a.Cursor)
	require.Equal(t, []string{"s:1"}, a.Silent)
	to.Take("control-1", a, to.Now())
	tokens, _ = to.Held(parts(part("p", 2000)))
	require.Zero(t, tokens, "the teller is heard, the holder is not")
}

// TestSilentTellerIsReplaced: two instances tell of each holder, so that the
// loss of one leaves what is kept within reach.
func TestSilentTellerIsReplaced(t *testing.T) {
	to := listener("s:1")
	for _, source := range []string{"control-1", "control-2"} {
		from := teller("s:1")
		from.hear("s:1", 1, 1, change("p", 2000))
		a, _ := from.Tell(0)
		to.Take(source, a, to.Now())
	}
	to.mu.Lock()
	to.pictures["control-1"]["s:1"].heard = time.Time{}
	to.arrange(to.Now())
	to.mu.Unlock()
	tokens, _ := to.Held(parts(part("p", 2000)))
	require.Equal(t, 2000, tokens)
	to.Forget("control-2")
	tokens, _ = to.Held(parts(part("p", 2000)))
	require.Zero(t, tokens)
}

// TestHolderLearntOfAnewIsNotWrittenToAtOnce: it may just have lost what others
// still believe that it holds.
func TestHolderLearntOfAnewIsNotWrittenToAtOnce(t *testing.T) {
	from, to := teller("s:1"), listener("s:1")
	from.hear("s:1", 1, 1)
	a, _ := from.Tell(0)
	to.Take("control-1", a, to.Now())
	to.mu.Lock()
	defer to.mu.Unlock()
	s, now := to.told["s:1"].current, to.Now()
	require.False(t, s.writable(now))
	now = now.Add(settleFor + time.Millisecond)
	s.heard = now
	require.True(t, s.writable(now))
}

// TestListenersPictureIsTheTellers: whatever happens at the holders, and however
// late a listener asks, its picture is the teller's in all that is told.
func TestListenersPictureIsTheTellers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := []string{"s:1", "s:2"}
		from, to := teller(addresses...), listener(addresses...)
		cursor, next, epoch := uint64(0), uint64(0), uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				epoch++
			case 1:
				from.mu.Lock()
				from.stores[address].Lose()
				from.mu.Unlock()
			case 2:
				from.mu.Lock()
				from.journal.records = nil // the listener fell behind
				from.mu.Unlock()
			case 3, 4:
				a, _ := from.Tell(cursor)
				cursor = a.Cursor
				to.Take("control-1", a, to.Now())
				same(t, from, to, addresses)
			default:
				next++
				from.hear(address, epoch, next, change(fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "part")), rapid.SampledFrom([]int{0, 500, 2000, 4000}).Draw(t, "tokens")))
			}
		}
		a, _ := from.Tell(cursor)
		to.Take("control-1", a, to.Now())
		same(t, from, to, addresses)
	})
}

func same(t *rapid.T, from, to *Watch, addresses []string) {
	for _, address := range addresses {
		told := make(map[Key]int)
		for k, tokens := range from.stores[address].held {
			if from.stores[address].tells(tokens) {
				told[k] = tokens
			}
		}
		learnt := make(map[Key]int)
		if s := to.pictures["control-1"][address]; s != nil {
			for k, tokens := range s.held {
				learnt[k] = tokens
			}
		}
		if fmt.Sprint(told) != fmt.Sprint(learnt) {
			t.Fatalf("%s holds %v, the listener believes %v", address, told, learnt)
		}
	}
}
