package gateway

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
)

// newExplainGateway returns a gateway with a route for prompts to its engines, of which each has
// more to do than the one before.
func newExplainGateway(t testing.TB, engines int) *testGateway {
	h := newTestGateway(t, engines)
	h.routing.table = explainTable(h)
	h.states.get("llm").firstServerAt = time.Now().Add(-time.Minute)
	for i, b := range h.routing.services["llm"] {
		b.tracker.Sent(dispatch.Work{PrefillTokens: 20 * i, MemoryTokens: 20 * i}, time.Now())
		b.tracker.ResponseStarted(dispatch.Work{}, time.Now())
	}
	return h
}

func explainTable(h *testGateway) *site.Table {
	return site.Compile(&site.Document{
		Version: 3, Services: []site.Service{*h.service}, Accounts: []site.Account{{Name: "a", Keys: []string{"key"}}, {Name: "b"}},
		Routes: []site.Route{{
			Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: site.KindStream, Timeout: 10 * time.Second, TargetLatency: testObjective, ClientTimeout: testFirstByteTimeout,
			Targets: []site.Target{{Service: "llm", Weight: 1}}, MaxServers: 2, DeclaresPrompt: true,
		}},
	})
}

func question() *fleetv1.ExplainRequest {
	return &fleetv1.ExplainRequest{
		Method: "POST", Host: "h", Path: "/chat/x?y", Account: "a", Model: "m", PromptTokens: 500, MaxOutputTokens: 100,
		Parts: []*fleetv1.PromptPart{{Id: "shared", Tokens: 400}, {Id: "own", Tokens: 100}},
	}
}

// next returns what happens to the described request if it arrives: the server, or why there is
// none; both are empty if it waits.
func (h *testGateway) next(t *testing.T, q *fleetv1.ExplainRequest) (server, reason string) {
	t.Helper()
	c := h.describedCall(q, h.Gateway.routing.Load(), time.Now())
	if _, reason := c.matchDescribed(q); reason != "" {
		return "", reason
	}
	c.setService(c.service)
	result, w, _ := h.placeOrEnqueue(c)
	if w != nil {
		return c.awaitedServer, ""
	}
	if result.backend == nil {
		return "", string(c.resolveReason(result.reason))
	}
	return result.backend.server, ""
}

// An operator asks in each state of the servers where a request would go. The answer is what the next
// request does.
func TestExplanationIsWhatTheNextRequestDoes(t *testing.T) {
	each := func(h *testGateway, change func(b *backend, tracker *dispatch.BackendState)) {
		for _, b := range h.routing.services["llm"] {
			b.update(func(tracker *dispatch.BackendState) { change(b, tracker) })
		}
	}
	limit := func(h *testGateway, b *backend) {
		h.mergeRateLimit(b.incarnation, dispatch.StatedLimit{RateLimit: dispatch.RateLimit{Limited: true, PerSecond: 2}, Revision: 1}, "test")
	}
	tests := []struct {
		name   string
		change func(h *testGateway, q *fleetv1.ExplainRequest)
		// server, reason and excluded (of i-0) are those expected of both.
		server, reason, excluded string
		action                   string
	}{
		{"idle", nil, "i-0", "", "", "send"},
		{"busy", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.backends["i-0"].tracker.Sent(dispatch.Work{PrefillTokens: 3000}, time.Now())
		}, "i-1", "", "", "send"},
		{"backlog", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.backends["i-0"].tracker.Sent(dispatch.Work{PrefillTokens: 30_000}, time.Now())
		}, "i-1", "", "backlog", "send"},
		{"memory full", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			each(h, func(_ *backend, tracker *dispatch.BackendState) {
				tracker.Sent(dispatch.Work{MemoryTokens: testMemory}, time.Now())
			})
		}, "i-0", "", "memory full", "wait"},
		{"too late everywhere", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			each(h, func(_ *backend, tracker *dispatch.BackendState) {
				tracker.Sent(dispatch.Work{PrefillTokens: 300_000}, time.Now())
			})
		}, "", string(reasonNoCapacity), "backlog", "reject"},
		{"leaving", func(h *testGateway, _ *fleetv1.ExplainRequest) { h.markLeavingForTest("i-0") }, "i-1", "", excludedLeaving, "send"},
		{"all leave but one that is paused", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			each(h, func(b *backend, tracker *dispatch.BackendState) {
				if b.server == "i-0" {
					tracker.ResumePause(time.Now().Add(time.Minute), time.Now())
				} else {
					tracker.MarkLeaving()
				}
			})
		}, "", string(reasonAllPaused), "paused", "reject"},
		{"rate limited", func(h *testGateway, _ *fleetv1.ExplainRequest) { limit(h, h.routing.backends["i-0"]) }, "i-1", "", excludedNoPermit, "send"},
		{"all rate limited", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			for _, b := range h.routing.services["llm"] {
				limit(h, b)
			}
		}, "", string(reasonRateLimited), excludedNoPermit, "reject"},
		{"emptied domain", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.order(map[string]uint64{"zone-a": 1}, "zone-a", "zone-a", "zone-a")
			h.routing.table = explainTable(h)
		}, "", string(reasonEvacuated), excludedEmptied, "reject"},
		{"brittle and full", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.states.get("llm").brittle.Update(dispatch.Brittleness{Brittle: true, MaxRejections: 2}, time.Now())
			each(h, func(_ *backend, tracker *dispatch.BackendState) {
				for range 80 {
					tracker.Sent(dispatch.Work{}, time.Now())
				}
			})
		}, "i-0", "", "no room", "wait"},
		{"quarantined part", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.evidence.merge(registry.EncodeCrashEvidence(dispatch.EvidenceReport{Quarantined: []dispatch.QuarantineReport{
				{Cause: dispatch.PartCause("llm", "shared"), Round: 1, Age: time.Second, Remaining: time.Minute},
			}}), "test")
		}, "", string(reasonPartQuarantined), "", "reject"},
		{"no server", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.backends, h.routing.services = map[string]*backend{}, map[string][]*backend{}
		}, "", string(reasonNoServer), "", "reject"},
		{"cooldown", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.backends["i-0"].tracker.Failed(true, time.Now())
		}, "i-1", "", "cooldown", "send"},
		{"cell has another home", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.cells["llm"] = map[string]bool{"i-1": true}
			placeServers(h.routing.services["llm"], h.routing.cells["llm"])
		}, "i-0", "", "", "send"},
		{"cell, no shared part", func(h *testGateway, q *fleetv1.ExplainRequest) {
			q.Parts = q.Parts[1:]
			h.routing.cells["llm"] = map[string]bool{"i-1": true}
			placeServers(h.routing.services["llm"], h.routing.cells["llm"])
		}, "i-1", "", excludedOtherCell, "send"},
		{"some on new weights, late", func(h *testGateway, _ *fleetv1.ExplainRequest) {
			h.routing.targetVersions = map[string]uint64{"m": 2}
			h.routing.targets = map[string]dispatch.WeightTargets{"m": {{Version: h.routing.targetVersions["m"], Since: time.Now().Add(-time.Hour)}}}
			h.routing.backends["i-2"].raiseWeightVersion("m", 2)
		}, "i-2", "", excludedOutdated, "send"},
		{"no route", func(_ *testGateway, q *fleetv1.ExplainRequest) { q.Path = "/none" }, "", "no route", "", "reject"},
		{"no key", func(_ *testGateway, q *fleetv1.ExplainRequest) { q.Account, q.Key = "", "wrong" }, "", "unknown key", "", "reject"},
		{"other account", func(_ *testGateway, q *fleetv1.ExplainRequest) { q.Account = "b" }, "", "unknown account", "", "reject"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, q := newExplainGateway(t, 3), question()
			if tt.change != nil {
				tt.change(h, q)
			}
			x := h.explain(q)
			server, reason := h.next(t, q)
			require.Equal(t, []string{tt.server, tt.reason, tt.action}, []string{x.Server, x.Reason, x.Action}, "%v", x)
			require.Equal(t, []string{server, reason}, []string{x.Server, x.Reason})
			require.Equal(t, tt.action == "reject", x.Status != 0)
			for _, s := range x.Servers {
				sum := int64(0)
				for _, term := range s.Terms {
					sum += term.CostNs
				}
				require.Equal(t, s.CostNs, sum)
				require.Equal(t, tt.server == s.Server, s.Chosen)
				if s.Server == "i-0" {
					require.Contains(t, s.Excluded, tt.excluded)
					require.Equal(t, tt.excluded == "", s.Excluded == "")
				}
			}
			if x.Status == 503 {
				require.Positive(t, x.RetryAfterNs)
			}
		})
	}
}

// An operator asks about calls without a prompt while a server fills up and becomes slow.
func TestExplanationOfCallsIsWhatTheNextOneDoes(t *testing.T) {
	h, b, newCall := newCallGateway(t, "")
	route := newCall().route
	route.Host, route.PathPrefix, route.Targets = "h", "/booking/", []site.Target{{Service: "desk", Weight: 1}}
	h.routing.table = site.Compile(&site.Document{Services: []site.Service{*h.service}, Routes: []site.Route{*route}})
	q := &fleetv1.ExplainRequest{Method: "POST", Host: "h", Path: "/booking/x"}
	agree := func(action, reason, excluded string) {
		x := h.explain(q)
		server, nextReason := h.next(t, q)
		require.Equal(t, []string{action, reason}, []string{x.Action, x.Reason})
		require.Equal(t, []string{server, nextReason}, []string{x.Server, x.Reason})
		require.Equal(t, excluded, x.Servers[0].Excluded)
	}
	agree("send", "", "")
	h.undoPlacement(&call{}, b)
	fill(t, h, b, newCall)
	agree("wait", "", "no room")
	for range 200 {
		b.tracker.Succeeded(2*time.Second, time.Now())
	}
	agree("reject", string(reasonNoRoom), "no room")
}

// markLeavingForTest marks a server as leaving.
func (h *testGateway) markLeavingForTest(server string) {
	h.routing.backends[server].update((*dispatch.BackendState).MarkLeaving)
}

// An instance without a document, or that stops, says so.
func TestInstanceThatIsNotReadyExplainsNothing(t *testing.T) {
	h := newExplainGateway(t, 1)
	h.routing.table = nil
	x := h.explain(question())
	require.True(t, x.NotReady)
	require.Equal(t, string(reasonNoDocument), x.Reason)
}

// An operator asks over and over while servers are limited, brittle and silent. Nothing that this
// instance believes, asks for or counts changes.
func TestExplanationsChangeNoBelief(t *testing.T) {
	h := newExplainGateway(t, 6)
	for i, b := range h.routing.services["llm"] {
		if i < 2 {
			h.mergeRateLimit(b.incarnation, dispatch.StatedLimit{RateLimit: dispatch.RateLimit{Limited: true, PerSecond: 2}, Revision: 1}, "test")
		}
		b.tracker.RejectedForRoom(&dispatch.Report{Running: 10, Waiting: 1, Slots: 64}, time.Now())
	}
	s := h.states.get("llm")
	s.brittle.Update(dispatch.Brittleness{Brittle: true, MaxRejections: 2}, time.Now())
	s.pathFailedAt = time.Now()
	drained := func() bool {
		select {
		case <-h.permits.wake:
			return true
		default:
			return false
		}
	}
	drained()
	beliefs := func() (all []any) {
		for _, b := range h.routing.services["llm"] {
			all = append(all, b.tracker)
			if l := b.rateLimit.Load(); l != nil {
				all = append(all, l.permits, l.stated, l.cold)
			}
		}
		return append(all, s.queue, s.prefill, s.estimateErrors, s.starts, s.brittle, s.returns, s.paths, s.lastRecheck, len(s.peerBackends), h.promptMix.Work(time.Time{}), h.inflight.Load())
	}
	before := beliefs()
	for range 1000 {
		require.NotEmpty(t, h.explain(question()).Servers)
	}
	require.Equal(t, before, beliefs())
	require.False(t, drained(), "no permit is asked for")
	require.Empty(t, h.cellOrAllScratch(), "no buffer of requests is used")
}

func (h *testGateway) cellOrAllScratch() []*backend {
	s := h.states.get("llm")
	return append(s.cellScratch.backends, s.allScratch.backends...)
}

// A field that is added to the state of a service, a server or a limit must be added to its copy
// too, or be of no account for a decision.
func TestCopiesAreWhole(t *testing.T) {
	for value, fields := range map[any]int{reflect.TypeFor[serviceState](): 19, reflect.TypeFor[backend](): 18, reflect.TypeFor[serverLimit](): 19} {
		require.Equal(t, fields, value.(reflect.Type).NumField(), "%v: see explain.go", value)
	}
}

func BenchmarkExplainAmong986(b *testing.B) {
	h := newExplainGateway(b, 986)
	b.ReportAllocs()
	for b.Loop() {
		if x := h.explain(question()); x.Server == "" {
			b.Fatal(x.Reason)
		}
	}
}
