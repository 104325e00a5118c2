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

var discardLogger = slog.New(slog.DiscardHandler)

// newRelay returns a relaying watcher that tracks the given holders without polling
// them.
func newRelay(addresses ...string) *Watcher {
	w := NewRelayWatcher(nil, discardLogger)
	for _, a := range addresses {
		s := NewHolderState(a, "a")
		s.journal = w.journal
		w.polled[a] = &polledHolder{HolderState: s, cancel: func() {}}
	}
	return w
}

// report applies a holder's report to a relay.
func (w *Watcher) report(address string, epoch, next uint64, changes ...Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polled[address].ApplyChanges(&Changes{Epoch: epoch, Next: next, Changes: changes}, w.Now())
}

func change(part string, tokens int) Change { return Change{Key{"w1", part}, tokens} }

// newSubscriber returns a watcher that uses the relayed state of the given holders.
func newSubscriber(addresses ...string) *Watcher {
	w := NewWatcher(nil, discardLogger)
	var specs []HolderSpec
	for _, a := range addresses {
		specs = append(specs, HolderSpec{Address: a, Zone: "a", Capacity: 100_000, Rate: 250})
	}
	w.SetHolders(context.Background(), nil, specs)
	return w
}

// TestShortFirstPartOfStoreIsRelayed: prompts begin with a short common part.
// Unless it is relayed, nothing behind it can be fetched, and no instance saves it
// (load with many entry instances in front of many engines).
func TestShortFirstPartOfStoreIsRelayed(t *testing.T) {
	relay, subscriber := newRelay("s:1"), newSubscriber("s:1")
	relay.report("s:1", 1, 1, change("first", minSavedTokens), change("long", 2000))
	update, _ := relay.UpdatesSince(0)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	tokens, _ := subscriber.FetchableTokens(partList(part("first", minSavedTokens), part("long", 2000)))
	require.Equal(t, minSavedTokens+2000, tokens)

	relay.report("s:1", 1, 2, change("first", 0))
	update, _ = relay.UpdatesSince(update.Cursor)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	tokens, _ = subscriber.FetchableTokens(partList(part("first", minSavedTokens), part("long", 2000)))
	require.Zero(t, tokens, "its loss is relayed too")

	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	s := subscriber.relayed["s:1"].current
	s.restartedAt = time.Time{}
	require.Same(t, s, saveTarget([]*HolderState{s}, part("other", minSavedTokens), subscriber.Now()), "short parts are saved")
}

func TestSubscriberReceivesRelayedChanges(t *testing.T) {
	relay, subscriber := newRelay("s:1"), newSubscriber("s:1")
	relay.polled["s:1"].Engine = true
	relay.report("s:1", 1, 1, change("p", 2000), change("short", MinRelayedTokens-1))
	update, _ := relay.UpdatesSince(0)
	require.True(t, update.Full)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	tokens, _ := subscriber.FetchableTokens(partList(part("p", 2000)))
	require.Equal(t, 2000, tokens)
	_, known := subscriber.CachedTokens("s:1", partList(part("short", MinRelayedTokens-1)))
	require.False(t, known, "an engine's short parts are not relayed")

	relay.report("s:1", 1, 2, change("p", 0), change("q", 3000))
	update, _ = relay.UpdatesSince(update.Cursor)
	require.False(t, update.Full)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	tokens, known = subscriber.CachedTokens("s:1", partList(part("p", 2000)))
	require.True(t, known)
	require.Zero(t, tokens)
	tokens, _ = subscriber.FetchableTokens(partList(part("q", 3000)))
	require.Equal(t, 3000, tokens)
}

func TestStaleRelayedStateIsNotUsed(t *testing.T) {
	relay, subscriber := newRelay("s:1"), newSubscriber("s:1")
	relay.report("s:1", 1, 1, change("p", 2000))
	update, _ := relay.UpdatesSince(0)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now().Add(-MaxStateAge))
	tokens, _ := subscriber.FetchableTokens(partList(part("p", 2000)))
	require.Zero(t, tokens)

	relay.mu.Lock()
	relay.polled["s:1"].asOf = relay.Now().Add(-2 * maxRelayAge)
	relay.mu.Unlock()
	update, _ = relay.UpdatesSince(update.Cursor)
	require.Equal(t, []string{"s:1"}, update.Stale)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	tokens, _ = subscriber.FetchableTokens(partList(part("p", 2000)))
	require.Zero(t, tokens, "the relay is reachable, the holder's state is stale")
}

// TestStaleRelayIsReplacedByAnother: two instances relay each holder, so that saved
// parts can still be fetched after one of the two is lost.
func TestStaleRelayIsReplacedByAnother(t *testing.T) {
	subscriber := newSubscriber("s:1")
	for _, source := range []string{"control-1", "control-2"} {
		relay := newRelay("s:1")
		relay.report("s:1", 1, 1, change("p", 2000))
		update, _ := relay.UpdatesSince(0)
		subscriber.ApplyUpdate(source, update, subscriber.Now())
	}
	subscriber.mu.Lock()
	subscriber.views["control-1"]["s:1"].asOf = time.Time{}
	subscriber.refreshCandidates(subscriber.Now())
	subscriber.mu.Unlock()
	tokens, _ := subscriber.FetchableTokens(partList(part("p", 2000)))
	require.Equal(t, 2000, tokens)
	subscriber.RemoveSource("control-2")
	tokens, _ = subscriber.FetchableTokens(partList(part("p", 2000)))
	require.Zero(t, tokens)
}

// TestNewlyRelayedHolderIsNotWrittenImmediately: the holder may just have lost
// parts that other instances still assume it holds.
func TestNewlyRelayedHolderIsNotWrittenImmediately(t *testing.T) {
	relay, subscriber := newRelay("s:1"), newSubscriber("s:1")
	relay.report("s:1", 1, 1)
	update, _ := relay.UpdatesSince(0)
	subscriber.ApplyUpdate("control-1", update, subscriber.Now())
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	s, now := subscriber.relayed["s:1"].current, subscriber.Now()
	require.False(t, s.writable(now))
	now = now.Add(restartWriteDelay + time.Millisecond)
	s.asOf = now
	require.True(t, s.writable(now))
}

// TestSubscriberStateMatchesRelay: whatever happens at the holders, and however
// late a subscriber polls, its state equals the relay's in all relayed parts.
func TestSubscriberStateMatchesRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addresses := []string{"s:1", "s:2"}
		relay, subscriber := newRelay(addresses...), newSubscriber(addresses...)
		cursor, next, epoch := uint64(0), uint64(0), uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				epoch++
			case 1:
				relay.mu.Lock()
				relay.polled[address].Invalidate()
				relay.mu.Unlock()
			case 2:
				relay.mu.Lock()
				relay.journal.records = nil // the subscriber fell behind
				relay.mu.Unlock()
			case 3, 4:
				update, _ := relay.UpdatesSince(cursor)
				cursor = update.Cursor
				subscriber.ApplyUpdate("control-1", update, subscriber.Now())
				requireSameState(t, relay, subscriber, addresses)
			default:
				next++
				relay.report(address, epoch, next, change(fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "part")), rapid.SampledFrom([]int{0, 500, 2000, 4000}).Draw(t, "tokens")))
			}
		}
		update, _ := relay.UpdatesSince(cursor)
		subscriber.ApplyUpdate("control-1", update, subscriber.Now())
		requireSameState(t, relay, subscriber, addresses)
	})
}

func requireSameState(t *rapid.T, relay, subscriber *Watcher, addresses []string) {
	for _, address := range addresses {
		relayed := make(map[Key]int)
		for k, tokens := range relay.polled[address].held {
			if relay.polled[address].isRelayed(tokens) {
				relayed[k] = tokens
			}
		}
		received := make(map[Key]int)
		if s := subscriber.views["control-1"][address]; s != nil {
			for k, tokens := range s.held {
				received[k] = tokens
			}
		}
		if fmt.Sprint(relayed) != fmt.Sprint(received) {
			t.Fatalf("%s: relay holds %v, subscriber has %v", address, relayed, received)
		}
	}
}
