package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/placement"
)

// newCellGateway is a gateway whose cell are the first servers.
func newCellGateway(t testing.TB, engines, cell int) *testGateway {
	h := newTestGateway(t, engines)
	h.peers.self.Zone = "zone-a"
	h.routing.cells["llm"] = make(map[string]bool)
	for _, b := range h.routing.services["llm"][:cell] {
		h.routing.cells["llm"][b.server] = true
	}
	placeServers(h.routing.services["llm"], h.routing.cells["llm"])
	return h
}

// sharedCall is a call whose prompt shares a part of 12,800 tokens with others.
func (h *testGateway) sharedCall(part string) *call {
	c := h.call(17_060)
	c.route.TargetLatency = 1500 * time.Millisecond
	c.prompt.Parts = []Part{{ID: part, Tokens: 12_800}, {ID: "own", Tokens: 4260}}
	return c
}

// homes returns the homes of a call's shared part.
func (h *testGateway) homes(c *call) (list []*backend) {
	homes := c.fleetHomesAmong(h.routing.services["llm"], h.groupShare(time.Now()))
	for _, i := range homes.Servers() {
		list = append(list, h.routing.services["llm"][i])
	}
	return list
}

// Instances of different cells send prompts with the same shared part to the same server, and
// to the same next one while that is busy.
func TestCellsShareTheHomesOfParts(t *testing.T) {
	h := newCellGateway(t, 40, 8)
	outside := 0
	for n := range 30 {
		c := h.sharedCall(fmt.Sprint("part-", n))
		homes := h.homes(c)
		d, chosen := h.decide(c, nil, time.Now())
		require.Equal(t, dispatch.Send, d.Action)
		require.Equal(t, homes[0].server, chosen.server)
		require.True(t, d.Home)
		if !h.routing.cells["llm"][chosen.server] {
			outside++
		}
		busy := dispatch.Work{PrefillTokens: int(260 * c.state.prefill.Rate())}
		homes[0].tracker.Sent(busy, time.Now())
		d, chosen = h.decide(c, nil, time.Now())
		require.Equal(t, homes[1].server, chosen.server)
		require.Equal(t, 1, d.Alternate)
		homes[0].tracker.StopAwaiting(busy)
		homes[0].tracker.Release(busy, 0)
	}
	require.Greater(t, outside, 15)
}

// A part whose homes are both busy or lost is read in the instance's own cell; nothing waits.
func TestLostAndBusyHomesDoNotStall(t *testing.T) {
	h := newCellGateway(t, 40, 8)
	c := h.sharedCall("part")
	homes := h.homes(c)
	homes[0].retired.Store(true)
	_, chosen := h.decide(c, nil, time.Now())
	require.Equal(t, homes[1].server, chosen.server)
	next := h.homes(c)
	for _, b := range append(homes, next...) {
		b.tracker.Sent(dispatch.Work{PrefillTokens: int(260 * c.state.prefill.Rate())}, time.Now())
	}
	for _, b := range h.routing.services["llm"] {
		if b.server != homes[0].server && !h.routing.cells["llm"][b.server] {
			b.tracker.Sent(dispatch.Work{PrefillTokens: int(300 * c.state.prefill.Rate())}, time.Now())
		}
	}
	d, chosen := h.decide(c, nil, time.Now())
	require.Equal(t, dispatch.Send, d.Action)
	require.True(t, h.routing.cells["llm"][chosen.server])
}

// Deployments without several cells decide as before, whether the mechanism is on or off.
func TestFleetsWithoutCellsDecideAsBefore(t *testing.T) {
	without, err := dispatch.Without("fleet-homes")
	require.NoError(t, err)
	for _, oneCell := range []bool{false, true} {
		for seed := range uint64(200) {
			decide := func(policy *dispatch.Policy) (dispatch.Decision, string) {
				h := newTestGateway(t, 12)
				h.policy = policy
				if oneCell {
					h = newCellGateway(t, 12, 12)
					h.policy = policy
				}
				random := rand.New(rand.NewPCG(seed, 7))
				h.promptMix.Observe(500+random.IntN(40_000), 200, time.Now())
				h.promptMix.Observe(17_000, 200, time.Now())
				h.peers.othersMix.Store(&placement.MixWork{Short: 1e6})
				for _, b := range h.routing.services["llm"] {
					b.tracker.Sent(dispatch.Work{PrefillTokens: random.IntN(30_000), MemoryTokens: random.IntN(testMemory)}, time.Now())
				}
				c := h.sharedCall(fmt.Sprint("part-", seed))
				if random.IntN(2) == 0 {
					c.prompt.Tokens, c.prompt.Parts = 383, []Part{{ID: "s", Tokens: 301}, {ID: "own", Tokens: 82}}
				}
				now := time.Now()
				d, b := h.decide(c, nil, now)
				if b == nil {
					return d, ""
				}
				return d, b.server
			}
			d, chosen := decide(&dispatch.Policy{})
			before, chosenBefore := decide(without)
			require.Equal(t, chosenBefore, chosen)
			require.Equal(t, []any{before.Action, before.Verdict, before.Home, before.PrefillTokens, before.QueuedTokens, before.Alternate}, []any{d.Action, d.Verdict, d.Home, d.PrefillTokens, d.QueuedTokens, 0})
		}
	}
}

// The mix of lengths is told with cells only, and forgotten with the update that told it.
func TestMixIsToldBetweenInstances(t *testing.T) {
	p := newPeers(&fleetv1.EntryInstance{Name: "e", Zone: "a"}, nil, nil)
	for n, r := range []*fleetv1.TellRequest{
		{Entry: "f", Sequence: 1, Mix: &fleetv1.PromptMix{ShortTokens: 10, LongTokens: 20}},
		{Entry: "g", Sequence: 1}, // of a build that does not tell
		{Entry: "h", Sequence: 1, Zone: "b", Mix: &fleetv1.PromptMix{ShortTokens: 100, LongTokens: 200}},
	} {
		require.NotNil(t, r, n)
		p.apply(r)
	}
	require.Equal(t, placement.MixWork{Short: 110, Long: 220}, p.othersMixWork())
	p.mu.Lock()
	p.recomputeTotals(time.Now().Add(zoneUpdateTTL + time.Millisecond))
	p.mu.Unlock()
	require.Equal(t, placement.MixWork{Short: 10, Long: 20}, *p.othersMix.Load())
}

// BenchmarkFleetHomes measures what the homes add to a decision with 986 servers.
func BenchmarkFleetHomes(b *testing.B) {
	h := newCellGateway(b, 986, 9)
	c := h.sharedCall("part")
	usable, now := h.routing.services["llm"], time.Now()
	b.ReportAllocs()
	for b.Loop() {
		homes := c.fleetHomesAmong(usable, h.groupShare(now))
		h.states.get("llm").cellScratch.nearServers(usable, homes.Servers())
	}
}
