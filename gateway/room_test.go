package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// Figures of the test's prompts.
const (
	testObjective = 400 * time.Millisecond
	testBears     = 2 * time.Second
	testMemory    = 1 << 20
)

// hall is a gateway before engines, with nothing to send them anything.
type hall struct {
	*Gateway
	world   *world
	service *site.Service
}

func newHall(t *testing.T, engines int) *hall {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	h := &hall{service: &site.Service{Name: "llm", Engine: &site.Engine{Slots: 64, MemoryTokens: testMemory}}}
	h.Gateway = New(Parts{
		Stores: contexts.NewWatch(nil, quiet), Scorer: placement.ExpectedTime{}, Policy: &dispatch.Policy{}, peers: newPeers(&fleetv1.EntryInstance{Name: "e"}, nil, quiet),
	}, &Settings{Instance: "e", FailureDomain: "zone-a", AnnounceInterval: time.Second, WeightsWithin: time.Second}, quiet, newMetrics(prometheus.NewRegistry()))
	h.world = &world{table: site.Compile(&site.Document{}), backends: make(map[string]*backend), services: make(map[string][]*backend), cells: make(map[string]map[string]bool), entries: 6}
	for n := range engines {
		b := newBackend(&fleetv1.Announcement{Server: fmt.Sprint("i-", n), Zone: "zone-a", Slots: 64}, h.service, h.rooms.of("llm"), 0, time.Now())
		h.world.backends[b.server] = b
		h.world.services["llm"] = append(h.world.services["llm"], b)
	}
	h.Gateway.world.Store(h.world)
	return h
}

func (h *hall) call(tokens int) *call {
	now := time.Now()
	return &call{
		gateway: h.Gateway, world: h.world, request: &Request{}, service: h.service, room: h.rooms.of("llm"), began: now, deadline: now.Add(10 * time.Second), tried: make(map[string]bool),
		route:  &site.Route{Kind: site.KindStream, Objective: testObjective, Bears: testBears, Timeout: 10 * time.Second},
		prompt: &Prompt{Model: "m", Tokens: tokens, Parts: []Part{{ID: "own", Tokens: tokens}}},
	}
}

// TestOtherCellsTakeWhatTheOwnCannot: load pattern, one cell has more to read than
// others. What the own cell can do stays there; of the others at least a part of
// the own load is assumed; what is late everywhere is told so at once.
func TestOtherCellsTakeWhatTheOwnCannot(t *testing.T) {
	tests := []struct {
		name string
		// near and far are the reading before a prompt in the own cell and in the
		// others.
		near, far time.Duration
		own       bool
		want      admission.Verdict
	}{
		{"calm", 0, 0, true, admission.InTurn},
		{"busier, but on time", 200 * time.Millisecond, 0, true, admission.InTurn},
		{"late here, on time there", 450 * time.Millisecond, 0, false, admission.InTurn},
		{"late everywhere", time.Second, time.Second, true, admission.TurnAway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, verdict := decideInCells(t, tt.near, tt.far)
			require.Equal(t, tt.own, own)
			require.Equal(t, tt.want, verdict)
		})
	}
}

// TestNobodyIsTurnedAwayWhomAnotherCellServesLate: load pattern, one cell has far
// more to read than others.
func TestNobodyIsTurnedAwayWhomAnotherCellServesLate(t *testing.T) {
	own, verdict := decideInCells(t, 1400*time.Millisecond, 200*time.Millisecond)
	require.False(t, own)
	require.Equal(t, admission.Behind, verdict)
}

// decideInCells decides on a short prompt before two cells with so much to read, and
// reports whether the own one was chosen.
func decideInCells(t *testing.T, near, far time.Duration) (own bool, verdict admission.Verdict) {
	t.Helper()
	h := newHall(t, 8)
	h.world.cells["llm"] = map[string]bool{}
	c := h.call(500)
	for n, b := range h.world.services["llm"] {
		before := far
		if n < 4 {
			h.world.cells["llm"][b.server], before = true, near
		}
		tokens := int(float64(before.Milliseconds()) * c.room.reader.Pace())
		b.belief.Sent(dispatch.Work{Unread: tokens}, time.Now())
		b.belief.Sent(dispatch.Work{Unread: tokens, Later: true}, time.Now())
	}
	d, chosen := h.decide(c, nil, time.Now())
	return h.world.cells["llm"][chosen.server], d.Verdict
}

// TestPromptWaitsHereUntilARunEnds: load pattern, many callers at once, whose
// prompts fill the memory of all engines. A prompt that can be on time goes when a
// run ends, to the server where that was; one whose caller leaves is not counted
// anywhere.
func TestPromptWaitsHereUntilARunEnds(t *testing.T) {
	h := newHall(t, 2)
	h.rooms.of("llm").opened = time.Now().Add(-time.Minute)
	run := dispatch.Work{Memory: testMemory * 9 / 10}
	for _, b := range h.world.services["llm"] {
		b.belief.Sent(run, time.Now())
		b.belief.Begun(run, time.Now())
	}
	placedAt := make(chan placed, 1)
	go func() { placedAt <- h.place(context.Background(), h.call(500)) }()
	gone, leave := context.WithCancel(context.Background())
	left := make(chan placed, 1)
	go func() { left <- h.place(gone, h.call(700)) }()
	waiting := func() int {
		r := h.rooms.of("llm")
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.line.Len()
	}
	require.Eventually(t, func() bool { return waiting() == 2 }, time.Second, time.Millisecond)
	leave()
	require.Equal(t, placed{why: timeUp}, <-left)
	require.Equal(t, 1, waiting())

	second := h.world.services["llm"][1]
	second.room.mu.Lock()
	second.belief.Ended(run, time.Second)
	h.freed(second)
	second.room.mu.Unlock()
	require.Equal(t, placed{backend: second}, <-placedAt)
	require.Zero(t, waiting())
	own := second.belief.Own()
	require.Equal(t, []int{1, 500, 0}, []int{own.Requests, own.Held, own.Later})
	require.InDelta(t, 500+second.room.reader.StepTokens(), own.Reading, 1, "the time to read is rounded")
	require.Equal(t, second.belief.Own(), h.peers.own[second.server], "others are told")
}

// TestLeavingLivesAreBounded: what is remembered of servers that left does not grow
// with every server that ever did.
func TestLeavingLivesAreBounded(t *testing.T) {
	var l leavers
	now := time.Unix(1000, 0)
	for n := range mostLeavers + 10 {
		l.add(life{fmt.Sprint(n), 1}, now)
	}
	require.Len(t, l.since, mostLeavers)
	require.False(t, l.add(life{"0", 1}, now), "it is known")
	require.True(t, l.has(life{"0", 1}))
	require.False(t, l.has(life{"0", 2}), "another life")
	require.Len(t, l.told(now.Add(time.Second)), mostLeavers)
	require.Empty(t, l.told(now.Add(leaverKept+time.Second)))
	require.Empty(t, l.since)
}
