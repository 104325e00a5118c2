package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/evacuation"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/upstream"
)

// order puts the versions of orders on failure domains in force, as rebuild does, for servers that
// are listed in the given domains, one each.
func (h *testGateway) order(versions map[string]uint64, domains ...string) {
	s := &fleetview.Snapshot{Documents: make(map[string]*controlv1.PublishedDocument), Servers: make(map[string]*fleetv1.Announcement)}
	for domain, version := range versions {
		name := evacuation.DocumentName(domain)
		s.Documents[name] = &controlv1.PublishedDocument{Name: name, Version: version}
	}
	for n, domain := range domains {
		server := fmt.Sprint("i-", n)
		s.Servers[server] = &fleetv1.Announcement{Server: server, Service: "llm", Address: fmt.Sprint("127.0.0.1:", n+1), Zone: domain, Slots: 64, State: fleetv1.ServerState_SERVER_STATE_READY}
	}
	old := h.Gateway.routing.Load()
	next := &routingState{table: site.Compile(&site.Document{Services: []site.Service{*h.service}}), backends: make(map[string]*backend), services: make(map[string][]*backend), entryCount: 6, evacuations: evacuation.FromDocuments(s.Documents)}
	h.listBackends(s, old, next)
	h.routing = next
	h.Gateway.routing.Store(next)
	h.logEvacuations(old, next)
	h.states.recheckAll()
}

// newEvacuationGateway returns a gateway with a server in each of the given failure domains.
func newEvacuationGateway(t *testing.T, domains ...string) *testGateway {
	h := newTestGateway(t, 0)
	h.order(nil, domains...)
	h.states.get("llm").firstServerAt = time.Now().Add(-time.Minute)
	return h
}

// chosenDomains returns the failure domains of the servers that requests are sent to.
func (h *testGateway) chosenDomains(t *testing.T) map[string]bool {
	domains := make(map[string]bool)
	for range 12 {
		c := h.call(500)
		result := h.place(t.Context(), c)
		require.NotNil(t, result.backend, result.reason)
		domains[result.backend.zone] = true
		defer c.undoReservation(result.backend)
	}
	return domains
}

// Two failure domains are emptied at once and restored one after the other.
func TestRequestsAvoidEmptiedDomains(t *testing.T) {
	domains := []string{"a", "b", "c", "a", "b", "c"}
	h := newEvacuationGateway(t, domains...)
	steps := []struct {
		versions map[string]uint64
		want     map[string]bool
	}{
		{map[string]uint64{"a": 2}, map[string]bool{"a": true, "b": true, "c": true}},
		{map[string]uint64{"a": 3, "b": 1}, map[string]bool{"c": true}},
		{map[string]uint64{"a": 3, "b": 2}, map[string]bool{"b": true, "c": true}},
		{map[string]uint64{"a": 4, "b": 2}, map[string]bool{"a": true, "b": true, "c": true}},
	}
	for _, step := range steps {
		h.order(step.versions, domains...)
		for domain := range h.chosenDomains(t) {
			require.True(t, step.want[domain], "%v: sent to %s", step.versions, domain)
		}
		require.Len(t, h.routing.services["llm"], 2*len(step.want))
	}
}

// Only unreachable servers are left outside of the emptied domain: they are the last resort, not the
// reachable ones there.
func TestUnreachableServersArePreferredToEmptiedDomain(t *testing.T) {
	h := newEvacuationGateway(t, "a", "b")
	lost := h.routing.backends["i-1"]
	for range 20 {
		lost.update(func(tracker *dispatch.BackendState) { tracker.Failed(true, time.Now()) })
	}
	h.order(map[string]uint64{"a": 1}, "a", "b")
	for range 20 {
		if result := h.place(t.Context(), h.call(500)); result.backend != nil {
			require.Equal(t, "b", result.backend.zone)
		}
	}
}

// All servers are full and a request waits, when its servers' domains are emptied. It is rejected at
// once.
func TestWaitingRequestIsDecidedAnew(t *testing.T) {
	h := newEvacuationGateway(t, "a")
	run := dispatch.Work{MemoryTokens: testMemory * 9 / 10}
	only := h.routing.backends["i-0"]
	only.update(func(tracker *dispatch.BackendState) {
		tracker.Sent(run, time.Now())
		tracker.ResponseStarted(run, time.Now())
	})
	c, result := h.call(500), make(chan placementResult, 1)
	go func() { result <- h.place(context.Background(), c) }()
	queued := func() bool {
		s := h.states.get("llm")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.Len() == 1
	}
	require.Eventually(t, queued, time.Second, time.Millisecond)
	orderedAt := time.Now()
	h.order(map[string]uint64{"a": 1}, "a")
	decided := <-result
	require.Less(t, time.Since(orderedAt), 200*time.Millisecond)
	require.Nil(t, decided.backend)
	require.Equal(t, reasonEvacuated, c.resolveReason(decided.reason))
	require.Equal(t, uint32(1), h.domainsWork("").Domains[0].Requests, "the request that runs there goes on")
}

// An order takes force between the choice of a server and the sending. Nothing is sent, and the
// server is not held to have failed.
func TestChosenServerIsCheckedBeforeSending(t *testing.T) {
	h := newEvacuationGateway(t, "a", "a")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c := h.call(500)
	b := h.place(t.Context(), c).backend
	require.NoError(t, h.mayReceive(b))
	pool := upstream.NewPool(listener.Addr().String(), 1)
	h.order(map[string]uint64{"a": 1}, "a", "a")
	_, err = pool.Send(t.Context(), &upstream.Request{Method: "GET", Target: "/", Host: "h", Admit: func() error { return h.mayReceive(b) }})
	require.ErrorIs(t, err, errEvacuated)
	now := time.Now()
	c.recordAttempt(&attempt{gateway: h.Gateway, backend: b, result: notRun, err: err, startedAt: now})
	require.False(t, b.tracker.CoolingDown(now))
	require.Zero(t, c.attemptsSent)
	require.False(t, c.mayHaveRun)
}

// Without orders the routing state is the same as without the feature, and so are documents of
// other kinds.
func TestOtherDocumentsEmptyNoDomain(t *testing.T) {
	h := newEvacuationGateway(t, "a", "b")
	documents := map[string]*controlv1.PublishedDocument{"site": {Version: 1}, "weights/a": {Version: 3}, "a": {Version: 1}}
	require.Empty(t, evacuation.FromDocuments(documents))
	require.Len(t, h.routing.services["llm"], 2)
	require.False(t, awaitsEvacuations(&fleetview.Snapshot{Awaited: []string{"site", "weights/a"}}))
	require.True(t, awaitsEvacuations(&fleetview.Snapshot{Awaited: []string{"evacuation/a"}}))
}
