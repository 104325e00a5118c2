package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
)

// newCallGateway returns a gateway before one server with two slots for calls without a prompt, and a
// function that makes a call.
func newCallGateway(t *testing.T, disabled string) (*testGateway, *backend, func() *call) {
	t.Helper()
	h := newTestGateway(t, 0)
	policy, err := dispatch.Without(disabled)
	require.NoError(t, err)
	h.Gateway.policy, h.terms = policy, Terms{CallersCompete: true}
	h.service = &site.Service{Name: "desk"}
	b := newBackend(&fleetv1.Announcement{Server: "s", Zone: "zone-a", Slots: 2}, h.service, h.states.get("desk"), 0, time.Now())
	b.state.firstServerAt = time.Now().Add(-time.Minute)
	h.routing.backends["s"], h.routing.services["desk"] = b, []*backend{b}
	return h, b, func() *call {
		c := h.call(1)
		c.prompt, c.service, c.state = nil, h.service, h.states.get("desk")
		c.route = &site.Route{Name: "booking", Kind: site.KindAtMostOnce, TargetLatency: 200 * time.Millisecond, Timeout: 1500 * time.Millisecond}
		c.deadline = c.startedAt.Add(c.route.Timeout)
		return c
	}
}

// fill makes the server as full as calls of an objective of 200 ms may make it: 2 run, each for 50 ms, and
// 4 wait for up to 100 ms.
func fill(t *testing.T, h *testGateway, b *backend, newCall func() *call) {
	t.Helper()
	b.tracker.Succeeded(50*time.Millisecond, time.Now())
	for range 6 {
		result, w, _ := h.placeOrEnqueue(newCall())
		require.Nil(t, w)
		require.NotNil(t, result.backend)
	}
}

func TestCallWaitsForRoomAndGetsIt(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	fill(t, h, b, newCall)
	waiting := newCall()
	_, w, results := h.placeOrEnqueue(waiting)
	require.NotNil(t, w, "the server is full")
	urgent := newCall()
	urgent.startedAt = urgent.startedAt.Add(-50 * time.Millisecond)
	_, _, urgentResults := h.placeOrEnqueue(urgent)
	b.state.mu.Lock()
	b.tracker.ReleasedAt(dispatch.Work{}, 50*time.Millisecond, time.Now())
	h.capacityFreed(b)
	b.state.mu.Unlock()
	require.Equal(t, b, (<-urgentResults).backend, "the one with less time goes first")
	require.Empty(t, results)
}

func TestCallsAreSentToFullServersWithoutTheMechanism(t *testing.T) {
	h, _, newCall := newCallGateway(t, "call-room")
	for range 100 {
		result, w, _ := h.placeOrEnqueue(newCall())
		require.Nil(t, w)
		require.NotNil(t, result.backend)
	}
	require.Empty(t, h.peers.ownLoad, "and tells the others nothing")
}

func TestCallWithoutRoomInTimeIsRefusedWithItsPlaceInTheLine(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	fill(t, h, b, newCall)
	late := newCall()
	late.startedAt = late.startedAt.Add(-190 * time.Millisecond)
	result := h.place(context.Background(), late)
	require.Equal(t, reasonNoRoom, result.reason)
	pressed := newCall()
	pressed.startedAt = pressed.startedAt.Add(-190 * time.Millisecond)
	pressed.deadline = time.Now().Add(150 * time.Millisecond)
	_, w, _ := h.placeOrEnqueue(pressed)
	require.NotNil(t, w, "its client has no time to return")
	require.LessOrEqual(t, late.retryAfter(), 600*time.Millisecond, "an estimate, as no rate is known")
	now := time.Now()
	for i := range 20 {
		b.state.queue.Placed(now.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	var last time.Duration
	for range 20 {
		delay := late.retryAfter()
		require.LessOrEqual(t, delay, 500*time.Millisecond, "a third of its time")
		last = delay
	}
	require.Greater(t, last, 150*time.Millisecond, "20 returns before it")
}

// TestDrainingInstanceHoldsNoCall: a call that waited would be refused late.
func TestDrainingInstanceHoldsNoCall(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	fill(t, h, b, newCall)
	_, w, results := h.placeOrEnqueue(newCall())
	require.NotNil(t, w)
	h.drain.start(time.Now(), time.Minute)
	result, w, _ := h.placeOrEnqueue(newCall())
	require.Nil(t, w)
	require.NotNil(t, result.backend)
	h.states.recheckAll()
	require.NotNil(t, (<-results).backend, "the one that waited goes on")
}

// TestCallsAreToldWithTheNextUpdate: changes of calls wait for an update, those of engines schedule one.
func TestCallsAreToldWithTheNextUpdate(t *testing.T) {
	h, _, newCall := newCallGateway(t, "")
	_, _, _ = h.placeOrEnqueue(newCall())
	require.Empty(t, h.peers.changed)
	require.True(t, h.peers.callsDue())
	require.Equal(t, dispatch.Load{Requests: 1}, h.peers.ownLoad["s"])
	h.peers.sendUpdates(context.Background(), nil)
	require.False(t, h.peers.callsDue())
}

// TestWordsBoundTheRoomButDoNotChooseTheServer: a server that others fill gets no call, and is described
// by its own reports alone.
func TestWordsBoundTheRoomButDoNotChooseTheServer(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	fill(t, h, b, newCall)
	b.tracker = dispatch.NewBackendState(b.tracker.BackendInfo, time.Now())
	b.tracker.Succeeded(50*time.Millisecond, time.Now())
	_, err := h.peers.Tell(context.Background(), &fleetv1.TellRequest{Entry: "other", StartedUnixMs: 1, Sequence: 1, Work: []*fleetv1.ServerWork{{Server: "s", Requests: 20}}})
	require.NoError(t, err)
	require.Equal(t, dispatch.Load{}, h.placementLoad(b, h.peers.othersLoad()))
	_, w, _ := h.placeOrEnqueue(newCall())
	require.Nil(t, w, "its own turn")
	_, w, _ = h.placeOrEnqueue(newCall())
	require.NotNil(t, w)
}

// Without the terms, a call is sent to a full server, as before.
func TestCallsAreNotHeldWithoutTheTerms(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	h.terms = Terms{}
	fill(t, h, b, newCall)
	result, w, _ := h.placeOrEnqueue(newCall())
	require.Nil(t, w)
	require.Equal(t, b, result.backend)
}
