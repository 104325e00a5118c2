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

var discardLogger = slog.New(slog.DiscardHandler)

// TestPollsStayWithinHolderLimit: for any number of entry instances, no holder gets
// more concurrent polls than it answers, and every entry instance knows each
// holder.
func TestPollsStayWithinHolderLimit(t *testing.T) {
	var members []string
	for i := range 9 {
		members = append(members, fmt.Sprint("http://control-", i))
	}
	for entries := 1; entries <= 40; entries++ {
		h := Holder{HolderSpec: contexts.HolderSpec{Address: "10.0.0.1:1"}, MaxPolls: 12}
		polled, relayed := SplitByPolling([]Holder{h}, entries)
		require.Len(t, append(polled, relayed...), 1)
		entryPolls := len(polled) * entries
		relayPolls := 0
		for _, m := range members {
			relayPolls += len(assignedHolders([]Holder{h}, entries, m, members))
		}
		require.LessOrEqual(t, entryPolls+relayPolls, h.MaxPolls)
		if len(relayed) > 0 {
			require.Equal(t, relaysPerHolder, relayPolls)
		}
	}
	unbounded := Holder{}
	require.True(t, unbounded.PolledDirectly(1000))
}

func TestRelayLossReassignsOnlyItsHolders(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	for i := range 50 {
		address := fmt.Sprint("holder-", i)
		for _, m := range members[:4] {
			if isRelay(address, m, members) {
				require.True(t, isRelay(address, m, members[:4]))
			}
		}
	}
	require.True(t, isRelay("holder", "a", nil), "every instance relays while the members are unknown")
}

func TestListHoldersReturnsStoresAndReadyEngines(t *testing.T) {
	table := site.Compile(&site.Document{Services: []site.Service{
		{Name: "m", Engine: &site.Engine{TokenBytes: 1000, LinkMbps: 8000, MaxEventPolls: 12}},
		{Name: "store", Store: &site.Store{Address: "s:1", Zone: "z", LinkMbps: 8000, MaxEventPolls: 7}},
		{Name: "plain"},
	}})
	ready, draining := fleetv1.ServerState_SERVER_STATE_READY, fleetv1.ServerState_SERVER_STATE_DRAINING
	s := &fleetview.Snapshot{Servers: map[string]*fleetv1.Announcement{
		"older":    {Server: "older", Service: "m", Address: "e:1", BornUnixMs: 1, State: ready},
		"newer":    {Server: "newer", Service: "m", Address: "e:1", BornUnixMs: 2, State: ready, Zone: "z"},
		"draining": {Server: "draining", Service: "m", Address: "e:2", State: draining},
		"silent":   {Server: "silent", Service: "m", Address: "e:3", State: ready, Silent: true},
		"plain":    {Server: "plain", Service: "plain", Address: "p:1", State: ready},
	}}
	list := ListHolders(table, s)
	require.Len(t, list, 2)
	require.Equal(t, contexts.HolderSpec{Address: "s:1", Zone: "z", Rate: 1000}, list[0].HolderSpec)
	require.Equal(t, contexts.HolderSpec{Address: "e:1", Zone: "z", Rate: 1000, Engine: true, FirstDelay: engineFirstDelay}, list[1].HolderSpec)
	require.Equal(t, 12, list[1].MaxPolls)
}

// TestStateAgeIsNeverUnderestimated: the age of a response includes its worst-case
// transit time and any suspend of either process.
func TestStateAgeIsNeverUnderestimated(t *testing.T) {
	sent := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name               string
		took, held, oldest int
		wantAtMost         time.Duration
	}{
		{"immediate response", 2, 0, 1, ms(-1)},
		{"held open: the age counts from the end of the wait", 252, 250, 10, ms(240)},
		{"long transit", 400, 0, 10, ms(-10)},
		{"a suspend after it was held open", 3250, 250, 10, ms(240)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			validFrom := validAt(sent, sent.Add(ms(tt.took)), &fleetv1.FollowResponse{HeldMs: uint32(tt.held), OldestMs: uint32(tt.oldest)})
			require.Equal(t, sent.Add(tt.wantAtMost), validFrom)
		})
	}
}

// fakeStore is a store that answers polls immediately once it has changes.
type fakeStore struct {
	mu      sync.Mutex
	changes []contexts.Change
	polls   int
}

func (h *fakeStore) add(c contexts.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// Changes implements contexts.Feed.
func (h *fakeStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (*contexts.Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		h.mu.Lock()
		h.polls++
		c := &contexts.Changes{Epoch: 1, Next: uint64(len(h.changes)), Changes: h.changes[min(int(after), len(h.changes)):]}
		h.mu.Unlock()
		if len(c.Changes) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return c, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

// List implements contexts.Feed.
func (h *fakeStore) List(context.Context, string) (*contexts.Changes, error) { return nil, nil }

// TestRelayEndToEnd runs a relay and a follower over HTTP. A part that a store
// gains becomes fetchable at the entry instance soon, and unusable soon after the
// relay is gone.
func TestRelayEndToEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &fakeStore{}
	server := NewServer("http://control-1", store, nil, nil, nil, discardLogger)
	spec := contexts.HolderSpec{Address: "s:1", Zone: "z", Capacity: 100_000, Rate: 250}
	server.watcher.SetHolders(ctx, []contexts.HolderSpec{spec}, nil)
	control := httptest.NewServer(fleetv1.NewContextsServer(server))
	defer control.Close()

	watcher := contexts.NewWatcher(nil, discardLogger)
	watcher.SetHolders(ctx, nil, []contexts.HolderSpec{spec})
	follower := NewFollower(watcher, &http.Client{}, discardLogger)
	follower.SetSources(ctx, []string{control.URL})
	parts := []contexts.Part{{Key: contexts.Key{Salt: "w1", Part: "p"}, Tokens: 2000}}
	held := func() bool { tokens, _ := watcher.FetchableTokens(parts); return tokens == 2000 }
	require.False(t, held())
	store.add(contexts.Change{Key: parts[0].Key, Tokens: 2000})
	require.Eventually(t, held, 5*time.Second, 5*time.Millisecond)
	require.Never(t, func() bool { return !held() }, 2*contexts.MaxStateAge, 20*time.Millisecond, "it stays fetchable while nothing changes")

	control.CloseClientConnections()
	control.Close()
	require.Eventually(t, func() bool { return !held() }, 2*contexts.MaxStateAge, 20*time.Millisecond)
	follower.SetSources(ctx, nil)
}
