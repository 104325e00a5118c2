package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/placement"
)

// Parameters of the test prompts.
const (
	testObjective        = 400 * time.Millisecond
	testFirstByteTimeout = 2 * time.Second
	testMemory           = 1 << 20
)

// testGateway is a gateway with engines but without connections to them.
type testGateway struct {
	*Gateway
	routing *routingState
	service *site.Service
}

func newTestGateway(t testing.TB, engines int) *testGateway {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	h := &testGateway{service: &site.Service{Name: "llm", Engine: &site.Engine{Slots: 64, MemoryTokens: testMemory}}}
	h.Gateway = New(Dependencies{
		View: fleetview.New(nil, nil, http.DefaultClient, logger), Stores: contexts.NewWatcher(nil, logger), Scorer: placement.ExpectedTime{}, Policy: &dispatch.Policy{}, peers: newPeers(&fleetv1.EntryInstance{Name: "e"}, nil, logger),
	}, &Settings{Instance: "e", FailureDomain: "zone-a", AnnounceInterval: time.Second, WeightRolloutTime: time.Second}, logger, newMetrics(prometheus.NewRegistry()))
	h.routing = &routingState{table: site.Compile(&site.Document{}), backends: make(map[string]*backend), services: make(map[string][]*backend), cells: make(map[string]map[string]bool), entryCount: 6}
	for n := range engines {
		b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n), Zone: "zone-a", Slots: 64}, h.service, h.states.get("llm"), 0, time.Now())
		h.routing.backends[b.server] = b
		h.routing.services["llm"] = append(h.routing.services["llm"], b)
	}
	h.Gateway.routing.Store(h.routing)
	return h
}

func (h *testGateway) call(tokens int) *call {
	now := time.Now()
	return &call{
		gateway: h.Gateway, routing: h.routing, request: &Request{}, service: h.service, state: h.states.get("llm"), startedAt: now, deadline: now.Add(10 * time.Second), triedServers: make(map[string]bool),
		route:  &site.Route{Kind: site.KindStream, TargetLatency: testObjective, ClientTimeout: testFirstByteTimeout, Timeout: 10 * time.Second},
		prompt: &Prompt{Model: "m", Tokens: tokens, Parts: []Part{{ID: "own", Tokens: tokens}}},
	}
}

// One cell has more prefill work than others. Prompts that the own cell can serve
// stay there. Other cells are assumed to have at least part of the own cell's load.
// Prompts that would be late everywhere are rejected at once.
func TestOverloadedCellSpillsOver(t *testing.T) {
	tests := []struct {
		name string
		// ownBacklog and otherBacklog are the prefill work queued before a prompt in
		// the own cell and in the others.
		ownBacklog, otherBacklog time.Duration
		inOwnCell                bool
		want                     admission.Verdict
	}{
		{"idle", 0, 0, true, admission.Admit},
		{"busy, but on time", 200 * time.Millisecond, 0, true, admission.Admit},
		{"late in the own cell, on time in the other", 450 * time.Millisecond, 0, false, admission.Admit},
		{"late everywhere", time.Second, time.Second, true, admission.Reject},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inOwnCell, verdict := decideInCells(t, tt.ownBacklog, tt.otherBacklog)
			require.Equal(t, tt.inOwnCell, inOwnCell)
			require.Equal(t, tt.want, verdict)
		})
	}
}

// A request that was sent before is judged like one that was not: both are rejected at once if no
// server can serve them before their client leaves. The time of a stream counts from its last event.
func TestRepeatsAreJudgedLikeFirstTries(t *testing.T) {
	for _, backlog := range []time.Duration{0, 100 * time.Millisecond, 4 * time.Second} {
		h := newTestGateway(t, 2)
		h.states.get("llm").firstServerAt = time.Now().Add(-time.Minute)
		for _, b := range h.routing.services["llm"] {
			b.tracker.Sent(dispatch.Work{PrefillTokens: int(float64(backlog.Milliseconds()) * h.states.get("llm").prefill.Rate())}, time.Now())
		}
		first, repeated, begun := h.call(500), h.call(500), h.call(500)
		repeated.attemptsSent, repeated.mayHaveRun = 1, true
		begun.attemptsSent, begun.mayHaveRun = 1, true
		begun.startedAt = time.Now().Add(-5 * time.Second)
		begun.lastEventAt.Store(monotonic(time.Now()))
		want := dispatch.Send
		if backlog > testFirstByteTimeout {
			want = dispatch.Reject
		}
		for _, c := range []*call{first, repeated, begun} {
			d, _ := h.decide(c, nil, time.Now())
			require.Equal(t, want, d.Action, "backlog %v", backlog)
		}
	}
}

// Requests of one priority are served by the time that their clients have: one that misses its
// objective goes behind others only until its client's time runs out. More urgent ones go first.
func TestQueueIsOrderedByClientsTime(t *testing.T) {
	h := newTestGateway(t, 1)
	position := func(waited time.Duration, late bool, priority int) dispatch.Position {
		c := h.call(500)
		c.startedAt, c.route.Priority = c.startedAt.Add(-waited), priority
		if late {
			c.decision.Verdict = admission.Defer
		}
		return c.queuePosition()
	}
	fresh := position(0, false, 1)
	require.True(t, fresh.Before(position(time.Second, true, 1)), "late, with time to yield")
	require.True(t, position(1700*time.Millisecond, true, 1).Before(fresh), "late, and the client leaves in 0.3 s")
	require.True(t, position(time.Second, true, 0).Before(fresh), "late, but of a more urgent account")
}

// One cell has far more prefill work than others: its prompts are served late in
// another cell, not rejected.
func TestLatePromptsGoToAnotherCellBeforeRejection(t *testing.T) {
	inOwnCell, verdict := decideInCells(t, 1400*time.Millisecond, 200*time.Millisecond)
	require.False(t, inOwnCell)
	require.Equal(t, admission.Defer, verdict)
}

// decideInCells decides on a short prompt with the given prefill work queued in two
// cells, and reports whether the own one was chosen.
func decideInCells(t *testing.T, ownBacklog, otherBacklog time.Duration) (inOwnCell bool, verdict admission.Verdict) {
	t.Helper()
	h := newTestGateway(t, 8)
	h.routing.cells["llm"] = map[string]bool{}
	c := h.call(500)
	for n, b := range h.routing.services["llm"] {
		backlog := otherBacklog
		if n < 4 {
			h.routing.cells["llm"][b.server], backlog = true, ownBacklog
		}
		tokens := int(float64(backlog.Milliseconds()) * c.state.prefill.Rate())
		b.tracker.Sent(dispatch.Work{PrefillTokens: tokens}, time.Now())
		b.tracker.Sent(dispatch.Work{PrefillTokens: tokens, Deferred: true}, time.Now())
	}
	placeServers(h.routing.services["llm"], h.routing.cells["llm"])
	d, chosen := h.decide(c, nil, time.Now())
	return h.routing.cells["llm"][chosen.server], d.Verdict
}

// Many clients at once fill the memory of all engines with their prompts. A queued
// prompt that can be on time is sent when a run ends, to the server that became free;
// a prompt whose client leaves is not counted anywhere.
func TestPromptIsQueuedUntilARunEnds(t *testing.T) {
	h := newTestGateway(t, 2)
	h.states.get("llm").firstServerAt = time.Now().Add(-time.Minute)
	run := dispatch.Work{MemoryTokens: testMemory * 9 / 10}
	for _, b := range h.routing.services["llm"] {
		b.tracker.Sent(run, time.Now())
		b.tracker.ResponseStarted(run, time.Now())
	}
	result := make(chan placementResult, 1)
	go func() { result <- h.place(context.Background(), h.call(500)) }()
	leaveCtx, leave := context.WithCancel(context.Background())
	canceled := make(chan placementResult, 1)
	go func() { canceled <- h.place(leaveCtx, h.call(700)) }()
	queueLen := func() int {
		s := h.states.get("llm")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.Len()
	}
	require.Eventually(t, func() bool { return queueLen() == 2 }, time.Second, time.Millisecond)
	leave()
	require.Equal(t, placementResult{reason: reasonDeadline}, <-canceled)
	require.Equal(t, 1, queueLen())

	second := h.routing.services["llm"][1]
	second.state.mu.Lock()
	second.tracker.Release(run, time.Second)
	h.capacityFreed(second)
	second.state.mu.Unlock()
	require.Equal(t, placementResult{backend: second}, <-result)
	require.Zero(t, queueLen())
	load := second.tracker.OwnLoad()
	require.Equal(t, []int{1, 500, 0}, []int{load.Requests, load.MemoryTokens, load.DeferredTokens})
	require.InDelta(t, 500+second.state.prefill.StepTokens(), load.PrefillTokens, 1, "the prefill time is rounded")
	require.Equal(t, second.tracker.OwnLoad(), h.peers.ownLoad[second.server], "the load is published")
}

// The set of remembered leaving servers must be bounded, however many servers leave.
func TestLeavingServersAreBounded(t *testing.T) {
	var l leavingServers
	now := time.Unix(1000, 0)
	for n := range maxLeavingServers + 10 {
		l.add(incarnation{fmt.Sprint(n), 1}, now)
	}
	require.Len(t, l.since, maxLeavingServers)
	require.False(t, l.add(incarnation{"0", 1}, now), "already recorded")
	require.True(t, l.contains(incarnation{"0", 1}))
	require.False(t, l.contains(incarnation{"0", 2}), "another incarnation")
	l.removeOld(now.Add(time.Second))
	require.Len(t, l.since, maxLeavingServers)
	l.removeOld(now.Add(leavingRetention + time.Second))
	require.Empty(t, l.since)
}

// TestFullLeavingSetTakesNewServers guards against a process that has seen so many servers
// leave that it ignores the next one: nothing removed the old ones.
func TestFullLeavingSetTakesNewServers(t *testing.T) {
	var l leavingServers
	now := time.Unix(1000, 0)
	for n := range maxLeavingServers {
		require.True(t, l.add(incarnation{fmt.Sprint(n), 1}, now))
	}
	now = now.Add(leavingRetention + time.Second)
	require.True(t, l.add(incarnation{"new", 1}, now))
	require.True(t, l.contains(incarnation{"new", 1}))
}
