package contextrelay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/fleetview"
)

var quiet = slog.New(slog.DiscardHandler)

// TestQuestionsStayWithinAHoldersBound: whatever the number of entry instances,
// no holder is asked by more instances than it answers, and each is known to
// all of them.
func TestQuestionsStayWithinAHoldersBound(t *testing.T) {
	var members []string
	for i := range 9 {
		members = append(members, fmt.Sprint("http://control-", i))
	}
	for entries := 1; entries <= 40; entries++ {
		h := Holder{Place: contexts.Place{Address: "10.0.0.1:1"}, Watchers: 12}
		asked, told := Split([]Holder{h}, entries)
		require.Len(t, append(asked, told...), 1)
		asking := len(asked) * entries
		telling := 0
		for _, m := range members {
			telling += len(toTell([]Holder{h}, entries, m, members))
		}
		require.LessOrEqual(t, asking+telling, h.Watchers)
		if len(told) > 0 {
			require.Equal(t, tellers, telling)
		}
	}
	unbounded := Holder{}
	require.True(t, unbounded.Asked(1000))
}

func TestLossOfATellerMovesOnlyItsHolders(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	for i := range 50 {
		address := fmt.Sprint("holder-", i)
		for _, m := range members[:4] {
			if tells(address, m, members) {
				require.True(t, tells(address, m, members[:4]))
			}
		}
	}
	require.True(t, tells("holder", "a", nil), "before the members are known")
}

func TestHoldersAreStoresAndEnginesThatAreThere(t *testing.T) {
	table := site.Compile(&site.Document{Services: []site.Service{
		{Name: "m", Engine: &site.Engine{TokenBytes: 1000, LinkMbps: 8000, Watchers: 12}},
		{Name: "kept", Store: &site.Store{Address: "s:1", Zone: "z", LinkMbps: 8000, Watchers: 7}},
		{Name: "plain"},
	}})
	ready, draining := fleetv1.ServerState_SERVER_STATE_READY, fleetv1.ServerState_SERVER_STATE_DRAINING
	s := &fleetview.Snapshot{Servers: map[string]*fleetv1.Announcement{
		"old":    {Server: "old", Service: "m", Address: "e:1", BornUnixMs: 1, State: ready},
		"young":  {Server: "young", Service: "m", Address: "e:1", BornUnixMs: 2, State: ready, Zone: "z"},
		"leaves": {Server: "leaves", Service: "m", Address: "e:2", State: draining},
		"silent": {Server: "silent", Service: "m", Address: "e:3", State: ready, Silent: true},
		"order":  {Server: "order", Service: "plain", Address: "p:1", State: ready},
	}}
	list := Holders(table, s)
	require.Len(t, list, 2)
	require.Equal(t, contexts.Place{Address: "s:1", Zone: "z", Rate: 1000}, list[0].Place)
	require.Equal(t, contexts.Place{Address: "e:1", Zone: "z", Rate: 1000, Engine: true, FirstDelay: engineDelay}, list[1].Place)
	require.Equal(t, 12, list[1].Watchers)
}

// TestAnswerIsNeverYoungerThanItsTruth: an answer that was held, was long on its
// way, or met a process that stood still is as old as all of that may make it.
func TestAnswerIsNeverYoungerThanItsTruth(t *testing.T) {
	sent := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name               string
		took, held, oldest int
		wantAtMost         time.Duration
	}{
		{"at once", 2, 0, 1, ms(-1)},
		{"held: the age is of the end of that", 252, 250, 10, ms(240)},
		{"long on its way", 400, 0, 10, ms(-10)},
		{"a pause after it was held", 3250, 250, 10, ms(240)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := trueAt(sent, sent.Add(ms(tt.took)), &fleetv1.FollowResponse{HeldMs: uint32(tt.held), OldestMs: uint32(tt.oldest)})
			require.Equal(t, sent.Add(tt.wantAtMost), at)
		})
	}
}

// holder is a store that answers questions as they come.
type holder struct {
	mu      sync.Mutex
	changes []contexts.Change
	asked   int
}

func (h *holder) add(c contexts.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// Changes implements contexts.Feed.
func (h *holder) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (*contexts.Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		h.mu.Lock()
		h.asked++
		c := &contexts.Changes{Epoch: 1, Next: uint64(len(h.changes)), Changes: h.changes[min(int(after), len(h.changes)):]}
		h.mu.Unlock()
		if len(c.Changes) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return c, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// List implements contexts.Feed.
func (h *holder) List(context.Context, string) (*contexts.Changes, error) { return nil, nil }

// TestEntryInstancesLearnThroughControl runs a teller and a follower over HTTP:
// what a store gains is known at the entry instance soon, and no longer used
// soon after the teller is gone.
func TestEntryInstancesLearnThroughControl(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	kept := &holder{}
	server := NewServer("http://control-1", kept, nil, nil, nil, quiet)
	place := contexts.Place{Address: "s:1", Zone: "z", Capacity: 100_000, Rate: 250}
	server.watch.Set(ctx, []contexts.Place{place}, nil)
	control := httptest.NewServer(fleetv1.NewContextsServer(server))
	defer control.Close()

	watch := contexts.NewWatch(nil, quiet)
	watch.Set(ctx, nil, []contexts.Place{place})
	follower := NewFollower(watch, &http.Client{}, quiet)
	follower.Set(ctx, []string{control.URL})
	parts := []contexts.Part{{Key: contexts.Key{Salt: "w1", Part: "p"}, Tokens: 2000}}
	held := func() bool { tokens, _ := watch.Held(parts); return tokens == 2000 }
	require.False(t, held())
	kept.add(contexts.Change{Key: parts[0].Key, Tokens: 2000})
	require.Eventually(t, held, 5*time.Second, 5*time.Millisecond)
	require.Never(t, func() bool { return !held() }, 2*contexts.FreshFor, 20*time.Millisecond, "it stays known while nothing changes")

	control.CloseClientConnections()
	control.Close()
	require.Eventually(t, func() bool { return !held() }, 2*contexts.FreshFor, 20*time.Millisecond)
	follower.Set(ctx, nil)
}
