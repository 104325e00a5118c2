package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
)

// startKeeper makes an instance the keeper of all accounts of h and returns its gateway.
func startKeeper(t testing.TB, h *testGateway, handler func(next http.Handler) http.Handler) *testGateway {
	t.Helper()
	keeper := newCellGateway(t, 2, 1)
	keeper.peers.serveBooking = keeper.bookings.serve
	server := httptest.NewServer(handler(fleetv1.NewEntriesServer(keeper.peers)))
	t.Cleanup(server.Close)
	h.peers.client = server.Client()
	for _, b := range h.routing.services["llm"] {
		b.keeper.Store(&fleetv1.EntryInstance{Name: "keeper", PeerUrl: server.URL})
	}
	return keeper
}

func passThrough(next http.Handler) http.Handler { return next }

// Two instances that know nothing of each other's prompts send them to different servers although
// both prompts have the same home.
func TestBookedPromptsOfTwoInstancesGoToDifferentServers(t *testing.T) {
	first, second := newCellGateway(t, 20, 5), newCellGateway(t, 20, 5)
	keeper := startKeeper(t, first, passThrough)
	second.peers.client = first.peers.client
	for i, b := range second.routing.services["llm"] {
		b.keeper.Store(first.routing.services["llm"][i].keeper.Load())
	}
	longOwnPart := func(h *testGateway) *call {
		c := h.sharedCall("part")
		c.prompt.Parts = []Part{{ID: "part", Tokens: 1000}, {ID: "own", Tokens: 16_060}}
		return c
	}
	require.Equal(t, first.homes(longOwnPart(first))[0].server, second.homes(longOwnPart(second))[0].server)
	a := first.place(t.Context(), longOwnPart(first))
	b := second.place(t.Context(), longOwnPart(second))
	require.NotNil(t, a.backend)
	require.NotNil(t, b.backend)
	require.NotEqual(t, a.backend.server, b.backend.server)
	ahead, _ := keeper.bookings.decide(a.backend.server, dispatch.Booking{})
	require.Positive(t, ahead)
	// The refused server got nothing of the second instance.
	require.Zero(t, second.routing.backends[a.backend.server].tracker.OwnLoad())
}

// A keeper that does not answer delays one prompt by the timeout of a booking, and is then not
// asked for a while; prompts are placed as without it.
func TestSilentKeeperDelaysOnePrompt(t *testing.T) {
	h := newCellGateway(t, 20, 5)
	var asked atomic.Int32
	hang := make(chan struct{})
	startKeeper(t, h, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1); <-hang })
	})
	defer close(hang)
	for n := range 4 {
		startedAt := time.Now()
		require.NotNil(t, h.place(t.Context(), h.sharedCall(fmt.Sprint("part-", n))).backend)
		if n > 0 {
			require.Less(t, time.Since(startedAt), bookingTimeout)
		}
	}
	require.EqualValues(t, 1, asked.Load())
}

// A client that leaves during a booking says nothing of the keeper.
func TestClientThatLeavesDoesNotSilenceTheKeeper(t *testing.T) {
	h := newCellGateway(t, 20, 5)
	ctx, cancel := context.WithCancel(t.Context())
	startKeeper(t, h, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { cancel() })
	})
	h.place(ctx, h.sharedCall("part"))
	require.Empty(t, h.bookings.silentUntil)
}

// An instance of the build before does not know bookings: its answer counts as none.
func TestKeeperOfTheBuildBeforeIsNoKeeper(t *testing.T) {
	h := newCellGateway(t, 20, 5)
	startKeeper(t, h, func(http.Handler) http.Handler { return http.NotFoundHandler() })
	require.NotNil(t, h.place(t.Context(), h.sharedCall("part")).backend)
	require.Len(t, h.bookings.silentUntil, 1)
	require.NotContains(t, h.peers.backoffUntil, "keeper", "it still hears of load")
}

// Permits are not returned, so prompts to servers that take permits are not booked; those to a
// server that states no limit any more are.
func TestPromptsToServersWithPermitsAreNotBooked(t *testing.T) {
	h := newCellGateway(t, 20, 5)
	keeper := startKeeper(t, h, passThrough)
	for _, limited := range []bool{true, false} {
		c := h.sharedCall("part")
		b := h.place(t.Context(), c).backend
		h.undoPlacement(c, b)
		l := h.limits.getOrAdd(b.incarnation, time.Now())
		l.stated.Limited, l.stated.PerSecond = limited, 100
		b.rateLimit.Store(l)
		before, _ := keeper.bookings.decide(b.server, dispatch.Booking{})
		require.True(t, h.bookings.confirm(t.Context(), c, b, dispatch.MaxBookingRefusals))
		after, _ := keeper.bookings.decide(b.server, dispatch.Booking{})
		require.Equal(t, limited, after <= before)
	}
}

func TestShortPromptsAndFleetsWithoutCellsBookNothing(t *testing.T) {
	h := newTestGateway(t, 20)
	startKeeper(t, h, passThrough)
	require.True(t, h.bookings.confirm(t.Context(), h.sharedCall("part"), h.routing.services["llm"][0], 0))
	h = newCellGateway(t, 20, 5)
	keeper := startKeeper(t, h, passThrough)
	c := h.call(383)
	require.NotNil(t, h.place(context.Background(), c).backend)
	require.Empty(t, keeper.bookings.silentUntil)
	for _, b := range h.routing.services["llm"] {
		ahead, _ := keeper.bookings.decide(b.server, dispatch.Booking{})
		require.Zero(t, ahead)
	}
}

// All instances agree on the keeper of an account, in the server's failure domain if there are
// instances, and the accounts of a lost one go to several others.
func TestKeepersAreAgreedOn(t *testing.T) {
	h := newCellGateway(t, 60, 5)
	list := h.routing.services["llm"]
	for n, b := range list {
		b.zone = fmt.Sprint("zone-", n%3)
	}
	s := &fleetview.Snapshot{Entries: make(map[string]*fleetv1.EntryInstance)}
	for n := range 10 {
		name := fmt.Sprint("e-", n)
		s.Entries[name] = &fleetv1.EntryInstance{Name: name, Zone: fmt.Sprint("zone-", n%2), PeerUrl: "http://" + name}
	}
	chooseKeepers(list, s)
	before := make(map[string]string)
	for _, b := range list {
		before[b.server] = b.keeper.Load().Name
		if b.zone != "zone-2" {
			require.Equal(t, b.zone, b.keeper.Load().Zone)
		}
	}
	delete(s.Entries, "e-0")
	chooseKeepers(list, s)
	heirs := make(map[string]bool)
	for _, b := range list {
		if before[b.server] != "e-0" {
			require.Equal(t, before[b.server], b.keeper.Load().Name)
			continue
		}
		heirs[b.keeper.Load().Name] = true
	}
	require.Greater(t, len(heirs), 1)
	chooseKeepers(list, &fleetview.Snapshot{})
	require.Nil(t, list[0].keeper.Load())
}

// BenchmarkBooking measures a booking with another instance, both sides together.
func BenchmarkBooking(b *testing.B) {
	h := newCellGateway(b, 20, 5)
	startKeeper(b, h, passThrough)
	keeper := h.routing.services["llm"][0].keeper.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, known := h.bookings.book(b.Context(), keeper, "server", dispatch.Booking{Limit: time.Hour}); !known {
			b.Fatal("no answer")
		}
	}
}
